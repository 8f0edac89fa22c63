package kv_test

// Benchmarks of durable writes to files of the operating system, by the number of concurrent writers.

import (
	"fmt"
	"sync"
	"testing"

	"gullfall/internal/kv"
)

// BenchmarkAppend measures batches of 100 bytes, each acknowledged after its sync.
func BenchmarkAppend(b *testing.B) {
	for _, writers := range []int{1, 16, 128} {
		b.Run(fmt.Sprint(writers), func(b *testing.B) {
			l, _, err := kv.OpenLog(kv.Dir(b.TempDir()), kv.Options{})
			if err != nil {
				b.Fatal(err)
			}
			defer l.Close()
			var wg sync.WaitGroup
			work := make(chan int, writers)
			for range writers {
				wg.Go(func() {
					for n := range work {
						if _, err := l.Append(kv.Batch{{Kind: kv.Put, Key: fmt.Appendf(nil, "key %09d", n), Value: make([]byte, 80)}}); err != nil {
							b.Error(err)
						}
					}
				})
			}
			for n := 0; b.Loop(); n++ {
				work <- n
			}
			close(work)
			wg.Wait()
		})
	}
}
