package store

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"gullfall/internal/config"
	"gullfall/internal/replica"
)

// BenchmarkDo: acknowledged writes of 100 bytes at one member with a disk, by one writer and by many.
func BenchmarkDo(b *testing.B) {
	for _, writers := range []int{1, 32} {
		b.Run(fmt.Sprint(writers), func(b *testing.B) {
			s, err := Open(config.Store{Directory: b.TempDir()}, "n0", quiet)
			if err != nil {
				b.Fatal(err)
			}
			defer s.Close()
			ctx, cancel := context.WithDeadline(b.Context(), time.Now().Add(time.Minute))
			defer cancel()
			put := func(key string) error {
				r, err := s.Do(ctx, replica.Command{Put: []replica.Pair{{Key: key, Value: make([]byte, 100)}}})
				return errors.Join(err, r.Err())
			}
			if err := put("first"); err != nil {
				b.Fatal(err)
			}
			b.SetParallelism(max(1, writers/8))
			b.ResetTimer()
			if writers == 1 {
				for b.Loop() {
					if err := put("k"); err != nil {
						b.Fatal(err)
					}
				}
				return
			}
			b.RunParallel(func(p *testing.PB) {
				for p.Next() {
					if err := put("k"); err != nil {
						b.Fatal(err)
					}
				}
			})
		})
	}
}
