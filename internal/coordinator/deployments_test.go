package coordinator_test

// Checks that must hold in deployments with different settings, which are given in the platform's format.

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gullfall/internal/config"
	"gullfall/internal/coordinator"
	"gullfall/internal/membership"
)

// deployments are invented for this test; they differ in all major settings.
var deployments = []struct {
	name, settings   string
	shardSets, reach int
	nodesPerShardSet int // data nodes per shard set
	shards           int
	tenant           string
	drainGrace       time.Duration
}{
	{"three shard sets, automatic discovery, shared calls, tenants", `{"Az":"a","Balancers":3,"TickS":0.005,"Discovery":"automatic",
		"Classes":[{"Name":"board","Effect":"safe","AimS":1,"HardLimitS":3,"Gain":3,"LateWorth":0.1},
			{"Name":"entry","Effect":"keyed","MemorySpanS":2,"AimS":1,"HardLimitS":3,"Gain":1}],
		"Parties":[{"Name":"club","QuotaPerS":100}],"OverShareWorth":0.05,
		"FamilyInfo":{"Sets":3,"Slabs":12,"Width":1,"BundleMax":8,"CallCostS":0.05,"FloorByClass":[0.5,1],"PartialEarns":[0.9,0]},
		"Limits":{"Cancel":true,"SendCap":3,"ConnectTimeoutS":0.25,"ConnIdleS":30,"RetryAfter":true,"MaxRetryAfterS":2},
		"Rules":{"DrainGraceS":2,"FallMultiple":2,"TipAfterS":1.5,"StartCapacity":0.3,"WarmAfterS":17}}`, 3, 1, 3, 12, "club", 2 * time.Second},
	{"overlapping shard sets, subscribed discovery, duplicate attempts, no tenants, classes in another order", `{"Az":"b","Balancers":2,"TickS":0.005,"Discovery":"subscribe",
		"Classes":[{"Name":"entry","Effect":"keyed","MemorySpanS":2,"AimS":1,"HardLimitS":3,"Gain":1},
			{"Name":"board","Effect":"safe","AimS":1,"HardLimitS":3,"Gain":3,"LateWorth":0.1}],"WorthBy":"work",
		"FamilyInfo":{"Sets":9,"Slabs":9,"Width":3,"BundleMax":1,"FloorByClass":[1,0.5],"PartialEarns":[0,0.9]},
		"Limits":{"Cancel":true,"MayDuplicate":true,"SendCap":3,"ConnectTimeoutS":0.25,"ConnIdleS":30},
		"Rules":{"DrainGraceS":0.5,"FallMultiple":2.5,"TipAfterS":1,"StartCapacity":0.24,"WarmAfterS":17,"AskEveryS":10}}`, 9, 3, 1, 9, "", 500 * time.Millisecond},
}

