package swim

// State is the state of a member.
type State uint8

// The states. At the same incarnation, a later one in this list overrides an earlier one.
const (
	Alive State = iota
	Suspect
	Dead
	Left
)

var stateNames = [...]string{"alive", "suspect", "dead", "left"}

// String returns the name of the state; logs print it.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "unknown"
}

// Update is a gossiped statement on a member.
type Update struct {
	Name        string
	Addr        string // address at which it receives packets
	Process     uint64 // distinguishes processes under one name
	Incarnation uint64 // raised only by the member itself
	State       State
	By          string // Suspect, Dead: the member that states it
}

// newer reports whether an update overrides another on the same member.
func (u *Update) newer(other *Update) bool {
	if u.Incarnation != other.Incarnation {
		return u.Incarnation > other.Incarnation
	}
	return u.State > other.State
}

// Link is a report on whether packets of From reach To.
type Link struct {
	From, To string
	By       string // the reporter: From or To
	Version  uint32 // grows with each report of the reporter; a later one overrides an earlier one
	Cut      bool
}

// Kind is the type of a message. The numbers are on the wire.
type Kind uint8

// The message types.
const (
	Ping    Kind = iota + 1 // probe, answered with Ack
	Ack                     // acknowledges Seq; Via is set on the ack of an indirect probe
	PingReq                 // indirect probe: probe Target for the sender
	Nack                    // Target has not answered the indirect probe so far, but the sender is up
	Reject                  // the receiver can't be a member, because of Reason
	Updates                 // gossip: only updates and link reports
)

// Message is the content of one packet.
type Message struct {
	Kind    Kind
	Seq     uint32
	From    Update // the sender's statement on itself
	Target  string // Ping, PingReq: the member to be probed
	Addr    string // PingReq: address of Target
	Via     string // Ack of an indirect probe: the member that acked
	Reason  string
	Updates []Update
	Links   []Link
}

// FullState is the full state of a member, exchanged with another one.
type FullState struct {
	From         Update
	Reply        bool // it answers the other's full state
	Members      []Update
	Links        []Link
	RejectReason string // why the other can't be a member; if set, the rest is ignored
}

// Event is an input to Step; exactly one field is set.
type Event struct {
	Packet   *Message
	Full     *FullState
	Leave    bool
	MarkGone string // name of a dead member that an operator declares gone for good
}

// Action is an output of Step; exactly one field beside To is set.
type Action struct {
	To     string     // address of the receiver
	Packet *Message   // to send
	Full   *FullState // to exchange, or to send back if it is a Reply
	Change *Change    // to notify the caller of
}

// Change is a change of a member, of a link or of the quorum.
type Change struct {
	Name     string // of the member; empty for a change of the quorum
	State    State
	Previous State  // previous state
	New      bool   // the member was unknown before
	Reason   string // cause, for the log
	Quorum   Quorum // the new quorum, if Name is empty
	LinkFrom string // start of the link to Name that changed; empty otherwise
	Cut      bool   // the link is now cut
}

// size returns the most bytes that an update takes in a packet, see docs/formats/gossip.md.
func (u *Update) size() int { return 24 + len(u.Name) + len(u.Addr) + len(u.By) }

func (l *Link) size() int { return 12 + len(l.From) + len(l.To) + len(l.By) }

// Size returns the most bytes that a message takes on the wire, without its seal.
func (m *Message) Size() int {
	n := 16 + m.From.size() + len(m.Target) + len(m.Addr) + len(m.Via) + len(m.Reason)
	return n + sizeOf(m.Updates, m.Links)
}

// Size returns the most bytes that a full state takes on the wire, without its seal.
func (f *FullState) Size() int {
	return 16 + f.From.size() + len(f.RejectReason) + sizeOf(f.Members, f.Links)
}

func sizeOf(updates []Update, links []Link) (n int) {
	for i := range updates {
		n += updates[i].size()
	}
	for i := range links {
		n += links[i].size()
	}
	return n
}
