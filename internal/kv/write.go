package kv

// Write makes a batch durable, and visible to views that are opened afterwards. The batch is written to the log first, then to the
// memory table, and then becomes visible. While both memory tables are full, Write waits for one to be flushed. An error wraps
// ErrFull, ErrReadOnly, ErrClosed, ErrKey, ErrValue or ErrBatch.
func (db *DB) Write(b Batch) error {
	db.mu.Lock()
	for db.memtablesFull() && db.failed == nil && db.diskFull == nil {
		db.writable.Wait()
	}
	err := db.failed
	if db.memtablesFull() && err == nil {
		err = db.diskFull // a writer does not wait for space that may never come
	}
	db.mu.Unlock()
	if err != nil {
		return err
	}
	_, err = db.log.Append(b)
	return err
}

// apply adds batches that the log has just synced to the memory table, in order.
func (db *DB) apply(first uint64, list []Batch) {
	db.mu.Lock()
	defer db.mu.Unlock()
	for i, b := range list {
		db.active.apply(first+uint64(i), b)
	}
	db.visible = first + uint64(len(list)) - 1
	db.rotateMemtable()
}

// rotateMemtable hands a full memory table to the background goroutine. The caller holds the lock.
func (db *DB) rotateMemtable() {
	if db.immutable == nil && db.active.bytes >= db.cfg.MemoryBytes {
		db.immutable, db.active = db.active, newMemtable()
		db.background.notify()
	}
}

// memtablesFull reports whether both memory tables are full, so that a write has to wait. The caller holds the lock.
func (db *DB) memtablesFull() bool {
	return db.immutable != nil && db.active.bytes >= db.cfg.MemoryBytes
}
