package simulator

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"gullfall/aggregator"
)

const configureMessage = `["CONFIGURE",3,12345678901234567890,{"Az":"z1","Balancers":2,"TickS":0.005,` +
	`"Classes":[{"Name":"c","AimS":1,"HardLimitS":3,"Effect":"safe","Gain":1}],"Parties":[{"Name":"t","QuotaPerS":5}],` +
	`"FamilyInfo":{"Sets":2,"Slabs":4,"Width":2,"BundleMax":1,"ClassFetch":[0],"ClassNeed":[1],"FloorByClass":[1]},` +
	`"Limits":{"SendCap":3,"Cancel":true},"Rules":{"TipAfterS":1},"NewKey":{"x":1}}]`

const listMessages = `["SHEET",0,[["k",null,"on","s1",0,"z1",1],["k",6.1,"on","s2",1,"z2",1.5]]],["MEMBERS",3,41,"remembered",0]`

const queryAndPart = `["INCOMING",3,"aa",null,7,1,-1,0,2.5,null,"c",0],["INCOMING",3,"bb",null,7,1,2,0,2.5,null,"c",0]`

func line(round int, messages string) string {
	return `{"TimeS":50.5,"round":` + string(rune('0'+round)) + `,"in":[` + messages + "]}\n"
}

// serve passes the lines to Serve and returns the replies.
func serve(t *testing.T, lines ...string) []string {
	t.Helper()
	var out bytes.Buffer
	if err := Serve(strings.NewReader(strings.Join(lines, "")), &out); err != nil {
		t.Fatal(err)
	}
	return strings.Split(strings.TrimSpace(out.String()), "\n")
}

// TestQueryFromArrivalToAnswer checks the replies to a query from its arrival to its answer.
func TestQueryFromArrivalToAnswer(t *testing.T) {
	replies := serve(t, line(0, ""), line(1, configureMessage+","+listMessages), line(2, queryAndPart),
		line(3, `["UNHEARD",3],["COMPLETED",3,"bb",0,"s1","ok",0.1,true,null]`))
	if replies[0] != `{"round":0,"do":[]}` {
		t.Errorf("empty batch: %s", replies[0])
	}
	if !strings.Contains(replies[2], `["TRANSMIT",3,"bb","s`) {
		t.Errorf("no TRANSMIT: %s", replies[2])
	}
	if !strings.Contains(replies[3], `["WRAP_UP",3,"aa",true]`) {
		t.Errorf("no WRAP_UP: %s", replies[3])
	}
}

// TestListsResolveInMessageOrder: a MEMBERS message that names a list by number gets the content that the list had at that point of
// the batch, even if a later message of the batch replaces the list.
func TestListsResolveInMessageOrder(t *testing.T) {
	newer := `["SHEET",0,[["k",null,"off","s1",0,"z1",1],["k",null,"off","s2",1,"z2",1]]]`
	replies := serve(t, line(1, configureMessage+","+listMessages+","+newer), line(2, queryAndPart))
	if !strings.Contains(replies[1], "TRANSMIT") {
		t.Errorf("the newer list was used: %s", replies[1])
	}
}

// TestExitRemovesInstance: an instance returns no actions after EXIT.
func TestExitRemovesInstance(t *testing.T) {
	replies := serve(t, line(1, configureMessage+","+listMessages), line(2, queryAndPart+`,["EXIT",3]`), line(3, `["WAKEUP",3,"wake"]`))
	for _, r := range replies[1:] {
		if !strings.Contains(r, `"do":[]`) {
			t.Errorf("actions after EXIT: %s", r)
		}
	}
}

// TestInvalidInputIsLocated: invalid input makes Serve return an error that names the line, the message or the field.
func TestInvalidInputIsLocated(t *testing.T) {
	for text, want := range map[string]string{
		"{":          "line 1: batch",
		`{"in":[]}`:  "TimeS",
		line(1, `5`): "message 0",
		line(1, configureMessage+`,["EXIT","x"]`): "NodeId",
		line(1, `["SHEET",0,[5]]`):                "SHEET",
	} {
		err := Serve(strings.NewReader(text), &bytes.Buffer{})
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: error %v, want one with %q", text, err, want)
		}
	}
}

// TestInvalidSettingsReportPanic: settings that the module rejects are reported by a PANIC action.
func TestInvalidSettingsReportPanic(t *testing.T) {
	replies := serve(t, line(1, strings.Replace(configureMessage, `"Sets":2`, `"Sets":0`, 1)))
	if !strings.Contains(replies[0], `["PANIC",3,"Cells, Shards`) {
		t.Errorf("got %s", replies[0])
	}
}

// FuzzBatch: no input line makes the host panic, and every reply can be encoded as JSON.
func FuzzBatch(f *testing.F) {
	f.Add([]byte(line(1, configureMessage+","+listMessages)), []byte(line(2, queryAndPart)))
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

// TestEncodeEveryAction: each kind of action is encoded under the simulator's name for it, and an unknown one as PANIC.
func TestEncodeEveryAction(t *testing.T) {
	for action, want := range map[aggregator.ActionKind]string{
		aggregator.Send: "TRANSMIT", aggregator.Cancel: "CALL_OFF", aggregator.Answer: "WRAP_UP",
		aggregator.Reject: "BOUNCE", aggregator.Fail: "SURRENDER", aggregator.Probe: "SOUND_OUT",
		aggregator.Wake: "DEFER", aggregator.PollEndpoints: "LISTEN", aggregator.CloseIdle: "CLOSE_IDLE", 99: "PANIC",
	} {
		if got := encodeAction(3, aggregator.Action{Kind: action}); got[0] != want || got[1] != 3 {
			t.Errorf("action %d: %v, want %s for instance 3", action, got, want)
		}
	}
}

// TestPeerMessagesAreHex: gossip messages are encoded as hex digits, both sent and received; a received one that is not hex is ignored.
func TestPeerMessagesAreHex(t *testing.T) {
	got := encodeAction(3, aggregator.Action{Kind: aggregator.SendGossip, Data: []byte{1, 171}})
	if got[2] != "all" || got[3] != "01ab" {
		t.Errorf("sent %v", got)
	}
	h := NewHost()
	for text, want := range map[string]int{`["FROM_PEER",3,5,"01ab"]`: 2, `["FROM_PEER",3,5,"xyz"]`: -1} {
		m := message{name: "FROM_PEER"}
		if err := json.Unmarshal([]byte(text), &m.fields); err != nil {
			t.Fatal(err)
		}
		e, ok := h.event(&instance{}, &m)
		if ok != (want >= 0) || ok && (e.Kind != aggregator.GossipReceived || len(e.Data) != want) {
			t.Errorf("%s: got %+v, %v", text, e, ok)
		}
	}
}

// TestDecodeLoadReport: a load report is an object of numbers; any other value yields no report and no error.
func TestDecodeLoadReport(t *testing.T) {
	for text, want := range map[string]int{`{"queue":2,"inflight":1.5}`: 2, `[["queue",2]]`: 0, `null`: 0, `{"queue":"x"}`: 0} {
		m := message{fields: []json.RawMessage{json.RawMessage(text)}}
		if got := m.loadReport(0); len(got) != want || m.err != nil {
			t.Errorf("%s: got %v, %v", text, got, m.err)
		}
	}
}
