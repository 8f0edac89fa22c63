package platform

import (
	"slices"
	"testing"
	"testing/synctest"
)

// scenario is a script that is played between clients, data nodes, discovery and the program. A line is an actor, a verb
// (send, expect, close, wait) and a text. The actors: c1, c2 ... clients; n1, n2 ... data nodes, n1 for the even shards and n2
// for the odd; m1 a data node for the even shards that takes connections and never reads; h1 one whose connections never come
// up; d1 discovery; s1 the signals. A data node's connection carries 32 parts, or as many as streams= says; busy= is what
// clients may have. "expect -" says that nothing has come, find expects what has come already, "expect end" that the
// connection was closed.
type scenario struct {
	name, nodes, script string
}

// TestScenarios plays scenarios in virtual time.
func TestScenarios(t *testing.T) {
	for _, s := range slices.Concat(clientScenarios, nodeScenarios, watchScenarios) {
		t.Run(s.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { play(t, pipes, s) })
		})
	}
}
