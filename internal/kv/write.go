package kv

// Write makes a batch last, and visible to who reads after it. While two memory tables are full it waits for the first
// to be written.
func (db *DB) Write(b Batch) error {
	db.mu.Lock()
	for db.full != nil && db.mem.bytes >= db.cfg.MemoryBytes && db.failed == nil && db.short == nil {
		db.room.Wait()
	}
	err := db.failed
	if db.full != nil && db.mem.bytes >= db.cfg.MemoryBytes && err == nil {
		err = db.short // nobody waits for room that may never come
	}
	db.mu.Unlock()
	if err != nil {
		return err
	}
	_, err = db.log.Append(b)
	return err
}

// apply takes in batches that the log has just synced, in their order.
func (db *DB) apply(first uint64, list []Batch) {
	db.mu.Lock()
	defer db.mu.Unlock()
	for i, b := range list {
		db.mem.apply(first+uint64(i), b)
	}
	db.visible = first + uint64(len(list)) - 1
	db.turn()
}

// turn puts a memory table that is full aside to be written. The caller holds the lock.
func (db *DB) turn() {
	if db.full == nil && db.mem.bytes >= db.cfg.MemoryBytes {
		db.full, db.mem = db.mem, newMemory()
		db.nudge()
	}
}

func (db *DB) nudge() {
	select {
	case db.wake <- struct{}{}:
	default:
	}
}
