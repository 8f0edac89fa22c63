package main

import (
	"context"
	"errors"
	"fmt"

	"gullfall/internal/statemachine"
	"gullfall/internal/store"
)

// noteKey begins the keys of operators' notes, which share the store with what is settled there.
const noteKey = "notes/"

// maxNoteBytes bounds a note, in bytes.
const maxNoteBytes = 4096

// note is a value under a key of the operators' own.
type note struct {
	Key, Value string
	Revision   uint64  // 0: there is none
	If         *uint64 // put only where this is the revision
	Stale      bool    // read what is applied here
	Conflict   string  // why it was not put
}

// putNote writes a note, where If holds.
func putNote(ctx context.Context, member *store.Store, n note) (note, error) {
	c := statemachine.Command{Put: []statemachine.Pair{{Key: noteKey + n.Key, Value: []byte(n.Value)}}}
	if n.Key == "" || n.Value == "" || len(n.Value) > maxNoteBytes {
		return n, fmt.Errorf("a note needs a key, and a value of 1 to %d bytes", maxNoteBytes)
	}
	if n.If != nil {
		c.If = []statemachine.Condition{{Key: noteKey + n.Key, Revision: *n.If}}
	}
	r, err := member.Do(ctx, c)
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

// readNote reads a note, from the store's leader unless Stale is set.
func readNote(ctx context.Context, member *store.Store, n note) (note, error) {
	if !n.Stale {
		if err := member.Sync(ctx); err != nil {
			return n, fmt.Errorf("the store was not heard in time; --stale shows what is known here: %w", err)
		}
	}
	member.View(func(st *statemachine.State) {
		e, _ := st.Get(noteKey + n.Key)
		n.Value, n.Revision = string(e.Value), e.Revision
	})
	return n, nil
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
		return printJSON(n)
	case n.Revision == 0:
		return fmt.Errorf("there is no note %q", c.Key)
	}
	fmt.Printf("%d\t%s\n", n.Revision, n.Value)
	return nil
}
