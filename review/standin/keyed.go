//go:build review

package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { cases["keyed"] = playKeyed }

// Figures of the case keyed.
const (
	memorySpan  = time.Second
	hangFor     = 1400 * time.Millisecond
	partService = 80 * time.Millisecond
	ringNodes   = 12 // one of them hangs at a time
	ringReach   = 3
	rounds      = 6
)

// playKeyed: a keyed class whose repeats are dropped for memorySpan, a ring of data nodes with ringReach holders of each shard, second
// copies permitted. In each round the data node that gets the keyed part hangs in the middle of its work, and its connections are
// reset after hangFor; the next one that gets the part fails it at once. The rule is broken if a further attempt of the part arrives
// later than memorySpan, with the slacks of the pages, after the first one, which may have run.
func playKeyed(w *world) (breaks []string, err error) {
	var mu sync.Mutex
	attempts := map[string][]*attempt{} // by part
	hung := map[*dataNode]bool{}
	serve := func(a *attempt) {
		keyed := a.key() != ""
		mu.Lock()
		if keyed {
			attempts[a.id] = append(attempts[a.id], a)
		}
		number := len(attempts[a.id])
		if w.trouble && keyed && number == 1 {
			hung[a.node] = true
			w.logf("%s hangs from now on", a.node.id)
			time.AfterFunc(hangFor, func() {
				mu.Lock()
				delete(hung, a.node)
				mu.Unlock()
				w.logf("connections of %s are reset", a.node.id)
				a.node.resetAll()
			})
		}
		mu.Unlock()
		if w.trouble && keyed && number == 2 {
			a.answer("err", "")
			return
		}
		time.Sleep(partService)
		mu.Lock()
		hangs := hung[a.node]
		mu.Unlock()
		if !hangs {
			a.answer("ok", "value of "+a.id)
		}
	}
	var servers []server
	for cell := range ringNodes {
		n, err := w.startNode(fmt.Sprintf("s-%d", cell), serve)
		if err != nil {
			return nil, err
		}
		servers = append(servers, server{ID: n.id, Addr: n.addr, Zone: "a", Kind: "std-2c", Cell: cell, State: "SERVING", Weight: 1})
	}
	d, err := w.startDiscovery(servers)
	if err != nil {
		return nil, err
	}
	settings := baseSettings([]map[string]any{
		{"Name": "staff-lookup", "Effect": "safe", "AimS": 1.2, "HardLimitS": 3.0, "LateWorth": 0.3, "MemorySpanS": 2.5, "Gain": 1.0},
		{"Name": "pay-adjust", "Effect": "keyed", "AimS": 1.2, "HardLimitS": 2.5, "LateWorth": 0.3, "MemorySpanS": memorySpan.Seconds(), "Gain": 2.0},
	}, map[string]any{"Sets": ringNodes, "Slabs": ringNodes, "Width": ringReach, "BundleMax": 1}, map[string]any{"MayDuplicate": true})
	c, err := w.startCoordinator("n0", d.addr, 1024, settings)
	if err != nil {
		return nil, err
	}
	stop, background := make(chan struct{}), sync.WaitGroup{}
	background.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(25 * time.Millisecond): // about 41 queries a second
			}
			background.Go(func() {
				w.send(c.addr, &request{id: fmt.Sprintf("%016x", 0xb0000000+i), class: "staff-lookup", text: "lookup", deadline: 3 * time.Second,
					parts: []part{{Shard: i % ringNodes, Weight: 1}}})
			})
		}
	})
	time.Sleep(1500 * time.Millisecond)
	answered := 0
	for i := range rounds {
		id := fmt.Sprintf("%016x", 0xa0000000+i)
		r := w.send(c.addr, &request{id: id, class: "pay-adjust", text: "adjust", key: fmt.Sprintf("%032x", i+1), deadline: 2500 * time.Millisecond,
			parts: []part{{Shard: i % ringNodes, Weight: 1}}})
		if r.status == 200 {
			answered++
		}
		time.Sleep(1500 * time.Millisecond)
	}
	close(stop)
	background.Wait()
	mu.Lock()
	defer mu.Unlock()
	for i := range rounds {
		id := fmt.Sprintf("%016x.%d", 0xa0000000+i, i%ringNodes)
		var times []string
		late := false
		for _, a := range attempts[id] {
			after := a.at.Sub(attempts[id][0].at)
			times = append(times, fmt.Sprintf("%s at %.3f s", a.node.id, after.Seconds()))
			late = late || after > memorySpan+timeSlack+heldUp
		}
		w.logf("part %s: %s", id, strings.Join(times, ", "))
		if late {
			breaks = append(breaks, fmt.Sprintf("keyed part %s was sent again later than %v after its first attempt, which may have run: %s", id,
				memorySpan, strings.Join(times, ", ")))
		}
	}
	if len(attempts) == 0 {
		return nil, fmt.Errorf("no keyed part arrived")
	}
	if !w.trouble && answered < rounds {
		return breaks, fmt.Errorf("%d of %d keyed queries were answered without trouble", answered, rounds)
	}
	if crash := w.crash(); crash != "" {
		breaks = append(breaks, "the coordinator ended: "+crash)
	}
	return breaks, nil
}
