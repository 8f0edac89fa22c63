package kv

import (
	"time"
)

// Quiet waits until nothing is due in the background, or it has failed or finds no room; that it tries again.
func (db *DB) Quiet() error {
	for {
		db.mu.Lock()
		var sizes []int64
		for _, r := range db.runs {
			sizes = append(sizes, r.size)
		}
		_, to := pickMerge(sizes)
		due, err := db.full != nil || to > 0, db.failed
		if err == nil && due {
			err = db.short
		}
		db.mu.Unlock()
		if err != nil || !due {
			return err
		}
		time.Sleep(time.Millisecond)
	}
}
