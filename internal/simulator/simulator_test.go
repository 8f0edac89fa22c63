package simulator

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"gullfall/aggregator"
)

const configure = `["CONFIGURE",3,12345678901234567890,{"Az":"z1","Balancers":2,"TickS":0.005,` +
	`"Classes":[{"Name":"c","AimS":1,"HardLimitS":3,"Effect":"safe","Gain":1}],"Parties":[{"Name":"t","QuotaPerS":5}],` +
	`"FamilyInfo":{"Sets":2,"Slabs":4,"Width":2,"BundleMax":1,"ClassFetch":[0],"ClassNeed":[1],"FloorByClass":[1]},` +
	`"Limits":{"SendCap":3,"Cancel":true},"Rules":{"TipAfterS":1},"NewKey":{"x":1}}]`

const list = `["SHEET",0,[["k",null,"on","s1",0,"z1",1],["k",6.1,"on","s2",1,"z2",1.5]]],["MEMBERS",3,41,"remembered",0]`

const asked = `["INCOMING",3,"aa",null,7,1,-1,0,2.5,null,"c",0],["INCOMING",3,"bb",null,7,1,2,0,2.5,null,"c",0]`

func line(round int, messages string) string {
	return `{"TimeS":50.5,"round":` + string(rune('0'+round)) + `,"in":[` + messages + "]}\n"
}

// serve runs the lines and returns the replies.
func serve(t *testing.T, lines ...string) []string {
	t.Helper()
	var out bytes.Buffer
	if err := Serve(strings.NewReader(strings.Join(lines, "")), &out); err != nil {
		t.Fatal(err)
	}
	return strings.Split(strings.TrimSpace(out.String()), "\n")
}

// TestQueryOverTheWire follows a query from its arrival to its answer.
func TestQueryOverTheWire(t *testing.T) {
	replies := serve(t, line(0, ""), line(1, configure+","+list), line(2, asked),
		line(3, `["UNHEARD",3],["COMPLETED",3,"bb",0,"s1","ok",0.1,true,null]`))
	if replies[0] != `{"round":0,"do":[]}` {
		t.Errorf("empty batch: %s", replies[0])
	}
	if !strings.Contains(replies[2], `["TRANSMIT",3,"bb","s`) {
		t.Errorf("no send: %s", replies[2])
	}
	if !strings.Contains(replies[3], `["WRAP_UP",3,"aa",true]`) {
		t.Errorf("no answer: %s", replies[3])
	}
}

// TestSheetsResolveInOrder: a number taken over within a batch reads as it was when its event came.
func TestSheetsResolveInOrder(t *testing.T) {
	newer := `["SHEET",0,[["k",null,"off","s1",0,"z1",1],["k",null,"off","s2",1,"z2",1]]]`
	replies := serve(t, line(1, configure+","+list+","+newer), line(2, asked))
	if !strings.Contains(replies[1], "TRANSMIT") {
		t.Errorf("the newer list was used: %s", replies[1])
	}
}

// TestExitForgets: an instance that has ended does nothing until it is configured again.
func TestExitForgets(t *testing.T) {
	replies := serve(t, line(1, configure+","+list), line(2, asked+`,["EXIT",3]`), line(3, `["WAKEUP",3,"wake"]`))
	for _, r := range replies[1:] {
		if !strings.Contains(r, `"do":[]`) {
			t.Errorf("acted after its end: %s", r)
		}
	}
}

// TestBadLines: what is no batch ends the adapter with the line and the field.
func TestBadLines(t *testing.T) {
	for text, want := range map[string]string{
		"{":                                "line 1: batch",
		`{"in":[]}`:                        "TimeS",
		line(1, `5`):                       "message 0",
		line(1, configure+`,["EXIT","x"]`): "NodeId",
		line(1, `["SHEET",0,[5]]`):         "SHEET",
	} {
		err := Serve(strings.NewReader(text), &bytes.Buffer{})
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: error %v, want one with %q", text, err, want)
		}
	}
}

// TestBadSettingsPanicOnTheWire: settings that can't be served are told by the simulator's own action.
func TestBadSettingsPanicOnTheWire(t *testing.T) {
	replies := serve(t, line(1, strings.Replace(configure, `"Sets":2`, `"Sets":0`, 1)))
	if !strings.Contains(replies[0], `["PANIC",3,"Cells, Shards`) {
		t.Errorf("got %s", replies[0])
	}
}

// FuzzBatch: no line may bring the host down; a reply is always valid JSON.
func FuzzBatch(f *testing.F) {
	f.Add([]byte(line(1, configure+","+list)), []byte(line(2, asked)))
	f.Add([]byte(line(1, "")), []byte(`{"TimeS":1e300,"in":[null]}`))
	f.Fuzz(func(t *testing.T, a, b []byte) {
		h := NewHost()
		for _, text := range [][]byte{a, b} {
			reply, err := h.Batch(text)
			if err != nil {
				continue
			}
			if err := json.NewEncoder(&bytes.Buffer{}).Encode(reply); err != nil {
				t.Fatal(err)
			}
		}
	})
}

// TestEveryActionHasAForm: each action of the interface is written in the simulator's words.
func TestEveryActionHasAForm(t *testing.T) {
	for action, want := range map[aggregator.ActionKind]string{
		aggregator.Send: "TRANSMIT", aggregator.Cancel: "CALL_OFF", aggregator.Answer: "WRAP_UP",
		aggregator.Reject: "BOUNCE", aggregator.Fail: "SURRENDER", aggregator.Probe: "SOUND_OUT",
		aggregator.Wake: "DEFER", aggregator.PollEndpoints: "LISTEN", aggregator.CloseIdle: "CLOSE_IDLE", 99: "PANIC",
	} {
		if got := encode(3, aggregator.Action{Kind: action}); got[0] != want || got[1] != 3 {
			t.Errorf("action %d: %v, want %s for instance 3", action, got, want)
		}
	}
}

// TestPeerMessages: bytes go out to all peers as hex digits and come in the same way; what is not hex is
// no message and does no harm.
func TestPeerMessages(t *testing.T) {
	got := encode(3, aggregator.Action{Kind: aggregator.SendGossip, Data: []byte{1, 171}})
	if got[2] != "all" || got[3] != "01ab" {
		t.Errorf("sent %v", got)
	}
	h := NewHost()
	for text, want := range map[string]int{`["FROM_PEER",3,5,"01ab"]`: 2, `["FROM_PEER",3,5,"xyz"]`: -1} {
		f := message{name: "FROM_PEER"}
		if err := json.Unmarshal([]byte(text), &f.fields); err != nil {
			t.Fatal(err)
		}
		e, ok := h.event(&instance{}, &f)
		if ok != (want >= 0) || ok && (e.Kind != aggregator.GossipReceived || len(e.Data) != want) {
			t.Errorf("%s: got %+v, %v", text, e, ok)
		}
	}
}

// TestReports: an object of numbers is a report, anything else is none and no error.
func TestReports(t *testing.T) {
	for text, want := range map[string]int{`{"queue":2,"inflight":1.5}`: 2, `[["queue",2]]`: 0, `null`: 0, `{"queue":"x"}`: 0} {
		f := message{fields: []json.RawMessage{json.RawMessage(text)}}
		if got := f.report(0); len(got) != want || f.err != nil {
			t.Errorf("%s: got %v, %v", text, got, f.err)
		}
	}
}
