package main

import (
	"context"
	"errors"
	"fmt"

	"gullfall/internal/statemachine"
	"gullfall/internal/store"
)

// noteKeyPrefix is the key prefix of operators' notes, which separates them from the coordinators' own entries in the store.
const noteKeyPrefix = "notes/"

// maxNoteBytes is the maximum length of a note's value.
const maxNoteBytes = 4096

// note is an operator's note in the store, a value under a key. The commands that read and write notes use it for requests and responses.
type note struct {
	Key, Value string
	Revision   uint64  // revision of the value; 0 if there is none
	If         *uint64 // write only if the note has this revision
	Stale      bool    // read the local copy, which may be stale
	Conflict   string  // why it was not written, if If did not match
}

// putNote writes a note, unless If is set and differs from its revision.
func putNote(ctx context.Context, member *store.Store, n note) (note, error) {
	c := statemachine.Command{Put: []statemachine.Pair{{Key: noteKeyPrefix + n.Key, Value: []byte(n.Value)}}}
	if n.Key == "" || n.Value == "" || len(n.Value) > maxNoteBytes {
		return n, fmt.Errorf("a note needs a key, and a value of 1 to %d bytes", maxNoteBytes)
	}
	if n.If != nil {
		c.Conditions = []statemachine.Condition{{Key: noteKeyPrefix + n.Key, Revision: *n.If}}
	}
	r, err := member.Do(ctx, c)
	switch {
	case err != nil:
		return n, fmt.Errorf("the store did not answer in time, so it may or may not have been taken: %w", err)
	case r.Cause == statemachine.Conflict:
		n.Conflict = r.Detail
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
		e, _ := st.Get(noteKeyPrefix + n.Key)
		n.Value, n.Revision = string(e.Value), e.Revision
	})
	return n, nil
}

type storeNoteCmd struct {
	socketFlag
	Key   string  `arg:"" help:"The note's key."`
	Value string  `arg:"" optional:"" help:"The value to write; without it the note is read."`
	If    *uint64 `help:"Write only if the note has this revision; 0 if it must not exist yet."`
	Stale bool    `help:"Read the local copy without contacting the store's leader."`
	JSON  bool    `name:"json" help:"Print JSON."`
}

// Run reads or writes a note.
func (c storeNoteCmd) Run() error {
	command, n := "store get", note{Key: c.Key, Value: c.Value, If: c.If, Stale: c.Stale}
	if c.Value != "" {
		command = "store put"
	}
	if err := c.callWithStore(command, n, &n); err != nil {
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
