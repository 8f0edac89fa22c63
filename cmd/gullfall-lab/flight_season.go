package main

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	gen "github.com/apache/arrow-go/v18/arrow/flight/gen/flight"

	"gullfall/internal/lab/fleet"
	"gullfall/internal/lab/flightsuite"
)

// volumeReport is the result of streaming a large volume with one compression.
type volumeReport struct {
	Codec    string  `json:"compression"`
	MiB      float64 `json:"mib"`
	MiBPerS  float64 `json:"mib_per_s"`
	MemoryMB int     `json:"memory_mb"`
	Refused  int64   `json:"refused"`
	Failed   int64   `json:"failed"`
}

// measureVolumes streams d.Season MiB with each compression through a coordinator limited to 64 MB.
func (d flightCmd) measureVolumes(ctx context.Context, r *flightReport) error {
	if d.Season <= 0 {
		return nil
	}
	const fill = 200 << 10
	for _, codec := range []string{"none", "lz4", "zstd"} {
		f, err := fleet.Start(ctx, fleet.Options{Nodes: 8, Cells: 4, Shards: 16, TTL: 60, Transfer: true, ServiceTime: time.Millisecond,
			Binary: gullfallPath(d.Binary), Seed: 1, Flight: true, AllFlight: true, Fill: fill, MemoryMB: 64})
		if err != nil {
			return errors.Join(err, f.Stop())
		}
		time.Sleep(time.Second)
		s, err := d.streamVolume(ctx, f, codec)
		if err := errors.Join(err, f.Stop()); err != nil {
			return err
		}
		r.Volumes = append(r.Volumes, s)
		fmt.Printf("season, compression %-5s %6.0f MiB at %6.1f MiB/s, %d MB of memory at most, %d refused, %d failed\n", codec, s.MiB, s.MiBPerS, s.MemoryMB, s.Refused, s.Failed)
	}
	return nil
}

// streamVolume streams d.Season MiB with one compression to four concurrent clients.
func (d flightCmd) streamVolume(ctx context.Context, f *fleet.Fleet, codec string) (volumeReport, error) {
	c, err := flightsuite.Dial(suiteEnv(f, nil))
	if err != nil {
		return volumeReport{}, err
	}
	defer c.Close()
	session, err := c.Session(ctx, map[string]*gen.SessionOptionValue{"compression": {OptionValue: &gen.SessionOptionValue_StringValue{StringValue: codec}}})
	if err != nil {
		return volumeReport{}, err
	}
	stream := &volumeStream{client: session}
	var wg sync.WaitGroup
	start := time.Now()
	for range 4 {
		wg.Go(func() {
			for stream.bytes.Load() < d.Season<<20 && ctx.Err() == nil && stream.failed.Load() < 100 {
				stream.read(ctx)
			}
		})
	}
	wg.Wait()
	mib := float64(stream.bytes.Load()) / (1 << 20)
	return volumeReport{Codec: codec, MiB: mib, MiBPerS: mib / time.Since(start).Seconds(), MemoryMB: f.Peak(), Refused: stream.refused.Load(), Failed: stream.failed.Load()}, nil
}

// volumeStream counts the queries and bytes of the clients that stream one volume.
type volumeStream struct {
	client                       *flightsuite.Client
	next, bytes, refused, failed atomic.Int64
}

// read sends the next query and reads its answer; after a refusal it waits for the given delay.
func (s *volumeStream) read(ctx context.Context) {
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(2*time.Second))
	g, err := s.client.Get(ctx, s.client.Question("", fourShards(int(s.next.Add(1)))...))
	cancel()
	var r refusal
	if errors.As(asRefusal(err), &r) {
		s.refused.Add(1)
		time.Sleep(r.after)
		return
	}
	if err != nil || !g.Complete {
		s.failed.Add(1)
		return
	}
	for _, docs := range g.Docs {
		for _, doc := range docs {
			s.bytes.Add(int64(len(doc)))
		}
	}
}
