package coordinator

import (
	"context"
	"log/slog"

	"gullfall/internal/membership"
)

// maxNoteLines is the number of notes about one list update up to which each is logged on its own line. If there are more, notes with
// the same cause and source share one line.
const maxNoteLines = 50

// logNotes logs the reasons why an update changed the list or was not applied.
func (c *Coordinator) logNotes(notes []membership.Note) {
	if len(notes) <= maxNoteLines {
		for _, n := range notes {
			c.logNote(n)
		}
		return
	}
	type noteGroup struct {
		cause  membership.Cause
		source string
	}
	count := map[noteGroup]int{}
	for _, n := range notes {
		if n.ID != "" {
			count[noteGroup{n.Cause, n.Source}]++
		}
	}
	for _, n := range notes {
		switch k := (noteGroup{n.Cause, n.Source}); {
		case n.ID == "" || count[k] == 1:
			c.logNote(n)
		case count[k] > 1:
			c.log.Log(context.Background(), noteLevel(n), "data nodes "+string(n.Cause), "count", count[k], "source", n.Source, "first", n.ID)
			count[k] = 0 // this group has been logged
		}
	}
}

func (c *Coordinator) logNote(n membership.Note) {
	var args []any
	message := string(n.Cause)
	if n.ID != "" {
		message = "data node " + message
		args = append(args, "node", n.ID)
	}
	if n.Source != "" {
		args = append(args, "source", n.Source)
	}
	if n.Detail != "" {
		args = append(args, "why", n.Detail)
	}
	c.log.Log(context.Background(), noteLevel(n), message, args...)
}

// noteLevel returns the log level of a note: a warning if an operator should look into it, otherwise info.
func noteLevel(n membership.Note) slog.Level {
	switch n.Cause {
	case membership.ListHeld, membership.ListEmptied, membership.SerialRegressed, membership.SourceStale, membership.SourceExpired, membership.Suppressed,
		membership.TooManyNodes, membership.InvalidRecord:
		return slog.LevelWarn
	}
	return slog.LevelInfo
}
