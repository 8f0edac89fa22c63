package main

// This file implements `gullfall store`, which shows and changes the members of the coordinators' store. Members that according to
// gossip have been dead, or have left, for long are proposed for removal; only an operator's command removes one.

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"gullfall/internal/admin"
	"gullfall/internal/config"
	"gullfall/internal/gossip"
	"gullfall/internal/store"
	"gullfall/internal/swim"
)

// proposeRemovalAfter is the time for which a member must have been dead, or have left, before it is proposed for removal. It exceeds the
// time that a machine takes to start.
const proposeRemovalAfter = 10 * time.Minute

// storeView is the output of `gullfall store`.
type storeView struct {
	Self    string        `json:"self"`
	Leader  string        `json:"leader"` // empty if there is none
	Term    uint64        `json:"term"`
	Applied uint64        `json:"applied"` // index of the last entry applied by this member
	HeardS  float64       `json:"heard_s"` // since the last contact with the leader; 0 at the leader
	Members []storeMember `json:"members"`
}

type storeMember struct {
	Name     string `json:"name"`
	Addr     string `json:"addr"`
	Vote     bool   `json:"vote"`
	Peer     string `json:"peer,omitempty"`     // its state as a coordinator, if gossip is enabled
	Proposed string `json:"proposed,omitempty"` // reason why it is proposed for removal
}

// newStoreView returns the store's members with their state in gossip. peers may be nil.
func newStoreView(st store.Status, peers *gossip.Gossip) storeView {
	v := storeView{Self: st.Name, Leader: st.Leader, Term: st.Term, Applied: st.Index, HeardS: st.Heard.Seconds()}
	seen := map[string]swim.Member{}
	var now time.Duration
	if peers != nil {
		peers.View(func(s *swim.Swim) {
			now = peers.Since()
			for _, m := range s.Members() {
				seen[m.Name] = m
			}
		})
	}
	for _, name := range slices.Sorted(maps.Keys(st.Peers)) {
		m := storeMember{Name: name, Addr: st.Addrs[name], Vote: st.Peers[name] == "voter"}
		if peers != nil {
			m.Peer, m.Proposed = removalProposal(seen, name, now)
		}
		v.Members = append(v.Members, m)
	}
	return v
}

// removalProposal returns a member's state in gossip and the reason to propose its removal, which is empty if there is none.
func removalProposal(seen map[string]swim.Member, name string, now time.Duration) (state, why string) {
	m, known := seen[name]
	switch since := now - m.Since; {
	case !known && now > proposeRemovalAfter:
		return "unknown", "forgotten, or not seen since this coordinator started"
	case !known:
		return "unknown", ""
	case m.State >= swim.Dead && since > proposeRemovalAfter:
		return m.State.String(), fmt.Sprintf("%s for %v", m.State, since.Round(time.Second))
	}
	return m.State.String(), ""
}

// addStoreCommands adds the commands that show and change the store. peers may be nil.
func addStoreCommands(commands map[string]admin.Command, member *store.Store, peers *gossip.Gossip) {
	commands["store"] = view(func() (storeView, error) { return newStoreView(member.Status(), peers), nil })
	commands["store put"] = command(func(ctx context.Context, n note) (note, error) { return putNote(ctx, member, n) })
	commands["store get"] = command(func(ctx context.Context, n note) (note, error) { return readNote(ctx, member, n) })
	commands["store change"] = command(func(ctx context.Context, change store.MemberChange) (string, error) {
		if change.What == store.Remove && isAlive(peers, change.Name) {
			return "", fmt.Errorf("%s is there; end it first, then remove it", change.Name)
		}
		return change.What, member.Change(ctx, change)
	})
}

// isAlive reports whether gossip considers a coordinator alive or suspect. It returns false if gossip is disabled (peers is nil).
func isAlive(peers *gossip.Gossip, name string) (alive bool) {
	if peers == nil {
		return false
	}
	peers.View(func(s *swim.Swim) {
		state, known := s.State(name)
		alive = known && state < swim.Dead
	})
	return alive
}

