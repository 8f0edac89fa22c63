package kv

import "time"

// WaitIdle waits until the background goroutine has nothing to do, or returns the error if it failed or found the disk full.
func (db *DB) WaitIdle() error {
	for {
		db.mu.Lock()
		_, to := pickMerge(db.runSizes())
		due, err := db.immutable != nil || to > 0, db.failed
		if err == nil && due {
			err = db.diskFull
		}
		db.mu.Unlock()
		if err != nil || !due {
			return err
		}
		time.Sleep(time.Millisecond)
	}
}
