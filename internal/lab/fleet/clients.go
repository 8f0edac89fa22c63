package fleet

// This file holds the store clients of the lab: they get, put and compare-and-swap values at random coordinators and record each
// operation. A missing answer must never be recorded as a rejection: the operation may have been applied.

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"gullfall/internal/admin"
	"gullfall/internal/lab/linearizability"
)

// storeValue is the request and the answer of the admin socket's commands "store get" and "store put".
type storeValue struct {
	Key, Value string
	Revision   uint64
	If         *uint64 `json:",omitempty"`
	Stale      bool
	Conflict   string
}

// StoreClients is a group of clients that read and write the store. Each epoch uses new keys, which keeps the history of each key short
// enough to check.
type StoreClients struct {
	Fleet   *MaintenanceFleet
	History *linearizability.History
	Clients int
	Keys    int           // per epoch
	Epoch   time.Duration // after which new keys are used
	Pause   time.Duration // mean time between two operations of a client
	Timeout time.Duration // per operation
	Seed    uint64

	start time.Time
}

// Run runs the clients until ctx ends.
func (c *StoreClients) Run(ctx context.Context) {
	c.start = time.Now()
	done := make(chan struct{})
	for i := range c.Clients {
		go func() {
			defer func() { done <- struct{}{} }()
			c.client(ctx, i)
		}()
	}
	for range c.Clients {
		<-done
	}
}

func (c *StoreClients) client(ctx context.Context, client int) {
	random := rand.New(rand.NewPCG(c.Seed, uint64(client)+100))
	for n := 0; ctx.Err() == nil; n++ {
		i := random.IntN(len(c.Fleet.Coords))
		epoch := int(time.Since(c.start) / c.Epoch)
		key := fmt.Sprintf("%d-%d", epoch, random.IntN(c.Keys))
		value := fmt.Sprintf("%d.%d", client, n)
		switch k := random.IntN(10); {
		case k < 4:
			c.get(ctx, client, i, key)
		case k < 7:
			c.put(ctx, i, linearizability.Op{Client: client, Kind: linearizability.Put, Key: key, Value: value}, nil)
		default:
			if old, ok := c.get(ctx, client, i, key); ok {
				c.put(ctx, (i+random.IntN(2))%len(c.Fleet.Coords), linearizability.Op{Client: client, Kind: linearizability.CompareAndSwap, Key: key, Old: old.Value, Value: value}, &old.Revision)
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(random.Int64N(int64(2*c.Pause) + 1))):
		}
	}
}

func (c *StoreClients) get(ctx context.Context, client, i int, key string) (n storeValue, ok bool) {
	o := linearizability.Op{Client: client, Kind: linearizability.Get, Key: key, Call: time.Since(c.start)}
	n, err := c.Fleet.StoreCall(ctx, i, "get", storeValue{Key: key}, time.Now().Add(c.Timeout))
	o.End, o.Value, o.Unknown = time.Since(c.start), n.Value, err != nil
	c.History.Add(o)
	return n, err == nil
}

func (c *StoreClients) put(ctx context.Context, i int, o linearizability.Op, revision *uint64) {
	o.Call = time.Since(c.start)
	n, err := c.Fleet.StoreCall(ctx, i, "put", storeValue{Key: o.Key, Value: o.Value, If: revision}, time.Now().Add(c.Timeout))
	o.End, o.Swapped, o.Unknown = time.Since(c.start), err == nil && n.Conflict == "", err != nil
	c.History.Add(o)
}

// ReadAll reads the keys of all epochs at one coordinator and returns their values.
func (c *StoreClients) ReadAll(ctx context.Context, i int) (map[string]string, error) {
	values := map[string]string{}
	for epoch := range int(time.Since(c.start)/c.Epoch) + 1 {
		for k := range c.Keys {
			key := fmt.Sprintf("%d-%d", epoch, k)
			n, ok := c.get(ctx, -1, i, key)
			if !ok {
				return nil, fmt.Errorf("the final read of key %s failed", key)
			}
			values[key] = n.Value
		}
	}
	return values, nil
}

// StoreCall gets or puts a value at a coordinator; operation is "get" or "put".
func (w *MaintenanceFleet) StoreCall(ctx context.Context, i int, operation string, n storeValue, end time.Time) (got storeValue, err error) {
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	return got, admin.Call(ctx, w.socket(i), "store "+operation, n, &got)
}

// Fill puts values of the given length in bytes at one coordinator, by concurrent writers that reuse the given number of keys.
func (w *MaintenanceFleet) Fill(ctx context.Context, i, count, length, keys int) error {
	group, ctx := errgroup.WithContext(ctx)
	value := strings.Repeat("x", length-8)
	const writers = 6 // a coordinator accepts at most 16 admin connections at a time
	for k := range writers {
		group.Go(func() error {
			for n := k; n < count; n += writers {
				entry := storeValue{Key: fmt.Sprint("fill-", n%keys), Value: fmt.Sprintf("%08d", n) + value}
				if _, err := w.StoreCall(ctx, i, "put", entry, time.Now().Add(10*time.Second)); err != nil {
					return err
				}
			}
			return nil
		})
	}
	return group.Wait()
}

// Applied returns the index up to which a coordinator has applied the store's log, and the leader that it knows.
func (w *MaintenanceFleet) Applied(ctx context.Context, i int) (index uint64, leader string, err error) {
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(time.Second))
	defer cancel()
	var v struct {
		Applied uint64 `json:"applied"`
		Leader  string `json:"leader"`
	}
	err = admin.Call(ctx, w.socket(i), "store", nil, &v)
	return v.Applied, v.Leader, err
}

// StoreTerm is a term of the store and the time at which it was first observed.
type StoreTerm struct {
	At   time.Time
	Term uint64
}

// WatchTerms polls the coordinators for the store's term until ctx ends and returns each new term.
func (w *MaintenanceFleet) WatchTerms(ctx context.Context) (terms []StoreTerm) {
	for ctx.Err() == nil {
		for i := range w.Coords {
			if !w.Up(i) {
				continue
			}
			pollCtx, cancel := context.WithDeadline(ctx, time.Now().Add(300*time.Millisecond))
			var v struct {
				Term uint64 `json:"term"`
			}
			err := admin.Call(pollCtx, w.socket(i), "store", nil, &v)
			cancel()
			if err == nil && (len(terms) == 0 || v.Term > terms[len(terms)-1].Term) {
				terms = append(terms, StoreTerm{time.Now(), v.Term})
			}
		}
		time.Sleep(40 * time.Millisecond)
	}
	return terms
}

// Sent returns the number of bytes sent between the members of the store.
func (w *MaintenanceFleet) Sent() (n int64) {
	for _, row := range w.links {
		for _, p := range row {
			if p != nil {
				c := p.Counts()
				n += c.Up + c.Down
			}
		}
	}
	return n
}
