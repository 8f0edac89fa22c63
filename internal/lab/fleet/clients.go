package fleet

// Here are the clients of the coordinators' store in the lab: they read, put and swap values at whichever coordinator, and
// keep what came of it. It must never take an answer that did not come for a refusal.

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

// storeNote is a note as the program's admin socket takes and gives it.
type storeNote struct {
	Key, Value string
	Revision   uint64
	If         *uint64 `json:",omitempty"`
	Stale      bool
	Conflict   string
}

// StoreClients work on the store until ctx ends. Keys change with each epoch, so that the history of each stays short enough to check.
type StoreClients struct {
	Fleet   *MaintenanceFleet
	History *linearizability.History
	Clients int
	Keys    int           // in an epoch
	Epoch   time.Duration //
	Pause   time.Duration // of a client, between two operations
	Timeout time.Duration // of an operation
	Seed    uint64

	start time.Time
}

// Run runs them.
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
	chance := rand.New(rand.NewPCG(c.Seed, uint64(client)+100))
	for n := 0; ctx.Err() == nil; n++ {
		i := chance.IntN(len(c.Fleet.Coords))
		epoch := int(time.Since(c.start) / c.Epoch)
		key := fmt.Sprintf("%d-%d", epoch, chance.IntN(c.Keys))
		value := fmt.Sprintf("%d.%d", client, n)
		switch k := chance.IntN(10); {
		case k < 4:
			c.get(ctx, client, i, key)
		case k < 7:
			c.put(ctx, i, linearizability.Op{Client: client, Kind: linearizability.Put, Key: key, Value: value}, nil)
		default:
			if old, ok := c.get(ctx, client, i, key); ok {
				c.put(ctx, (i+chance.IntN(2))%len(c.Fleet.Coords), linearizability.Op{Client: client, Kind: linearizability.Swap, Key: key, Old: old.Value, Value: value}, &old.Revision)
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(chance.Int64N(int64(2*c.Pause) + 1))):
		}
	}
}

func (c *StoreClients) get(ctx context.Context, client, i int, key string) (n storeNote, ok bool) {
	o := linearizability.Op{Client: client, Kind: linearizability.Get, Key: key, Call: time.Since(c.start)}
	n, err := c.Fleet.Note(ctx, i, "get", storeNote{Key: key}, time.Now().Add(c.Timeout))
	o.End, o.Value, o.Unknown = time.Since(c.start), n.Value, err != nil
	c.History.Add(o)
	return n, err == nil
}

func (c *StoreClients) put(ctx context.Context, i int, o linearizability.Op, revision *uint64) {
	o.Call = time.Since(c.start)
	n, err := c.Fleet.Note(ctx, i, "put", storeNote{Key: o.Key, Value: o.Value, If: revision}, time.Now().Add(c.Timeout))
	o.End, o.Done, o.Unknown = time.Since(c.start), err == nil && n.Conflict == "", err != nil
	c.History.Add(o)
}

// Final reads every key that was ever written, at one coordinator.
func (c *StoreClients) Final(ctx context.Context, i int) (map[string]string, error) {
	values := map[string]string{}
	for epoch := range int(time.Since(c.start)/c.Epoch) + 1 {
		for k := range c.Keys {
			key := fmt.Sprintf("%d-%d", epoch, k)
			n, ok := c.get(ctx, -1, i, key)
			if !ok {
				return nil, fmt.Errorf("%s is not read in the end", key)
			}
			values[key] = n.Value
		}
	}
	return values, nil
}

// Note puts or gets a note at a coordinator.
func (w *MaintenanceFleet) Note(ctx context.Context, i int, word string, n storeNote, end time.Time) (got storeNote, err error) {
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	return got, admin.Call(ctx, w.socket(i), "store "+word, n, &got)
}

// Fill puts so many notes of a length under so many keys, by writers side by side at one coordinator.
func (w *MaintenanceFleet) Fill(ctx context.Context, i, notes, length, keys int) error {
	group, ctx := errgroup.WithContext(ctx)
	value := strings.Repeat("x", length-8)
	const writers = 6 // a coordinator takes 16 connections of operators at once
	for k := range writers {
		group.Go(func() error {
			for n := k; n < notes; n += writers {
				note := storeNote{Key: fmt.Sprint("fill-", n%keys), Value: fmt.Sprintf("%08d", n) + value}
				if _, err := w.Note(ctx, i, "put", note, time.Now().Add(10*time.Second)); err != nil {
					return err
				}
			}
			return nil
		})
	}
	return group.Wait()
}

// Applied is up to which place in the store's log a coordinator has applied it, and who leads by it.
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

// Reign is a term of the store, as it was first seen.
type Reign struct {
	At   time.Time
	Term uint64
}

// Reigns watches the store's terms at whoever answers, until ctx ends.
func (w *MaintenanceFleet) Reigns(ctx context.Context) (list []Reign) {
	for ctx.Err() == nil {
		for i := range w.Coords {
			if !w.Up(i) {
				continue
			}
			one, cancel := context.WithDeadline(ctx, time.Now().Add(300*time.Millisecond))
			var v struct {
				Term uint64 `json:"term"`
			}
			err := admin.Call(one, w.socket(i), "store", nil, &v)
			cancel()
			if err == nil && (len(list) == 0 || v.Term > list[len(list)-1].Term) {
				list = append(list, Reign{time.Now(), v.Term})
			}
		}
		time.Sleep(40 * time.Millisecond)
	}
	return list
}

// Sent is how many bytes have passed between the members of the store.
func (w *MaintenanceFleet) Sent() (n int64) {
	for _, row := range w.ways {
		for _, p := range row {
			if p != nil {
				c := p.Counts()
				n += c.Up + c.Down
			}
		}
	}
	return n
}
