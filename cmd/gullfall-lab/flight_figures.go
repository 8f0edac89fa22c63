package main

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"gullfall/internal/lab/fleet"
)

// throughput is the throughput and latency of one protocol at one number of clients.
type throughput struct {
	Way     string  `json:"way"`
	Clients int     `json:"clients"`
	PerS    float64 `json:"queries_per_s"`
	P50     float64 `json:"p50_ms"`
	P99     float64 `json:"p99_ms"`
	Refused int64   `json:"refused"` // rejected with a delay, which the client waits before its next query
	Failed  int64   `json:"failed"`
	CPU     float64 `json:"cpu_us_per_query"` // of the coordinator, microseconds
}

// measureThroughput measures each protocol with 1, 16 and 256 clients, one after the other on the same coordinator.
func (d flightCmd) measureThroughput(ctx context.Context, r *flightReport) (err error) {
	f, err := fleet.Start(ctx, fleet.Options{Nodes: 16, Cells: 4, Shards: 16, TTL: 60, Transfer: true, ServiceTime: 2 * time.Millisecond,
		Binary: gullfallPath(d.Binary), Seed: 1, Flight: true})
	defer func() { err = errors.Join(err, f.Stop()) }()
	if err != nil {
		return err
	}
	time.Sleep(time.Second)
	fmt.Printf("%-12s %8s %10s %9s %9s %8s %7s %9s\n", "way", "clients", "queries/s", "p50 ms", "p99 ms", "refused", "failed", "us/query")
	for _, clients := range []int{1, 16, 256} {
		for _, way := range []string{"DoGet", "DoExchange", "platform"} {
			a, err := newQueryClient(ctx, f, way, clients)
			if err != nil {
				return err
			}
			result := d.runClients(ctx, f, a, clients)
			a.close()
			result.Way = way
			r.Figures = append(r.Figures, result)
			fmt.Printf("%-12s %8d %10.0f %9.2f %9.2f %8d %7d %9.0f\n", way, clients, result.PerS, result.P50, result.P99, result.Refused, result.Failed, result.CPU)
		}
	}
	return checkAttempts(f)
}

// runClients runs clients for d.For; each sends one query after another.
func (d flightCmd) runClients(ctx context.Context, f *fleet.Fleet, a queryClient, clients int) throughput {
	allLatencies := hdrhistogram.New(1, 60_000_000, 3)
	var mu sync.Mutex
	var wg sync.WaitGroup
	var refused, failed atomic.Int64
	start, cpu := time.Now(), f.CPU()
	end := start.Add(d.For)
	for i := range clients {
		wg.Go(func() {
			latencies := hdrhistogram.New(1, 60_000_000, 3)
			for n := i; time.Now().Before(end) && ctx.Err() == nil; n += clients {
				sent := time.Now()
				cctx, cancel := context.WithDeadline(ctx, sent.Add(5*time.Second))
				var r refusal
				if err := a.query(cctx, n); errors.As(err, &r) {
					refused.Add(1)
					time.Sleep(r.after)
				} else if err != nil {
					failed.Add(1)
				} else {
					_ = latencies.RecordValue(time.Since(sent).Microseconds()) // fails above a minute; queries end after 5 s
				}
				cancel()
			}
			mu.Lock()
			defer mu.Unlock()
			allLatencies.Merge(latencies)
		})
	}
	wg.Wait()
	seconds := time.Since(start).Seconds()
	result := throughput{Clients: clients, PerS: float64(allLatencies.TotalCount()) / seconds, P50: float64(allLatencies.ValueAtQuantile(50)) / 1000,
		P99: float64(allLatencies.ValueAtQuantile(99)) / 1000, Refused: refused.Load(), Failed: failed.Load()}
	if n := allLatencies.TotalCount(); n > 0 {
		result.CPU = float64((f.CPU() - cpu).Microseconds()) / float64(n)
	}
	return result
}
