package gossip

import (
	"context"
	"log/slog"

	"golang.org/x/time/rate"

	"gullfall/internal/swim"
)

// Rate limit of the lines that log changes.
const (
	changeLinesPerSecond = 10
	changeLinesBurst     = 40
)

// changeLog logs changes at a limited rate.
type changeLog struct {
	log       *slog.Logger
	limit     *rate.Limiter
	skipped   int    // changes not logged since the last line
	rejection string // last logged reason why the other coordinators reject this process
}

func newChangeLog(log *slog.Logger) changeLog {
	return changeLog{log: log, limit: rate.NewLimiter(changeLinesPerSecond, changeLinesBurst)}
}

// perform carries out the actions of a step; reply receives the answer to an exchange that a peer began.
func (g *Gossip) perform(actions []swim.Action, reply chan *swim.FullState) {
	membersChanged := false
	for _, a := range actions {
		switch {
		case a.Packet != nil:
			g.sealAndSend(a.To, AppendMessage(nil, a.Packet))
		case a.Full != nil && a.Full.Reply:
			deliverReply(reply, a.Full)
		case a.Full != nil:
			g.exchangeWith(a.To, a.Full)
		case a.Change != nil:
			membersChanged = membersChanged || a.Change.Name != "" && a.Change.LinkFrom == ""
			if g.opts.Changed != nil {
				g.opts.Changed(*a.Change)
			}
			g.changes.logChange(g.ctx, a.Change)
		}
	}
	g.changes.logRejection(g.swim.Rejection())
	if membersChanged && g.opts.SaveAddrs != nil {
		g.opts.SaveAddrs(otherAddrs(g.swim))
	}
}

// deliverReply delivers a full state to reply, if a peer waits for it.
func deliverReply(reply chan *swim.FullState, f *swim.FullState) {
	if reply == nil {
		return
	}
	select {
	case reply <- f:
	default:
	}
}

// logRejection logs a change of the reason why the other coordinators reject this process; it is empty if they do not.
func (l *changeLog) logRejection(reason string) {
	if reason == l.rejection {
		return
	}
	if l.rejection = reason; reason != "" {
		l.log.Error("refused by the other coordinators", "why", reason)
	} else {
		l.log.Info("no longer refused by the other coordinators")
	}
}

// logChange logs a change of a member, of a link or of the quorum.
func (l *changeLog) logChange(ctx context.Context, c *swim.Change) {
	if !l.limit.Allow() {
		l.skipped++
		return
	}
	var line changeLine
	switch {
	case c.Name == "":
		line = quorumLine(c)
	case c.LinkFrom != "":
		line = linkLine(c)
	default:
		line = memberLine(c)
	}
	if l.skipped > 0 {
		line.fields = append(line.fields, "untold", l.skipped)
		l.skipped = 0
	}
	l.log.Log(ctx, line.level, line.msg, line.fields...)
}

// changeLine is one log line.
type changeLine struct {
	level  slog.Level
	msg    string
	fields []any
}

func quorumLine(c *swim.Change) changeLine {
	line := changeLine{level: slog.LevelInfo, msg: "coordinators are " + c.Quorum.Kind.String(),
		fields: []any{"here", c.Quorum.Connected, "known", c.Quorum.Total, "majority", c.Quorum.Majority}}
	if c.Quorum.Kind != swim.Connected {
		line.level = slog.LevelWarn
	}
	return line
}

func linkLine(c *swim.Change) changeLine {
	line := changeLine{level: slog.LevelInfo, msg: "coordinators reach each other again",
		fields: []any{"from", c.LinkFrom, "to", c.Name, "why", c.Reason}}
	if c.Cut {
		line.level, line.msg = slog.LevelWarn, "coordinators do not reach each other"
	}
	return line
}

func memberLine(c *swim.Change) changeLine {
	was := c.Previous.String()
	if c.New {
		was = "new"
	}
	line := changeLine{level: slog.LevelInfo, msg: "coordinator " + c.State.String(),
		fields: []any{"name", c.Name, "was", was, "why", c.Reason}}
	if c.State == swim.Dead {
		line.level = slog.LevelWarn
	}
	return line
}
