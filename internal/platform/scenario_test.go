package platform

import (
	"slices"
	"testing"
	"testing/synctest"
)

// scenario is a script that runs the program against scripted clients, data nodes and discovery. Each line is "wait DURATION", or
// an actor, a verb (send, expect, close ...; see runStep) and an argument. Actors: c1, c2 ... are clients; n1 is a data node for the
// even shards and n2 for the odd ones; m1 is a data node for the even shards that accepts connections and never reads; h1 is a
// data node whose connections are never established; d1, d2 ... are discovery addresses; s1 sends signals and commands to the program.
//
// Options in nodes: streams= is the number of parts per data node connection (32 by default), maxconns= and activeconns= set
// MaxConns and ActiveConns of the server, confirm= sets the watch's ConfirmTimeout in ms; nocancel=1 and slowstart=1 change the
// settings.
//
// "expect -" checks that no message has arrived, "expect-now" that a message has already arrived, and "expect end" that the
// connection was closed.
type scenario struct {
	name, nodes, script string
}

// TestScenarios runs scenarios over in-memory pipes, in virtual time.
func TestScenarios(t *testing.T) {
	for _, s := range slices.Concat(clientScenarios, nodeScenarios, watchScenarios) {
		t.Run(s.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runScenario(t, pipes, s) })
		})
	}
}
