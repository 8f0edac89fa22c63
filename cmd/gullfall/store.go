package main

// This file owns `gullfall store`: who is a member of the coordinators' store, and the operators' word on it. Who is gone for good
// by what the coordinators see of each other is proposed for removal; it must never be removed without a word.

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

// goneAfter is how long a member is dead, or has left, before it is proposed for removal: longer than a machine takes to start.
// Nobody is removed without an operator's command.
const goneAfter = 10 * time.Minute

// storeView is what `gullfall store` shows.
type storeView struct {
	Self    string        `json:"self"`
	Leader  string        `json:"leader"` // empty for none
	Term    uint64        `json:"term"`
	Applied uint64        `json:"applied"` // by this member
	HeardS  float64       `json:"heard_s"` // since the leader was heard; 0 at the leader
	Members []storeMember `json:"members"`
}

type storeMember struct {
	Name     string `json:"name"`
	Addr     string `json:"addr"`
	Vote     bool   `json:"vote"`
	Peer     string `json:"peer,omitempty"`     // its state among the coordinators, where they watch each other
	Proposed string `json:"proposed,omitempty"` // for removal, and why
}

// viewOfStore joins the store's members with what is seen of them; peers may be nil.
func viewOfStore(st store.Status, peers *gossip.Gossip) storeView {
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
			m.Peer, m.Proposed = proposal(seen, name, now)
		}
		v.Members = append(v.Members, m)
	}
	return v
}

// proposal tells what is seen of a member, and why it may be gone for good; empty where it may not.
func proposal(seen map[string]swim.Member, name string, now time.Duration) (state, why string) {
	m, known := seen[name]
	switch since := now - m.Since; {
	case !known && now > goneAfter:
		return "unknown", "forgotten, or not seen since this coordinator started"
	case !known:
		return "unknown", ""
	case m.State >= swim.Dead && since > goneAfter:
		return m.State.String(), fmt.Sprintf("%s for %v", m.State, since.Round(time.Second))
	}
	return m.State.String(), ""
}

// addStoreCommands adds the commands of this coordinator's member of the store. Peers may be nil.
func addStoreCommands(commands map[string]admin.Command, member *store.Store, peers *gossip.Gossip) {
	commands["store"] = view(func() (storeView, error) { return viewOfStore(member.Status(), peers), nil })
	commands["store put"] = command(func(ctx context.Context, n note) (note, error) { return putNote(ctx, member, n) })
	commands["store get"] = command(func(ctx context.Context, n note) (note, error) { return readNote(ctx, member, n) })
	commands["store change"] = command(func(ctx context.Context, change store.MemberChange) (string, error) {
		if change.What == store.Remove && isAlive(peers, change.Name) {
			return "", fmt.Errorf("%s is there; end it first, then remove it", change.Name)
		}
		return change.What, member.Change(ctx, change)
	})
}

// isAlive tells whether a coordinator is seen to run; never where coordinators do not watch each other (peers is nil).
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
	Note    storeNoteCmd    `cmd:"" help:"Read a small value of your own from the store, or put one there."`
	Show    storeShowCmd    `cmd:"" default:"withargs" help:"Show the members of the coordinators' store, and who is proposed for removal."`
	Add     storeAddCmd     `cmd:"" help:"Let a coordinator join as a learner; its own file names it as one."`
	Vote    storeVoteCmd    `cmd:"" help:"Give the coordinator behind the socket a vote, once it has caught up."`
	Recover storeRecoverCmd `cmd:"" help:"Where more than half of the votes are gone for good: go on with this member's copy alone."`
	Remove  storeRemoveCmd  `cmd:"" help:"Take a member that is gone for good out of the store."`
}

type storeRecoverCmd struct {
	Alone bool `required:"" help:"Confirms that the other votes are gone for good: what only they had is lost, and they must not run again with what they hold."`
}

// Run makes this coordinator's copy the store; the coordinator must not run.
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
	JSON bool `name:"json" help:"For machines."`
}

// Run shows the members.
func (c storeShowCmd) Run() error {
	var v storeView
	if err := c.ask("store", nil, &v); err != nil {
		return err
	}
	if c.JSON {
		return printJSON(v)
	}
	return v.table(os.Stdout)
}

func (v storeView) table(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "%s: %s leads in term %d; applied up to %d\n", v.Self, nobody(v.Leader), v.Term, v.Applied)
	fmt.Fprintln(t, "name\taddr\tvote\tamong the coordinators\tproposed for removal")
	for _, m := range v.Members {
		fmt.Fprintf(t, "%s\t%s\t%v\t%s\t%s\n", m.Name, m.Addr, m.Vote, m.Peer, m.Proposed)
	}
	return t.Flush()
}

func (f socketFlag) change(c store.MemberChange, said string) error {
	var what string
	if err := f.ask("store change", c, &what); err != nil {
		return err
	}
	fmt.Println(said)
	return nil
}

type storeAddCmd struct {
	socketFlag
	Name string `arg:"" help:"The coordinator's name."`
	Addr string `arg:"" help:"Its store.listen, as 127.0.0.1:8300."`
}

// Run adds a learner.
func (c storeAddCmd) Run() error {
	return c.change(store.MemberChange{What: store.AddLearner, Name: c.Name, Addr: c.Addr},
		fmt.Sprintf("%s may join as a learner; give it a vote with `gullfall store vote` there", c.Name))
}

type storeVoteCmd struct{ socketFlag }

// Run gives a vote.
func (c storeVoteCmd) Run() error {
	return c.change(store.MemberChange{What: store.GiveVote}, "it has caught up, and has a vote now")
}

type storeRemoveCmd struct {
	socketFlag
	Name string `arg:"" help:"The member that is gone for good."`
}

// Run removes a member.
func (c storeRemoveCmd) Run() error {
	if c.Name == "" {
		return errors.New("no name")
	}
	return c.change(store.MemberChange{What: store.Remove, Name: c.Name}, c.Name+" is no member of the store any more")
}
