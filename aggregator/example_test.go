package aggregator_test

import (
	"fmt"
	"time"

	"gullfall/aggregator"
)

// A coordinator passes what has happened to Step and carries out the actions it gets back.
func Example() {
	agg, err := aggregator.New(aggregator.Settings{
		Aggregators: 1, Tick: 5 * time.Millisecond, ShardSets: 1, Shards: 1, Reach: 1,
		Classes: []aggregator.Class{{
			Name: "search", LatencyObjective: time.Second, Deadline: 3 * time.Second, Priority: 1, CompleteShare: 1, MinShare: 1,
		}},
		Limits: aggregator.Limits{MaxAttempts: 2, CanCancel: true},
	}, 42)
	if err != nil {
		fmt.Println(err)
		return
	}
	clock := 10 * time.Second // any steady clock
	actions := agg.Step(clock, []aggregator.Event{
		{Kind: aggregator.ListReplaced, Members: []aggregator.Member{{Replica: "replica-1"}}},
		{Kind: aggregator.QueryArrived, Query: "q1", Tenant: -1, PartCount: 1, TimeLeft: 3 * time.Second},
		{Kind: aggregator.PartArrived, Query: "q1", Part: "q1/0", Weight: 1},
	}, nil)
	for _, a := range actions {
		if a.Kind == aggregator.Send {
			fmt.Println("send", a.Part, "to", a.Replica)
		}
	}
	clock += 80 * time.Millisecond
	actions = agg.Step(clock, []aggregator.Event{
		{Kind: aggregator.AttemptEnded, Part: "q1/0", Attempt: 0, Replica: "replica-1", Outcome: aggregator.OK},
	}, actions[:0])
	for _, a := range actions {
		if a.Kind == aggregator.Answer {
			fmt.Println("answer", a.Query, "complete:", a.Complete)
		}
	}
	// Output:
	// send q1/0 to replica-1
	// answer q1 complete: true
}
