package gossip

import (
	"os"
	"testing"

	"github.com/google/go-cmp/cmp"

	"gullfall/internal/lab/golden"
	"gullfall/internal/swim"
)

// TestEncodingUnchanged checks that the encoding of packets, exchanges and facts does not change, since coordinators of different
// versions exchange them.
func TestEncodingUnchanged(t *testing.T) {
	var packets []byte
	for _, message := range messages() {
		packets = AppendMessage(packets, message)
	}
	golden.Bytes(t, "messages.bin", packets)
	full := &swim.FullState{From: sample, Reply: true, RejectReason: "why", Members: []swim.Update{sample},
		Links: []swim.Link{{From: "a", To: "b", By: "b", Cut: true}}}
	golden.Bytes(t, "exchange.bin", AppendFull(nil, full))
	facts, _ := AppendFacts(nil, someFacts(20))
	golden.Bytes(t, "facts.bin", facts)
}

// TestOpensEarlierPacket checks that a packet sealed by an earlier version can be opened.
func TestOpensEarlierPacket(t *testing.T) {
	raw, err := os.ReadFile("testdata/sealed.bin")
	if err != nil {
		t.Fatal(err)
	}
	plain, err := newTestKeyring(t, "fleet", 2, key(2, "b"), key(1, "a")).open(raw)
	if err != nil {
		t.Fatal(err)
	}
	got, _, err := Decode(plain)
	if diff := cmp.Diff(messages()[2], got); err != nil || diff != "" {
		t.Errorf("error %v (-want +got)\n%s", err, diff)
	}
}