// TestDeployments checks that each part is sent to a data node that holds its shard, with the query's idempotency key if its class is
// keyed; that calls respect the maximum batch size; that a query of all shards gets a complete answer; that a draining data node gets no
// new parts from the moment it is marked, well within the drain grace; and that only a class that allows partial answers is answered when
// half of the shards have no data node.
func TestDeployments(t *testing.T) {
	for _, d := range deployments {
		t.Run(d.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				set, err := config.Settings([]byte(d.settings))
				if err != nil {
					t.Fatal(err)
				}
				c, err := coordinator.New(set, 7, slog.New(slog.DiscardHandler), membership.Config{})
				if err != nil {
					t.Fatal(err)
				}
				ctx, stop := context.WithCancel(t.Context())
				go c.Run(ctx)
				var mu sync.Mutex
				shardSet, drained, lastSent := map[string]int{}, map[string]bool{}, time.Time{}
				c.RegisterDispatcher("", func(n *coordinator.Node) {
					for cmd := n.NextCommand(context.Background()); cmd != nil; cmd = n.NextCommand(context.Background()) {
						mu.Lock()
						if len(cmd.Call) > max(1, set.Limits.MaxBatch) {
							t.Errorf("a call of %d parts", len(cmd.Call))
						}
						for _, a := range cmd.Call {
							if offset := (shardSet[n.ID()] - a.Shard%d.shardSets + d.shardSets) % d.shardSets; offset >= d.reach {
								t.Errorf("shard %d was sent to shard set %d", a.Shard, shardSet[n.ID()])
							}
							if keyed := a.ID[0] == 'e'; keyed != (a.IdempotencyKey == "k7") || !keyed && a.IdempotencyKey != "" {
								t.Errorf("part %s carries key %q", a.ID, a.IdempotencyKey)
							}
							if drained[n.ID()] {
								lastSent = time.Now()
							}
							c.Report(a, coordinator.Result{Outcome: coordinator.OK, Docs: [][]byte{[]byte("v")}})
						}
						mu.Unlock()
						if cmd.Cancel != nil {
							c.Report(cmd.Cancel, coordinator.Result{Outcome: coordinator.Cancelled})
						}
						if cmd.Probe {
							c.ReportProbe(n, coordinator.Result{Outcome: coordinator.OK})
						}
					}
				})
				var list []coordinator.Member
				for i := range d.shardSets * d.nodesPerShardSet {
					m := coordinator.Member{ID: fmt.Sprint("n", i), ShardSet: i % d.shardSets, Zone: string('a' + rune(i/d.shardSets%2)), Weight: 1}
					shardSet[m.ID] = m.ShardSet
					list = append(list, m)
				}
				source := c.AddSource(membership.Spec{Name: "list"})
				source.ReplaceList(list, false)
				number := 0
				execute := func(class string, shards ...int) coordinator.Answer {
					number++
					q := coordinator.Query{ID: fmt.Sprint(class[:1], number), Class: class, Tenant: d.tenant, IdempotencyKey: "k7", Deadline: time.Now().Add(2 * time.Second)}
					for _, s := range shards {
						q.Parts = append(q.Parts, coordinator.Part{Shard: s, Weight: 1 / float64(len(shards))})
					}
					answer, err := c.Execute(ctx, q)
					if err != nil {
						t.Errorf("%s: %v", class, err)
					}
					return answer
				}
				var allShards []int
				for s := range d.shards {
					allShards = append(allShards, s)
				}
				for range 20 {
					for _, class := range []string{"board", "entry"} {
						if a := execute(class, allShards...); a.Status != coordinator.Answered || !a.Complete || len(a.Values) != d.shards {
							t.Errorf("%s: status %v, complete %v, %d of %d parts", class, a.Status, a.Complete, len(a.Values), d.shards)
						}
					}
				}
				// From here on, all data nodes that hold shard 0 are draining.
				mu.Lock()
				for i := range list {
					if offset := (list[i].ShardSet + d.shardSets) % d.shardSets; offset < d.reach {
						list[i].State, drained[list[i].ID] = coordinator.Draining, true
					}
				}
				mu.Unlock()
				source.ApplyChanges(list)
				markedAt := time.Now()
				if a := execute("board", 0, d.shardSets-1); a.Status != coordinator.Answered || a.Complete || len(a.Values) != 1 {
					t.Errorf("board with half of its parts: status %v, complete %v, %d parts", a.Status, a.Complete, len(a.Values))
				}
				if a := execute("entry", 0, d.shardSets-1); a.Status == coordinator.Answered {
					t.Errorf("entry was answered without one of its parts")
				}
				if !lastSent.IsZero() {
					t.Errorf("a draining data node got a part %v after it was marked; the drain grace is %v", lastSent.Sub(markedAt), d.drainGrace)
				}
				if covered := c.CoveredShards(); covered >= d.shards || covered == 0 {
					t.Errorf("%d of %d shards are covered", covered, d.shards)
				}
				source.ReplaceList(nil, false)
				time.Sleep(time.Minute)
				stop()
			})
		})
	}
}
