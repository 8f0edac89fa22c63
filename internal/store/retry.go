package store

import (
	"time"

	"github.com/hashicorp/raft"
)

// appendRetryInterval is the pause before entries are sent again to a member that did not answer.
const appendRetryInterval = 50 * time.Millisecond

// retryingTransport sends entries to a member again until it answers, or this member no longer leads. The raft library doubles its
// pause after each failure, up to 10 s: a member that was cut off and is reachable again would wait for the rest of that pause, as
// a follower whose index does not advance. Heartbeats are not repeated: a leader learns by their failure that it has lost the
// quorum. The entries keep the term under which they were first sent, so a member rejects them once another leader is elected.
type retryingTransport struct {
	*raft.NetworkTransport
	isLeader func(term uint64, member raft.ServerID) bool
	closed   <-chan struct{}
}

// AppendEntries sends entries until they are answered. Entries that arrive twice are stored once, under their index.
func (p *retryingTransport) AppendEntries(id raft.ServerID, to raft.ServerAddress, a *raft.AppendEntriesRequest, r *raft.AppendEntriesResponse) error {
	for {
		err := p.NetworkTransport.AppendEntries(id, to, a, r)
		heartbeat := a.PrevLogEntry == 0 && a.PrevLogTerm == 0 && len(a.Entries) == 0 && a.LeaderCommitIndex == 0
		if err == nil || heartbeat || !p.isLeader(a.Term, id) {
			return err
		}
		*r = raft.AppendEntriesResponse{}
		select {
		case <-p.closed:
			return err
		case <-time.After(appendRetryInterval):
		}
	}
}
