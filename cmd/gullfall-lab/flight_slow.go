package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	arrowflight "github.com/apache/arrow-go/v18/arrow/flight"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"gullfall/internal/lab/fleet"
	"gullfall/internal/lab/flightsuite"
)

// slowReaders is the result of the measurement with slow readers and one normal reader at the same time.
type slowReaders struct {
	Readers          int     `json:"readers"`
	Refused          int64   `json:"refused"` // rejected before the first message, with a delay for the retry
	Cut              int64   `json:"cut"`     // ended after the first message, with a delay for the retry
	Ended            int64   `json:"ended"`   // ended by their deadline, or read to the end
	Other            int64   `json:"other"`
	Served           int64   `json:"served_meanwhile"`  // queries of the normal reader
	RefusedMeanwhile int64   `json:"refused_meanwhile"` // queries of the normal reader
	MemoryMB         float64 `json:"memory_mb"`         // maximum of the coordinator's anonymous memory
}

// slowReaderOutcomes counts the outcomes of slow readers.
type slowReaderOutcomes struct{ refused, cut, ended, other atomic.Int64 }

// measureSlowReaders runs 200 concurrent readers that stall on large answers, at a coordinator limited to 32 MB, while one normal reader
// sends queries.
func (d flightCmd) measureSlowReaders(ctx context.Context, r *flightReport) (err error) {
	f, err := fleet.Start(ctx, fleet.Options{Nodes: 8, Cells: 4, Shards: 16, TTL: 60, Transfer: true, ServiceTime: time.Millisecond,
		Binary: gullfallPath(d.Binary), Seed: 1, Flight: true, AllFlight: true, Fill: 200 << 10, MemoryMB: 32})
	defer func() { err = errors.Join(err, f.Stop()) }()
	if err != nil {
		return err
	}
	time.Sleep(time.Second)
	const connections, readersEach = 10, 20
	s := &slowReaders{Readers: connections * readersEach}
	r.Slow = s
	end := time.Now().Add(6 * time.Second)
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	var ends slowReaderOutcomes
	var wg sync.WaitGroup
	for range connections {
		c, err := flightsuite.Dial(suiteEnv(f, nil))
		if err != nil {
			return err
		}
		defer c.Close()
		for i := range readersEach {
			wg.Go(func() { ends.add(readOneMessage(ctx, c, i)) })
		}
	}
	normal, err := flightsuite.Dial(suiteEnv(f, nil))
	if err != nil {
		return err
	}
	defer normal.Close()
	for n := 0; time.Now().Before(end.Add(-2 * time.Second)); n++ {
		s.MemoryMB = max(s.MemoryMB, f.Anonymous())
		s.read(ctx, normal, n, &ends.other)
		time.Sleep(5 * time.Millisecond)
	}
	wg.Wait()
	s.Refused, s.Cut, s.Ended, s.Other = ends.refused.Load(), ends.cut.Load(), ends.ended.Load(), ends.other.Load()
	fmt.Printf("slow readers: %d at once, %d refused, %d cut, %d ended by their time, %d else; one that reads was served %d times, refused %d; %.0f MB of 32\n",
		s.Readers, s.Refused, s.Cut, s.Ended, s.Other, s.Served, s.RefusedMeanwhile, s.MemoryMB)
	return nil
}

// read sends query n and reads its answer without delay.
func (s *slowReaders) read(ctx context.Context, c *flightsuite.Client, n int, other *atomic.Int64) {
	g, err := c.Get(ctx, c.Question("", n%16))
	var wait refusal
	switch {
	case err == nil && g.Complete:
		s.Served++
	case errors.As(asRefusal(err), &wait):
		s.RefusedMeanwhile++
		time.Sleep(min(wait.after, 200*time.Millisecond))
	default:
		other.Add(1)
	}
}

// readOneMessage sends a query of four parts, reads one message of its answer and no more until the deadline. It returns whether a message
// arrived, and the error that ended the stream.
func readOneMessage(ctx context.Context, c *flightsuite.Client, i int) (begun bool, err error) {
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(2*time.Second)) // the class's limit
	defer cancel()
	stream, err := c.DoGet(ctx, &arrowflight.Ticket{Ticket: c.Question("", fourShards(i)...)})
	if err != nil {
		return false, err
	}
	if _, err = stream.Recv(); err != nil {
		return false, err
	}
	<-ctx.Done()
	for err == nil {
		_, err = stream.Recv()
	}
	return true, err
}

// add counts a reader's outcome.
func (e *slowReaderOutcomes) add(begun bool, err error) {
	var wait refusal
	switch isRefusal := errors.As(asRefusal(err), &wait); {
	case isRefusal && begun:
		e.cut.Add(1)
	case isRefusal:
		e.refused.Add(1)
	case status.Code(err) == codes.DeadlineExceeded || errors.Is(err, io.EOF): // EOF: the whole answer fitted into the flow-control window
		e.ended.Add(1)
	default:
		e.other.Add(1)
	}
}
