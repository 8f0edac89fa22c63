package swim

// State is the state of a member.
type State uint8

// The states. Of the same incarnation the later one overrides the earlier.
const (
	Alive State = iota
	Suspect
	Dead
	Left
)

var stateNames = [...]string{"alive", "suspect", "dead", "left"}

// String is the state in a word.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "unknown"
}

// Update is one statement on a member, passed on from member to member.
type Update struct {
	Name        string
	Addr        string // where it takes packets
	Process     uint64 // tells two processes under one name apart
	Incarnation uint64 // only the member itself raises it
	State       State
	By          string // who says so, of Suspect and Dead
}

// newer tells whether an update overrides another on the same member.
func (u *Update) newer(than *Update) bool {
	if u.Incarnation != than.Incarnation {
		return u.Incarnation > than.Incarnation
	}
	return u.State > than.State
}

// Link is one statement on whether packets of From reach To.
type Link struct {
	From, To string
	By       string // one of the two
	Version  uint32 // of the reporter's statements on links; a later one overrides an earlier
	Cut      bool
}

// Kind is what a message is for. The numbers are on the wire.
type Kind uint8

// The kinds of messages.
const (
	Ping    Kind = iota + 1 // probe, to be answered with Ack
	Ack                     // of Seq; Via is set where another member was asked to probe
	PingReq                 // indirect probe: probe Target for the sender
	Nack                    // Target has not answered the indirect probe, but the sender is there
	Reject                  // the receiver can't be a member, for Reason
	Updates                 // gossip: nothing but updates and links
)

// Message is one packet.
type Message struct {
	Kind    Kind
	Seq     uint32
	From    Update // the sender's own statement on itself
	Target  string // Ping, PingReq: who is meant
	Addr    string // PingReq: where it is
	Via     string // Ack: the member that passes it on
	Reason  string
	Updates []Update
	Links   []Link
}

// Full is the full state of a member, for an exchange with another.
type Full struct {
	From    Update
	Reply   bool // the answer to another's
	Members []Update
	Links   []Link
	Refused string // why the other can't be a member; nothing else counts then
}

// Event is one thing that happened; one field is set.
type Event struct {
	Packet *Message
	Full   *Full
	Leave  bool
	Forget string // an operator's statement that this member is gone for good
}

// Action is one thing to be done; one field beside To is set.
type Action struct {
	To     string   // an address
	Packet *Message // to be sent
	Full   *Full    // to be exchanged, or sent back where it is a Reply
	Change *Change  // to be notified
}

// Change is a change of a member, of a link or of the quorum.
type Change struct {
	Name     string // the member; empty where Quorum is meant
	State    State
	Was      State
	New      bool // the member was not known before
	Why      string
	Quorum   Quorum // with Name empty
	LinkFrom string // of a link to Name; empty otherwise
	Cut      bool   // of a link
}

// size is the most bytes that an update takes in a packet, see docs/formats/gossip.md.
func (u *Update) size() int { return 24 + len(u.Name) + len(u.Addr) + len(u.By) }

func (l *Link) size() int { return 12 + len(l.From) + len(l.To) + len(l.By) }

// Size is the most bytes that a message takes on the wire, without its seal.
func (m *Message) Size() int {
	n := 16 + m.From.size() + len(m.Target) + len(m.Addr) + len(m.Via) + len(m.Reason)
	return n + sizeOf(m.Updates, m.Links)
}

// Size is the most bytes that a full state takes on the wire, without its seal.
func (f *Full) Size() int {
	return 16 + f.From.size() + len(f.Refused) + sizeOf(f.Members, f.Links)
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
