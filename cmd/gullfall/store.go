package main

// This file owns `gullfall store`: who is a member of the coordinators' store, and the operators' word on it. Who is gone for good
// by what the coordinators see of each other is proposed for removal; it must never be removed without a word.

import (
	"context"
	"encoding/json"
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
	"gullfall/internal/statemachine"
	"gullfall/internal/store"
	"gullfall/internal/swim"
)

// goneAfter is how long a member is dead, or has left, before it is proposed for removal: longer than a machine takes to start.
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

// viewOfStore joins the store's members with what is seen of them; talk may be nil.
func viewOfStore(st store.Status, talk *gossip.Gossip) storeView {
	v := storeView{Self: st.Name, Leader: st.Leader, Term: st.Term, Applied: st.Index, HeardS: st.Heard.Seconds()}
	seen := map[string]swim.Member{}
	var now time.Duration
	if talk != nil {
		talk.View(func(s *swim.Swim) {
			now = talk.Since()
			for _, m := range s.Members() {
				seen[m.Name] = m
			}
		})
	}
	for _, name := range slices.Sorted(maps.Keys(st.Peers)) {
		m := storeMember{Name: name, Addr: st.Addrs[name], Vote: st.Peers[name] == "voter"}
		if talk != nil {
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

// storeCommands adds the commands of the store; kept is this coordinator's member.
func storeCommands(commands map[string]admin.Command, kept *store.Store, talk *gossip.Gossip) {
	commands["store"] = func(context.Context, json.RawMessage) (any, error) { return viewOfStore(kept.Status(), talk), nil }
	for name, do := range map[string]func(context.Context, *store.Store, note) (note, error){"store put": takeNote, "store get": readNote} {
		commands[name] = func(ctx context.Context, args json.RawMessage) (any, error) {
			var n note
			if err := json.Unmarshal(args, &n); err != nil {
				return nil, err
			}
			ctx, cancel := context.WithDeadline(ctx, time.Now().Add(workTime))
			defer cancel()
			return do(ctx, kept, n)
		}
	}
	commands["store change"] = func(ctx context.Context, args json.RawMessage) (any, error) {
		var c store.MemberChange
		if err := json.Unmarshal(args, &c); err != nil {
			return nil, err
		}
		if talk != nil && c.What == store.Remove {
			alive := false
			talk.View(func(s *swim.Swim) {
				state, known := s.Holds(c.Name)
				alive = known && state < swim.Dead
			})
			if alive {
				return nil, fmt.Errorf("%s is there; end it first, then remove it", c.Name)
			}
		}
		ctx, cancel := context.WithDeadline(ctx, time.Now().Add(workTime))
		defer cancel()
		return c.What, kept.Change(ctx, c)
	}
}

// noteKey begins the keys of operators' notes, which share the store with what is settled there.
const noteKey = "notes/"

// mostNote bounds a note, in bytes.
const mostNote = 4096

// note is a value under a key of the operators' own.
type note struct {
	Key, Value string
	Revision   uint64  // 0: there is none
	If         *uint64 // put only where this is the revision
	Stale      bool    // read what is applied here
	Conflict   string  // why it was not put
}

func takeNote(ctx context.Context, kept *store.Store, n note) (note, error) {
	c := statemachine.Command{Put: []statemachine.Pair{{Key: noteKey + n.Key, Value: []byte(n.Value)}}}
	if n.Key == "" || n.Value == "" || len(n.Value) > mostNote {
		return n, fmt.Errorf("a note needs a key, and a value of 1 to %d bytes", mostNote)
	}
	if n.If != nil {
		c.If = []statemachine.Condition{{Key: noteKey + n.Key, Revision: *n.If}}
	}
	r, err := kept.Do(ctx, c)
	switch {
	case err != nil:
		return n, fmt.Errorf("the store did not answer in time, so it may or may not have been taken: %w", err)
	case r.Failed == statemachine.Conflict:
		n.Conflict = r.Why
		return n, nil
	}
	n.Revision = r.Index
	return n, r.Err()
}

func readNote(ctx context.Context, kept *store.Store, n note) (note, error) {
	if !n.Stale {
		if err := kept.Sync(ctx); err != nil {
			return n, fmt.Errorf("the store was not heard in time; --stale shows what is known here: %w", err)
		}
	}
	kept.View(func(st *statemachine.State) {
		e, _ := st.Get(noteKey + n.Key)
		n.Value, n.Revision = string(e.Value), e.Revision
	})
	return n, nil
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
		return json.NewEncoder(os.Stdout).Encode(v)
	}
	return v.table(os.Stdout)
}

func (v storeView) table(w io.Writer) error {
	fmt.Fprintf(w, "%s: %s leads in term %d; applied up to %d\n", v.Self, nobody(v.Leader), v.Term, v.Applied)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
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

type storeNoteCmd struct {
	socketFlag
	Key   string  `arg:"" help:"The note's key."`
	Value string  `arg:"" optional:"" help:"Its value; without one it is read."`
	If    *uint64 `help:"Put it only where this is the revision that was read; 0 for none yet."`
	Stale bool    `help:"Read what is known here, without asking the store's leader."`
	JSON  bool    `name:"json" help:"For machines."`
}

// Run reads or puts a note.
func (c storeNoteCmd) Run() error {
	command, n := "store get", note{Key: c.Key, Value: c.Value, If: c.If, Stale: c.Stale}
	if c.Value != "" {
		command = "store put"
	}
	if err := c.ask(command, n, &n); err != nil {
		return err
	}
	switch {
	case n.Conflict != "":
		return errors.New(n.Conflict)
	case c.JSON:
		return json.NewEncoder(os.Stdout).Encode(n)
	case n.Revision == 0:
		return fmt.Errorf("there is no note %q", c.Key)
	}
	fmt.Printf("%d\t%s\n", n.Revision, n.Value)
	return nil
}
