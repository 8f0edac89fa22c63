//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

func init() { cases["spoilt"] = playSpoilt }

// Figures of the case spoilt.
const (
	valueBytes  = 6000 // of a value
	shortBy     = 1500 // by so much the length of a spoilt answer is too small
	spoiltShare = 0.1  // of answers
	queries     = 300
)

// valueOf returns the value of a shard: text of valueBytes bytes, the same at each data node.
func valueOf(shard int) string {
	random := rand.New(rand.NewPCG(uint64(shard), 1))
	var b strings.Builder
	for b.Len() < valueBytes {
		fmt.Fprintf(&b, "%016x ", random.Uint64())
	}
	return b.String()[:valueBytes]
}

// playSpoilt: of the answers of data nodes spoiltShare, from any data node equally, have a length that does not fit: it is shortBy
// bytes too small. All bytes are written at once. The rule is broken if a client is served a value that no data node made.
func playSpoilt(w *world) (breaks []string, err error) {
	var mu sync.Mutex
	spoilt := 0
	random := rand.New(rand.NewPCG(7, 7))
	serve := func(a *attempt) {
		time.Sleep(20 * time.Millisecond)
		mu.Lock()
		spoil := w.trouble && random.Float64() < spoiltShare
		if spoil {
			spoilt++
		}
		mu.Unlock()
		if !spoil {
			a.answer("ok", valueOf(a.shard))
			return
		}
		if a.givenUp() {
			return
		}
		rest := "A" + a.id + " ok 1 -\n" + valueOf(a.shard)
		n := len(rest) - shortBy
		w.logf("%s answers %s spoilt: %d bytes follow, and the length says %d", a.node.id, a.id, len(rest), n)
		a.conn.writeRaw(append([]byte{byte(n), byte(n >> 8), byte(n >> 16), byte(n >> 24)}, rest...))
	}
	var servers []server
	for i := range 12 {
		n, err := w.startNode(fmt.Sprintf("s-%d", i), serve)
		if err != nil {
			return nil, err
		}
		servers = append(servers, server{ID: n.id, Addr: n.addr, Zone: "a", Kind: "std-2core", Cell: i % 4, State: "SERVING", Weight: 1})
	}
	d, err := w.startDiscovery(servers)
	if err != nil {
		return nil, err
	}
	settings := baseSettings([]map[string]any{
		{"Name": "game-lookup", "Effect": "safe", "AimS": 1.5, "HardLimitS": 4.0, "LateWorth": 0.3, "MemorySpanS": 5.0, "Gain": 1.0},
	}, map[string]any{"Sets": 4, "Slabs": 16, "Width": 1, "BundleMax": 8, "CallCostS": 0.005}, map[string]any{"MayDuplicate": false})
	c, err := w.startCoordinator("n0", d.addr, 1024, settings)
	if err != nil {
		return nil, err
	}
	time.Sleep(time.Second)
	answered, clients := 0, sync.WaitGroup{}
	for i := range queries {
		clients.Go(func() {
			first := i % 13
			var parts []part
			for s := range 4 {
				parts = append(parts, part{Shard: first + s, Weight: 0.25})
			}
			id := fmt.Sprintf("%016x", 0xc0000000+i)
			r := w.send(c.addr, &request{id: id, class: "game-lookup", text: "lookup", deadline: 4 * time.Second, parts: parts})
			mu.Lock()
			defer mu.Unlock()
			if r.status == 200 && r.err == nil {
				answered++
			}
			for shard, doc := range r.docs {
				if doc != valueOf(shard) {
					breaks = append(breaks, fmt.Sprintf("query %s was served with %d bytes for shard %d, cut off from the %d that a data node made", id,
						len(doc), shard, len(valueOf(shard))))
				}
			}
		})
		time.Sleep(60 * time.Millisecond)
	}
	clients.Wait()
	w.logf("%d of %d queries answered, %d answers spoilt, %d values cut off", answered, queries, spoilt, len(breaks))
	if crash := w.crash(); crash != "" {
		breaks = append(breaks, "the coordinator ended: "+crash)
	}
	if answered == 0 || !w.trouble && answered < queries*9/10 {
		return breaks, fmt.Errorf("%d of %d queries were answered", answered, queries)
	}
	return breaks, nil
}
