package store

import (
	"context"
	"errors"
	"testing"
	"time"

	"gullfall/internal/config"
	"gullfall/internal/statemachine"
)

// put100 writes a value of 100 bytes through a member.
func put100(ctx context.Context, s *Store) error {
	r, err := s.Do(ctx, statemachine.Command{Put: []statemachine.Pair{{Key: "k", Value: make([]byte, 100)}}})
	return errors.Join(err, r.Err())
}

// BenchmarkDo measures acknowledged writes of 100 bytes to a single member with a disk, by one writer and by four per processor.
func BenchmarkDo(b *testing.B) {
	for _, name := range []string{"one", "many"} {
		b.Run(name, func(b *testing.B) {
			s, err := Open(config.Store{Directory: b.TempDir()}, "n0", discardLog)
			if err != nil {
				b.Fatal(err)
			}
			defer s.Close()
			ctx, cancel := context.WithDeadline(b.Context(), time.Now().Add(time.Minute))
			defer cancel()
			if err := put100(ctx, s); err != nil {
				b.Fatal(err)
			}
			b.SetParallelism(4)
			b.ResetTimer()
			if name == "one" {
				for b.Loop() {
					if err := put100(ctx, s); err != nil {
						b.Fatal(err)
					}
				}
				return
			}
			b.RunParallel(func(p *testing.PB) {
				for p.Next() {
					if err := put100(ctx, s); err != nil {
						b.Error(err)
						return
					}
				}
			})
		})
	}
}

// BenchmarkOpen measures opening a member's disk to which 80,000 entries were written and the last of them retained. The time must
// grow with the retained part of the log (retention.go), not with all that was written.
func BenchmarkOpen(b *testing.B) {
	dir := b.TempDir()
	for range 5 {
		s, err := Open(config.Store{Directory: dir}, "n0", discardLog)
		if err != nil {
			b.Fatal(err)
		}
		ctx, cancel := context.WithDeadline(b.Context(), time.Now().Add(time.Minute))
		done := make(chan error, 16)
		for range cap(done) {
			go func() {
				for range 1000 {
					if err := put100(ctx, s); err != nil {
						done <- err
						return
					}
				}
				done <- nil
			}()
		}
		for range cap(done) {
			if err := <-done; err != nil {
				b.Fatal(err)
			}
		}
		cancel()
		if err := s.Close(); err != nil {
			b.Fatal(err)
		}
	}
	for b.Loop() {
		d, err := openDisk(dir, discardLog)
		if err != nil {
			b.Fatal(err)
		}
		if err := d.Close(); err != nil {
			b.Fatal(err)
		}
	}
}