type storeCmd struct {
	Note    storeNoteCmd    `cmd:"" help:"Read or write a note, a small value under a key, in the store."`
	Show    storeShowCmd    `cmd:"" default:"withargs" help:"Show the members of the coordinators' store, and which are proposed for removal."`
	Add     storeAddCmd     `cmd:"" help:"Add a coordinator as a learner; its own deploy file must also list it as one."`
	Vote    storeVoteCmd    `cmd:"" help:"Make the coordinator behind the socket a voter once it has caught up."`
	Recover storeRecoverCmd `cmd:"" help:"If more than half of the voters are lost for good, continue with this member's copy alone."`
	Remove  storeRemoveCmd  `cmd:"" help:"Remove a member that is lost for good."`
}

type storeRecoverCmd struct {
	Alone bool `required:"" help:"Confirm that the other voters are lost for good: data that only they had is lost, and they must not run again with their copies."`
}

// Run makes this coordinator's copy the whole store. The coordinator must not be running.
func (c storeRecoverCmd) Run() error {
	cfg, err := config.Load(os.Getenv)
	if err != nil {
		return err
	}
	deploy, err := config.LoadDeploy(config.DeployFile, cfg.Name)
	if err != nil {
		return err
	}
	index, err := store.Recover(deploy.Store, cfg.Name, slog.Default())
	if err != nil {
		return err
	}
	fmt.Printf("%s is the store's only member, with all up to %d; start it, then add the others as new ones: empty store.directory, `gullfall store add`\n", cfg.Name, index)
	return nil
}

type storeShowCmd struct {
	socketFlag
	JSON bool `name:"json" help:"Print JSON."`
}

// Run prints the members.
func (c storeShowCmd) Run() error {
	var v storeView
	if err := c.callWithStore("store", nil, &v); err != nil {
		return err
	}
	if c.JSON {
		return printJSON(v)
	}
	return v.table(os.Stdout)
}

func (v storeView) table(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "%s: %s leads in term %d; applied up to %d\n", v.Self, nameOrNobody(v.Leader), v.Term, v.Applied)
	fmt.Fprintln(t, "name\taddr\tvote\tamong the coordinators\tproposed for removal")
	for _, m := range v.Members {
		fmt.Fprintf(t, "%s\t%s\t%v\t%s\t%s\n", m.Name, m.Addr, m.Vote, m.Peer, m.Proposed)
	}
	return t.Flush()
}

func (f socketFlag) change(c store.MemberChange, message string) error {
	var what string
	if err := f.callWithStore("store change", c, &what); err != nil {
		return err
	}
	fmt.Println(message)
	return nil
}

type storeAddCmd struct {
	socketFlag
	Name string `arg:"" help:"The coordinator's name."`
	Addr string `arg:"" help:"Its store.listen address, such as 127.0.0.1:8300."`
}

// Run adds a learner.
func (c storeAddCmd) Run() error {
	return c.change(store.MemberChange{What: store.AddLearner, Name: c.Name, Addr: c.Addr},
		fmt.Sprintf("%s may join as a learner; give it a vote with `gullfall store vote` there", c.Name))
}

type storeVoteCmd struct{ socketFlag }

// Run makes the coordinator a voter.
func (c storeVoteCmd) Run() error {
	return c.change(store.MemberChange{What: store.GiveVote}, "it has caught up, and has a vote now")
}

type storeRemoveCmd struct {
	socketFlag
	Name string `arg:"" help:"The member's name."`
}

// Run removes a member.
func (c storeRemoveCmd) Run() error {
	if c.Name == "" {
		return errors.New("the member's name is empty")
	}
	return c.change(store.MemberChange{What: store.Remove, Name: c.Name}, c.Name+" is no member of the store any more")
}
