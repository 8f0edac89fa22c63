//go:build review

package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

func init() { cases["crowd"] = playCrowd }

// Figures of the case crowd.
const (
	crowdSockets = 512 // descriptors of the coordinator
	crowdGroup   = 300 // silent clients that connect at once, once a second
	crowdFor     = 12 * time.Second
	askInterval  = 100 * time.Millisecond // between requests of usual clients
)

// playCrowd: silent clients connect by hundreds and say nothing, until the coordinator closes their connections. Usual clients send
// requests on new connections, wait until half a second after their time, and leave. The rule is broken if a request that was
// written whole to an accepted connection gets no answer by then, or if an attempt for it begins after its client has left.
func playCrowd(w *world) (breaks []string, err error) {
	var mu sync.Mutex
	left := map[string]time.Time{} // by query: when its client left without an answer
	var late []string
	serve := func(a *attempt) {
		id, _, _ := strings.Cut(a.id, ".")
		mu.Lock()
		if at, gone := left[id]; gone && a.at.Sub(at) > leaveSlack+heldUp {
			late = append(late, fmt.Sprintf("part %s was sent to %s %.1f s after its client had left", a.id, a.node.id, a.at.Sub(at).Seconds()))
		}
		mu.Unlock()
		time.Sleep(50 * time.Millisecond)
		a.answer("ok", "value of "+a.id)
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
	c, err := w.startCoordinator("n0", d.addr, crowdSockets, settings)
	if err != nil {
		return nil, err
	}
	time.Sleep(time.Second)
	end := time.Now().Add(crowdFor)
	var clients sync.WaitGroup
	if w.trouble {
		clients.Go(func() {
			for time.Now().Before(end) {
				w.logf("%d silent clients connect", crowdGroup)
				for range crowdGroup {
					clients.Go(func() { beSilent(c.addr, end) })
				}
				time.Sleep(time.Second)
			}
		})
	}
	asked, answered, notAccepted := 0, 0, 0
	for i := 0; time.Now().Before(end); i++ {
		deadline := time.Duration(2400+i%5*400) * time.Millisecond // 60 to 100% of the give-up time
		id := fmt.Sprintf("%016x", 0xc0000000+i)
		asked++
		clients.Go(func() {
			r := w.send(c.addr, &request{id: id, class: "game-lookup", text: "lookup", deadline: deadline, parts: []part{{Shard: i % 16, Weight: 1}}})
			mu.Lock()
			defer mu.Unlock()
			switch {
			case r.err == nil:
				answered++
			case !r.written:
				notAccepted++
			case r.shut:
				// New connections may be shut unread while idle clients fill the descriptors.
			default:
				left[id] = time.Now()
				breaks = append(breaks, fmt.Sprintf("request %s had %.1f s and got no answer within %.3f s", id, deadline.Seconds(), r.took.Seconds()))
			}
		})
		time.Sleep(askInterval)
	}
	clients.Wait()
	time.Sleep(10 * time.Second) // what the coordinator still sends for clients that have left
	mu.Lock()
	defer mu.Unlock()
	w.logf("%d requests, %d answered, %d on connections that were not accepted, %d without an answer, %d attempts after their client left", asked,
		answered, notAccepted, len(breaks), len(late))
	breaks = append(breaks, late...)
	if crash := w.crash(); crash != "" {
		breaks = append(breaks, "the coordinator ended: "+crash)
	}
	if answered == 0 || !w.trouble && answered < asked {
		return breaks, fmt.Errorf("%d of %d requests were answered", answered, asked)
	}
	return breaks, nil
}

// beSilent connects, sends nothing and reads until the coordinator closes the connection, or a while after the end.
func beSilent(addr string, end time.Time) {
	nc, err := net.DialTimeout("tcp", addr, 3*time.Second)
	if err != nil {
		return
	}
	defer nc.Close()
	_ = nc.SetReadDeadline(end.Add(5 * time.Second))
	_, _ = io.Copy(io.Discard, nc)
}
