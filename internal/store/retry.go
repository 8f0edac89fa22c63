package store

// This file owns how long the leader goes on with entries that a member does not take: until it answers, or the leader leads no more.
// It must never hold back a heartbeat, by which a leader learns that it is alone, nor send what another term's leader may have
// replaced in another's name: the entries go out under the term in which they were.

import (
	"time"

	"github.com/hashicorp/raft"
)

// again is the pause before entries are sent again to a member that did not take them.
const appendRetryInterval = 50 * time.Millisecond

// patient is the library's transport, but for this: the library doubles its pause with each failure up to 10 s, and a member that
// was away for longer waits for the rest of it when it is back.
type retryingTransport struct {
	*raft.NetworkTransport
	isLeader func(term uint64, member raft.ServerID) bool
	closed   <-chan struct{}
}

// AppendEntries sends entries until they are answered. What is sent twice is taken once, by its place in the log.
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
