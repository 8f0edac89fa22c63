package flight

import (
	"os"
	"testing"
	"time"

	"gullfall/internal/lab/golden"
)

// TestMessageFormats: tickets and the messages between coordinators and Flight data nodes keep their JSON keys.
func TestMessageFormats(t *testing.T) {
	golden.JSON(t, "forms.json", map[string]any{
		"ticket":         golden.Filled[Ticket](),
		"fetch ticket":   golden.Filled[fetchTicket](),
		"flight":         golden.Filled[classInfo](),
		"batch metadata": golden.Filled[batchMeta](),
		"part ticket":    golden.Filled[PartTicket](),
		"part":           golden.Filled[PartRequest](),
		"parts":          golden.Filled[CallRequest](),
		"part's answer":  golden.Filled[PartResponse](),
	})
}

// ticketKey is the key that signed the recorded ticket.
var ticketKey = Key{ID: 3, Secret: []byte("a secret of sixteen bytes or more")}

// TestVerifiesEarlierTicket: a ticket that an earlier version signed is still valid, and signing it again gives the same bytes.
func TestVerifiesEarlierTicket(t *testing.T) {
	raw, err := os.ReadFile("testdata/ticket.bin")
	if err != nil {
		t.Fatal(err)
	}
	var keys keyring
	keys.set([]Key{{ID: 4, Secret: []byte("another secret, newer than that one")}, ticketKey})
	owner, payload, err := keys.verify(time.Unix(1_900_000_000, 0), purposeFetch, raw)
	if err != nil || owner != "club" || string(payload) != "payload" {
		t.Errorf("owner %q, payload %q, error %v", owner, payload, err)
	}
	keys.set([]Key{ticketKey})
	golden.Bytes(t, "ticket.bin", keys.sign(purposeFetch, "club", time.Unix(2_000_000_000, 0), []byte("payload")))
}
