package coordinator

import (
	"context"
	"log/slog"

	"gullfall/internal/membership"
)

// warnings are the notes that someone should look at.
var warningCauses = map[membership.Cause]bool{membership.Held: true, membership.Emptied: true, membership.WentBack: true,
	membership.Stale: true, membership.Lapsed: true, membership.Suppressed: true, membership.Excess: true, membership.Unfit: true}

// mostLines is how many lines one change of the list may cost; beyond, what happened alike to several is told in one.
const maxNoteLines = 50

func (c *Coordinator) logNotes(notes []membership.Note) {
	if len(notes) <= maxNoteLines {
		for _, n := range notes {
			c.logNote(n)
		}
		return
	}
	type alike struct {
		what   membership.Cause
		source string
	}
	count := map[alike]int{}
	for _, n := range notes {
		if n.ID != "" {
			count[alike{n.Cause, n.Source}]++
		}
	}
	for _, n := range notes {
		switch k := (alike{n.Cause, n.Source}); {
		case n.ID == "" || count[k] == 1:
			c.logNote(n)
		case count[k] > 1:
			level := slog.LevelInfo
			if warningCauses[n.Cause] {
				level = slog.LevelWarn
			}
			c.log.Log(context.Background(), level, "data nodes "+string(n.Cause), "count", count[k], "source", n.Source, "first", n.ID)
			count[k] = 0
		}
	}
}

// explain logs why the list changes, or does not.
func (c *Coordinator) logNote(n membership.Note) {
	level := slog.LevelInfo
	if warningCauses[n.Cause] {
		level = slog.LevelWarn
	}
	var args []any
	msg := string(n.Cause)
	if n.ID != "" {
		msg = "data node " + msg
		args = append(args, "node", n.ID)
	}
	if n.Source != "" {
		args = append(args, "source", n.Source)
	}
	if n.Detail != "" {
		args = append(args, "why", n.Detail)
	}
	c.log.Log(context.Background(), level, msg, args...)
}
