//go:build review

package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/apache/arrow-go/v18/arrow/flight"
	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc/status"

	"gullfall/internal/lab/nameserver"
)

// cases are the cases by name.
var cases = map[string]func(*run) int{"twice": twice, "crash": crash, "restart": restart, "altered": altered, "pipeline": pipeline, "flap": flap, "swollen": swollen, "slow": slow, "gone": gone, "transfer": transfer, "hidden": hidden}

// siteClasses returns classes with the figures of the first site; effect is that of the first one.
func siteClasses(effect string) []object {
	return []object{class("rating-report", effect, 2.5, 7.5, 0.1), class("game-lookup", "safe", 1.5, 4, 0.3), class("ranking-board", "safe", 2, 5, 0.1)}
}

// zoneTable returns the part of deploy/gullfall.toml that follows a zone.
func zoneTable(server string) string {
	return fmt.Sprintf("[[dnssd.zone]]\ndomain = \"recife.example.org.\"\nservices = [\"_dn._tcp\"]\nservers = [%q]\ntransfer = true\n", server)
}

// twice plays Flight data nodes that spoil some answers of a class that may not be repeated.
func twice(r *run) (broken int) {
	var mu sync.Mutex
	var answers int
	runs := map[string][]string{} // by part: the data nodes that ran it
	do := func(n *flightNode, p part) reply {
		mu.Lock()
		defer mu.Unlock()
		answers++
		runs[p.id] = append(runs[p.id], n.id)
		out := reply{after: 100 * time.Millisecond, end: "ok", value: doc(p.shard)}
		if r.trouble && answers%20 == 0 {
			noise := make([]byte, 400<<10)
			for i := range noise {
				noise[i] = byte(rand.IntN(256))
			}
			out.value = string(noise)
		}
		return out
	}
	zone := nameserver.NewZone("recife.example.org.", 60)
	for i := range 8 {
		n := r.startFlightNode(fmt.Sprintf("s-%d", i), i%4, do)
		zone.Set(n.instance())
	}
	server, err := nameserver.Start(zone, nil)
	must(err)
	listen := freeAddr("tcp")
	r.spawn("n0", listen, config("n0", listen, startAgent().addr, settings(siteClasses("unsafe"), []float64{1, 1, 0.5})), zoneTable(server.Addr()))
	time.Sleep(1500 * time.Millisecond)
	var asked, served, refused, failed atomic.Int32
	var wg sync.WaitGroup
	for i := range 200 {
		wg.Go(func() {
			id := fmt.Sprintf("%016x", 0xa0000+i)
			asked.Add(1)
			a, err := httpCall(listen, query("rating-report", id, 6*time.Second, "c41e77d0", i%16, (i+1)%16, (i+2)%16, (i+3)%16), 8*time.Second)
			r.note("query %s: %d %v", id, a.status, err)
			switch {
			case a.status == 200:
				served.Add(1)
			case a.status == 503 || a.status == 429:
				refused.Add(1)
			default:
				failed.Add(1)
			}
		})
		time.Sleep(100 * time.Millisecond)
	}
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	for id, by := range runs {
		if len(by) > 1 {
			broken++
			r.note("part %s of a class that may not be repeated was run by %v", id, by)
		}
	}
	r.say("%d queries: %d served, %d refused, %d failed; %d parts run, %d of them more than once", asked.Load(), served.Load(), refused.Load(), failed.Load(), len(runs), broken)
	return broken
}

// crash plays three coordinators in a deployment in which each partition is held by a data node that discovery lists and by a Flight
// data node of the fixed list. Four times, for 13 s each, two of the sixteen data nodes quickly fail 85% of their parts.
func crash(r *run) (broken int) {
	var bad atomic.Bool
	do := func(n *node, p part) reply {
		switch fails := bad.Load() && rand.Float64() < 0.85; {
		case fails && n.id == "s-0":
			return reply{after: time.Duration(15+rand.IntN(25)) * time.Millisecond, end: "err"}
		case fails && n.id == "s-1":
			return reply{after: time.Duration(2+rand.IntN(6)) * time.Millisecond, end: "err"}
		}
		return reply{after: time.Duration(60+rand.IntN(60)) * time.Millisecond, end: "ok", value: doc(p.shard)}
	}
	var list []entry
	fixed := ""
	for i := range 8 {
		x := r.startNode(fmt.Sprintf("s-%d", i), do)
		list = append(list, entry{ID: x.id, Addr: x.addr, Zone: "a", Kind: "std", Cell: i, State: "SERVING", Weight: 1})
		f := r.startFlightNode(fmt.Sprintf("f-%d", i), i, func(_ *flightNode, p part) reply {
			return reply{after: time.Duration(60+rand.IntN(60)) * time.Millisecond, end: "ok", value: doc(p.shard)}
		})
		fixed += fmt.Sprintf("[[node]]\nid = %q\naddr = %q\ncell = %d\nzone = \"b\"\nproto = \"flight\"\n", f.id, f.addr, f.cell)
	}
	set := settings(siteClasses("safe"), []float64{1, 1, 0.5})
	set["FamilyInfo"].(object)["Sets"], set["FamilyInfo"].(object)["Slabs"], set["Balancers"] = 8, 32, 3
	var listens []string
	for i := range 3 {
		listens = append(listens, freeAddr("tcp"))
		name := fmt.Sprintf("n%d", i)
		r.spawn(name, listens[i], config(name, listens[i], startAgent(list...).addr, set), fixed)
	}
	anyDead := func() bool {
		return slices.ContainsFunc(r.procs, func(p *process) bool { return p.isDead() })
	}
	var wg sync.WaitGroup
	var served, refused, failed, lost atomic.Int32
	begun := time.Now()
	for i := 0; time.Since(begun) < 80*time.Second && !anyDead(); i++ {
		at := time.Since(begun)
		bad.Store(r.trouble && at > 5*time.Second && (at-5*time.Second)%(21*time.Second) < 13*time.Second)
		wg.Go(func() {
			id := fmt.Sprintf("%016x", 0xa0000+i)
			at := rand.IntN(32)
			a, err := httpCall(listens[i%3], query("game-lookup", id, 4*time.Second, "c41e77d0", at, (at+1)%32, (at+2)%32, (at+3)%32), 6*time.Second)
			r.note("query %s to n%d: %d %v", id, i%3, a.status, err)
			switch {
			case err != nil:
				lost.Add(1)
			case a.status == 200:
				served.Add(1)
			case a.status == 503 || a.status == 429:
				refused.Add(1)
			default:
				failed.Add(1)
			}
		})
		time.Sleep(10 * time.Millisecond)
	}
	wg.Wait()
	for _, p := range r.procs {
		if p.isDead() {
			broken++
			r.say("%s ended by itself after %v: %v", p.name, time.Since(begun).Round(time.Second), p.exit)
			r.note("end of its log:\n%s", p.log(3000))
		}
	}
	r.say("%d served, %d refused, %d failed, %d without an answer", served.Load(), refused.Load(), failed.Load(), lost.Load())
	return broken
}

// steadyNodes starts frame data nodes, two for each of four cells, that answer after 100 ms, and returns their list.
func steadyNodes(r *run, do func(n *node, p part) reply) (list []entry) {
	for i := range 8 {
		n := r.startNode(fmt.Sprintf("s-%d", i), do)
		list = append(list, entry{ID: n.id, Addr: n.addr, Zone: "a", Kind: "std", Cell: i % 4, State: "SERVING", Weight: 1})
	}
	return list
}

// sound answers each part after 100 ms.
func sound(_ *node, p part) reply {
	return reply{after: 100 * time.Millisecond, end: "ok", value: doc(p.shard)}
}

// restart plays a planned restart under a client that asks many queries on one exchange of the Arrow Flight front, and one that asks
// over HTTP.
func restart(r *run) (broken int) {
	listen, front := freeAddr("tcp"), freeAddr("tcp")
	p := r.spawn("n0", listen, config("n0", listen, startAgent(steadyNodes(r, sound)...).addr, settings(siteClasses("safe"), []float64{1, 1, 0.5})),
		fmt.Sprintf("[flight]\nlisten = %q\n", front))
	time.Sleep(500 * time.Millisecond)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	a := startAsker(ctx, front, "game-lookup")
	var mu sync.Mutex
	sent, answered := map[string]time.Time{}, map[string]string{}
	go func() {
		err := a.answers(func(id, status string) {
			mu.Lock()
			defer mu.Unlock()
			answered[id] = status
			r.note("query %s: %s", id, status)
		})
		r.note("the exchange ended: %v", err)
	}()
	begun, told, killed := time.Now(), time.Time{}, time.Time{}
	// The longest deadline is 7.5 s, which counts as 3 s; SIGKILL comes 0.7 s after that.
	for i := 0; time.Since(begun) < 12*time.Second; i++ {
		if r.trouble && told.IsZero() && time.Since(begun) > 5*time.Second {
			p.signal(syscall.SIGTERM)
			told = time.Now()
		}
		if !told.IsZero() && time.Since(told) > 3700*time.Millisecond {
			break
		}
		id := fmt.Sprintf("q%d", i)
		mu.Lock()
		sent[id] = time.Now()
		mu.Unlock()
		if err := a.ask(id, 4*time.Second, i%16, (i+1)%16, (i+2)%16, (i+3)%16); err != nil {
			mu.Lock()
			delete(sent, id) // it did not go out
			mu.Unlock()
			r.note("query %s could not be sent: %v", id, err)
			break
		}
		r.note("query %s sent", id)
		time.Sleep(40 * time.Millisecond)
	}
	if r.trouble {
		r.note("the process has ended by itself: %v", p.isDead())
		p.signal(syscall.SIGKILL)
		killed = time.Now()
	} else {
		time.Sleep(5 * time.Second)
	}
	time.Sleep(500 * time.Millisecond)
	mu.Lock()
	defer mu.Unlock()
	late := 0
	for id, at := range sent {
		if answered[id] != "" || r.trouble && at.Sub(told) <= 700*time.Millisecond {
			continue
		}
		broken++
		if r.trouble && killed.Sub(at) > 50*time.Millisecond {
			late++
		}
		r.note("query %s, sent %v after SIGTERM, got no answer", id, at.Sub(told).Round(time.Millisecond))
	}
	r.say("%d queries sent on the exchange, %d answered; %d of those sent over 0.7 s after SIGTERM got no final answer (%d of them sent over 50 ms before SIGKILL)",
		len(sent), len(answered), broken, late)
	return broken
}

// altered plays a client whose requests can't be read: their text is no UTF-8, or names half a character.
func altered(r *run) (broken int) {
	var mu sync.Mutex
	texts := map[string]string{} // by query: what a data node got
	do := func(n *node, p part) reply {
		mu.Lock()
		defer mu.Unlock()
		id, _, _ := strings.Cut(p.id, ".")
		texts[id] = p.text
		return sound(n, p)
	}
	listen := freeAddr("tcp")
	r.spawn("n0", listen, config("n0", listen, startAgent(steadyNodes(r, do)...).addr, settings(siteClasses("safe"), []float64{1, 1, 0.5})), "")
	time.Sleep(500 * time.Millisecond)
	for i := range 60 {
		id := fmt.Sprintf("%016x", 0xa0000+i)
		text := fmt.Sprintf("c41e%04x", i)
		bad := r.trouble && i%3 == 2
		if bad {
			text = "c41e" + string([]byte{0xff, 0xfe, byte(0x80 + i)})
		}
		a, err := httpCall(listen, query("game-lookup", id, 3*time.Second, text, i%16, (i+1)%16, (i+2)%16, (i+3)%16), 4*time.Second)
		r.note("query %s with text %q: %d %v %s", id, text, a.status, err, a.body)
		mu.Lock()
		got, ran := texts[id]
		mu.Unlock()
		if ran && got != text {
			broken++
			r.note("a data node was sent the text %q for it, which no client sent", got)
		}
		if bad && a.status == 200 {
			r.note("it was served as though it had run")
		}
	}
	r.say("%d requests were passed on with a text that no client sent", broken)
	return broken
}

// wide returns the body of a query of half of the partitions, with the guess at the work and the key of each part.
func wide() string {
	var list []string
	for s := range 8 {
		list = append(list, fmt.Sprintf(`{"shard":%d,"weight":0.125000000,"cost":130000,"key":"%s"}`, s, doc(s)))
	}
	return fmt.Sprintf(`{"shards":[%s],"q":"c41e77d0"}`, strings.Join(list, ","))
}

// pipeline plays clients that send many commands at once on their connections.
func pipeline(r *run) (broken int) {
	const clients, many, limit = 30, 12, 7 * time.Second
	listen := freeAddr("tcp")
	text := config("n0", listen, startAgent(steadyNodes(r, sound)...).addr, settings(siteClasses("safe"), []float64{1, 1, 0.5}))
	text = strings.Replace(text, `"memory_mb": 192`, `"memory_mb": 32`, 1)
	text = strings.Replace(text, `"sockets": 1024`, `"sockets": 256`, 1)
	r.spawn("n0", listen, text, "")
	time.Sleep(500 * time.Millisecond)
	var mu sync.Mutex
	var wg sync.WaitGroup
	counts := map[int]int{}
	for c := range clients {
		wg.Go(func() {
			nc, err := net.Dial("tcp", listen)
			must(err)
			defer nc.Close()
			_ = nc.SetReadDeadline(time.Now().Add(60 * time.Second))
			in := bufio.NewReader(nc)
			var all strings.Builder
			begun := time.Now()
			for i := range many {
				request := queryRaw("rating-report", fmt.Sprintf("%08x%08x", c, i), limit, wide())
				if r.trouble {
					all.WriteString(request)
					continue
				}
				begun = time.Now()
				_, _ = io.WriteString(nc, request)
				a, err := readAnswer(in)
				mu.Lock()
				counts[a.status]++
				if err != nil {
					broken++
				}
				mu.Unlock()
				r.note("query %08x%08x: %d after %v %v", c, i, a.status, time.Since(begun).Round(time.Millisecond), err)
			}
			if !r.trouble {
				return
			}
			begun = time.Now()
			_, _ = io.WriteString(nc, all.String())
			r.note("client %d sent %d queries at once, %d bytes", c, many, all.Len())
			for i := range many {
				a, err := readAnswer(in)
				mu.Lock()
				if err != nil {
					broken += many - i
					mu.Unlock()
					r.note("client %d: the connection ended before %d of %d answers, after %v: %v", c, many-i, many, time.Since(begun).Round(time.Millisecond), err)
					return
				}
				counts[a.status]++
				mu.Unlock()
				r.note("query %08x%08x: %d after %v %s", c, i, a.status, time.Since(begun).Round(time.Millisecond), a.body)
			}
		})
	}
	wg.Wait()
	r.say("%d queries: answers by status %v; %d were never answered, as the coordinator closed the connection behind them", clients*many, counts, broken)
	return broken
}

// delayUDP starts a relay to a server that delays each packet by the given time in either direction, and returns its address.
func delayUDP(server string, by time.Duration) string {
	front, err := net.ListenPacket("udp", "127.0.0.1:0")
	must(err)
	go func() {
		buf := make([]byte, 64<<10)
		for {
			n, from, err := front.ReadFrom(buf)
			if err != nil {
				return
			}
			packet := append([]byte(nil), buf[:n]...)
			time.AfterFunc(by, func() {
				back, err := net.Dial("udp", server)
				if err != nil {
					return
				}
				defer back.Close()
				_, _ = back.Write(packet)
				_ = back.SetReadDeadline(time.Now().Add(time.Second))
				answer := make([]byte, 64<<10)
				n, err := back.Read(answer)
				if err != nil {
					return
				}
				time.Sleep(by)
				_, _ = front.WriteTo(answer[:n], from)
			})
		}
	}()
	return front.LocalAddr().String()
}

// flap plays records of data nodes that vanish and return within a second, at a name server some way off.
func flap(r *run) (broken int) {
	var mu sync.Mutex
	cells := map[string]int{}
	do := func(n *node, p part) reply {
		mu.Lock()
		defer mu.Unlock()
		if p.shard%4 != cells[n.id] {
			broken++
			r.note("%s holds the shards of cell %d and was sent shard %d", n.id, cells[n.id], p.shard)
			return reply{after: time.Millisecond, end: "busy"}
		}
		return sound(n, p)
	}
	zone := nameserver.NewZone("recife.example.org.", 60)
	var records []nameserver.Instance
	for i := range 16 {
		n := r.startNode(fmt.Sprintf("s-%d", i), do)
		mu.Lock()
		cells[n.id] = i % 4
		mu.Unlock()
		records = append(records, nameserver.Instance{Label: fmt.Sprintf("node %d", i), Service: "_dn._tcp", Weight: 100, Addr: netip.MustParseAddrPort(n.addr),
			Text: []string{"txtvers=1", "id=" + n.id, fmt.Sprintf("cell=%d", i%4), "zone=a", longAgo()}})
	}
	zone.Set(records...)
	server, err := nameserver.Start(zone, nil)
	must(err)
	must(server.Do("bare on")) // without additional records, which are recommended and not required
	listen := freeAddr("tcp")
	table := strings.Replace(zoneTable(delayUDP(server.Addr(), 100*time.Millisecond)), "transfer = true", "transfer = false", 1)
	p := r.spawn("n0", listen, config("n0", listen, startAgent().addr, settings(siteClasses("safe"), []float64{1, 1, 0.5})), table)
	time.Sleep(4 * time.Second)
	begun := time.Now()
	var wg sync.WaitGroup
	if r.trouble {
		wg.Go(func() {
			for i := 0; time.Since(begun) < 60*time.Second; i++ {
				x := records[i%16]
				r.note("the record of %s vanishes", x.Label)
				zone.Remove(x.Label)
				time.Sleep(400 * time.Millisecond)
				r.note("the record of %s returns", x.Label)
				zone.Set(x)
				time.Sleep(300 * time.Millisecond)
			}
		})
	}
	var served, refused, failed atomic.Int32
	for i := 0; time.Since(begun) < 60*time.Second; i++ {
		wg.Go(func() {
			id := fmt.Sprintf("%016x", 0xa0000+i)
			a, err := httpCall(listen, query("game-lookup", id, 4*time.Second, "c41e77d0", i%16, (i+1)%16, (i+2)%16, (i+3)%16), 6*time.Second)
			r.note("query %s: %d %v", id, a.status, err)
			switch a.status {
			case 200:
				served.Add(1)
			case 503:
				refused.Add(1)
			default:
				failed.Add(1)
			}
		})
		time.Sleep(20 * time.Millisecond)
	}
	wg.Wait()
	r.note("log:\n%s", p.log(6000))
	mu.Lock()
	defer mu.Unlock()
	r.say("%d served, %d refused, %d failed; %d parts were sent to a data node that does not hold their shard", served.Load(), refused.Load(), failed.Load(), broken)
	return broken
}

// memoryMB returns the resident memory of a process.
func memoryMB(p *process) int {
	raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	for _, line := range strings.Split(string(raw), "\n") {
		if words := strings.Fields(line); len(words) > 1 && words[0] == "VmRSS:" {
			kb, _ := strconv.Atoi(words[1])
			return kb / 1024
		}
	}
	return 0
}

// swollen plays Flight data nodes of which some answers are spoilt: their value is far too long. The platform ends a coordinator that
// is over its memory.
func swollen(r *run) (broken int) {
	const limit = 192
	spoilt := encode(0, string(make([]byte, 512<<20)))
	r.note("the spoilt value has %d bytes on the wire", len(spoilt[1].DataBody))
	var answers atomic.Int32
	do := func(n *flightNode, p part) reply {
		out := reply{after: 100 * time.Millisecond, end: "ok", value: doc(p.shard)}
		if r.trouble && answers.Add(1) == 200 {
			out.value = spoiltValue
		}
		return out
	}
	zone := nameserver.NewZone("recife.example.org.", 60)
	for i := range 8 {
		n := r.startFlightNode(fmt.Sprintf("s-%d", i), i%4, do)
		n.spoilt = spoilt
		zone.Set(n.instance())
	}
	server, err := nameserver.Start(zone, nil)
	must(err)
	listen := freeAddr("tcp")
	p := r.spawn("n0", listen, config("n0", listen, startAgent().addr, settings(siteClasses("safe"), []float64{1, 1, 0.5})), zoneTable(server.Addr()))
	time.Sleep(1500 * time.Millisecond)
	begun := time.Now()
	most := 0
	var wg sync.WaitGroup
	wg.Go(func() { // the platform
		for time.Since(begun) < 25*time.Second && !p.isDead() {
			mb := memoryMB(p)
			most = max(most, mb)
			if mb > limit {
				broken++
				r.say("n0 holds %d MB of %d and is killed for it", mb, limit)
				p.signal(syscall.SIGKILL)
				return
			}
			time.Sleep(2 * time.Millisecond)
		}
	})
	var served, refused, failed, lost atomic.Int32
	for i := 0; time.Since(begun) < 20*time.Second && !p.isDead(); i++ {
		wg.Go(func() {
			id := fmt.Sprintf("%016x", 0xa0000+i)
			a, err := httpCall(listen, query("game-lookup", id, 4*time.Second, "c41e77d0", i%16, (i+1)%16, (i+2)%16, (i+3)%16), 6*time.Second)
			r.note("query %s: %d %v", id, a.status, err)
			switch {
			case err != nil:
				lost.Add(1)
			case a.status == 200:
				served.Add(1)
			case a.status == 503:
				refused.Add(1)
			default:
				failed.Add(1)
			}
		})
		time.Sleep(60 * time.Millisecond)
	}
	wg.Wait()
	r.note("end of the log:\n%s", p.log(4000))
	r.say("%d served, %d refused, %d failed, %d without an answer; most memory %d MB of %d", served.Load(), refused.Load(), failed.Load(), lost.Load(), most, limit)
	return broken
}

// slow plays clients of the Arrow Flight front that read slowly, in a class that may not be repeated.
func slow(r *run) (broken int) {
	var ran atomic.Int32
	value := strings.Repeat("0123456789abcdef", 3<<10)
	do := func(n *node, p part) reply {
		ran.Add(1)
		return reply{after: 100 * time.Millisecond, end: "ok", value: value}
	}
	listen, front := freeAddr("tcp"), freeAddr("tcp")
	r.spawn("n0", listen, config("n0", listen, startAgent(steadyNodes(r, do)...).addr, settings(siteClasses("unsafe"), []float64{1, 1, 0.5})),
		fmt.Sprintf("[flight]\nlisten = %q\n", front))
	time.Sleep(500 * time.Millisecond)
	c := dialFlight(front)
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	stream, err := c.DoGet(ctx, &flight.Ticket{Ticket: fmt.Appendf(nil, `{"class":"rating-report","owner":"club",%s`, wide()[1:])})
	must(err)
	if r.trouble {
		time.Sleep(23 * time.Second)
	}
	bytes := 0
	for {
		m, err := stream.Recv()
		if err != nil {
			r.say("the stream ended after %d bytes: %v, details %v; %d parts were run", bytes, err, status.Convert(err).Details(), ran.Load())
			for _, d := range status.Convert(err).Details() {
				if _, ok := d.(*errdetails.RetryInfo); ok && ran.Load() > 0 {
					broken++
				}
			}
			return broken
		}
		bytes += len(m.GetDataBody())
	}
}

// gone plays a client of the Arrow Flight front that fetches a flight and closes its connection while its parts are out, at data nodes
// whose first answer to a part is an error.
func gone(r *run) (broken int) {
	var mu sync.Mutex
	var left time.Time
	begun := map[string]int{}
	do := func(n *node, p part) reply {
		mu.Lock()
		defer mu.Unlock()
		if begun[p.id]++; !left.IsZero() && time.Since(left) > 150*time.Millisecond {
			broken++
			r.note("part %s begins %v after the client has left", p.id, time.Since(left).Round(time.Millisecond))
		}
		if begun[p.id] == 1 {
			return reply{after: 400 * time.Millisecond, end: "err"}
		}
		return sound(n, p)
	}
	listen, front := freeAddr("tcp"), freeAddr("tcp")
	r.spawn("n0", listen, config("n0", listen, startAgent(steadyNodes(r, do)...).addr, settings(siteClasses("safe"), []float64{1, 1, 0.5})),
		fmt.Sprintf("[flight]\nlisten = %q\n", front))
	time.Sleep(500 * time.Millisecond)
	c := dialFlight(front)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	info, err := c.GetFlightInfo(ctx, &flight.FlightDescriptor{Type: flight.DescriptorCMD, Cmd: fmt.Appendf(nil, `{"class":"game-lookup","owner":"club",%s`, wide()[1:])})
	must(err)
	stream, err := c.DoGet(ctx, info.Endpoint[0].Ticket)
	must(err)
	if r.trouble {
		time.Sleep(200 * time.Millisecond)
		must(c.Close())
		mu.Lock()
		left = time.Now()
		mu.Unlock()
		time.Sleep(3 * time.Second)
	} else {
		for err == nil {
			_, err = stream.Recv()
		}
		r.say("the stream ended: %v", err)
	}
	mu.Lock()
	defer mu.Unlock()
	r.say("%d attempts began over 0.15 s after the client had closed its connection", broken)
	return broken
}

// transfer plays a name server whose TCP side falls silent, so that zone transfers hang, and a data node whose record is removed after.
func transfer(r *run) (broken int) {
	var mu sync.Mutex
	var removed time.Time
	worst := time.Duration(0)
	do := func(n *node, p part) reply {
		mu.Lock()
		defer mu.Unlock()
		if n.id == "s-0" && !removed.IsZero() {
			worst = max(worst, time.Since(removed))
			if time.Since(removed) > 2050*time.Millisecond {
				broken++
			}
		}
		return sound(n, p)
	}
	zone := nameserver.NewZone("recife.example.org.", 60)
	var records []nameserver.Instance
	for i := range 8 {
		n := r.startNode(fmt.Sprintf("s-%d", i), do)
		records = append(records, nameserver.Instance{Label: fmt.Sprintf("node %d", i), Service: "_dn._tcp", Weight: 100, Addr: netip.MustParseAddrPort(n.addr),
			Text: []string{"txtvers=1", "id=" + n.id, fmt.Sprintf("cell=%d", i%4), "zone=a", longAgo()}})
	}
	zone.Set(records...)
	server, err := nameserver.Start(zone, nil)
	must(err)
	must(server.Do("transfer on"))
	front := delayUDP(server.Addr(), time.Millisecond)
	ln, err := net.Listen("tcp", front)
	must(err)
	var silent atomic.Bool
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			if silent.Load() {
				defer nc.Close()
				continue
			}
			go func() {
				defer nc.Close()
				back, err := net.Dial("tcp", server.Addr())
				if err != nil {
					return
				}
				defer back.Close()
				go func() { _, _ = io.Copy(back, nc) }()
				_, _ = io.Copy(nc, back)
			}()
		}
	}()
	listen := freeAddr("tcp")
	p := r.spawn("n0", listen, config("n0", listen, startAgent().addr, settings(siteClasses("safe"), []float64{1, 1, 0.5})), zoneTable(front))
	time.Sleep(3 * time.Second)
	begun := time.Now()
	var wg sync.WaitGroup
	for i := 0; time.Since(begun) < 25*time.Second; i++ {
		if removed.IsZero() && time.Since(begun) > 5*time.Second {
			silent.Store(r.trouble)
			zone.Remove("node 0")
			mu.Lock()
			removed = time.Now()
			mu.Unlock()
			r.note("the record of s-0 is removed")
		}
		wg.Go(func() {
			_, _ = httpCall(listen, query("game-lookup", fmt.Sprintf("%016x", 0xa0000+i), 4*time.Second, "c41e77d0", i%16, (i+1)%16, (i+2)%16, (i+3)%16), 6*time.Second)
		})
		time.Sleep(30 * time.Millisecond)
	}
	wg.Wait()
	r.note("log:\n%s", p.log(3000))
	r.say("%d parts begun at a removed data node later than 2.05 s after its record was removed, the last %v after", broken, worst.Round(time.Millisecond))
	return broken
}

// hidden plays bad clients whose requests have both Content-Length and Transfer-Encoding, and hide another request in their body.
func hidden(r *run) (broken int) {
	var mu sync.Mutex
	ran := map[string]bool{}
	do := func(n *node, p part) reply {
		mu.Lock()
		defer mu.Unlock()
		id, _, _ := strings.Cut(p.id, ".")
		ran[id] = true
		return sound(n, p)
	}
	listen := freeAddr("tcp")
	r.spawn("n0", listen, config("n0", listen, startAgent(steadyNodes(r, do)...).addr, settings(siteClasses("safe"), []float64{1, 1, 0.5})), "")
	time.Sleep(500 * time.Millisecond)
	forms := []string{"Content-Length: %d\r\nTransfer-Encoding: chunked\r\n", "Transfer-Encoding: chunked\r\nContent-Length: %d\r\n",
		"Content-Length : %d\r\nTransfer-Encoding: chunked\r\n", "Transfer-Encoding: chunked\r\nContent-Length : %d\r\n",
		"Transfer-Encoding: chunked\r\n Content-Length: %d\r\n", "X: y\r\n Content-Length: %d\r\nTransfer-Encoding: chunked\r\n",
		"Content-Length\t: %d\r\nTransfer-Encoding: chunked\r\n", "Content-Length: %d\r\nTransfer-Encoding : chunked\r\n",
		" Content-Length: %d\r\nTransfer-Encoding: chunked\r\n", "Content-Length: %d\r\nTransfer-Encoding: identity\r\n"}
	for i := range 40 {
		usual := fmt.Sprintf("%016x", 0xc0000+i)
		a, err := httpCall(listen, query("game-lookup", usual, 3*time.Second, "c41e77d0", i%16, (i+1)%16, (i+2)%16, (i+3)%16), 4*time.Second)
		r.note("query %s: %d %v", usual, a.status, err)
		if !r.trouble {
			continue
		}
		inner := fmt.Sprintf("%016x", 0xa0000+i)
		body := "0\r\n\r\n" + query("game-lookup", inner, 3*time.Second, "c41e77d0", 0, 1, 2, 3)
		request := fmt.Sprintf("POST /game-lookup HTTP/1.1\r\nHost: api.internal\r\nReq-Id: %016x\r\nReq-Owner: club\r\nReq-Deadline-Ms: 3000\r\n"+
			forms[i%len(forms)]+"\r\n%s", 0xb0000+i, len(body), body)
		nc, err := net.Dial("tcp", listen)
		must(err)
		_ = nc.SetDeadline(time.Now().Add(4 * time.Second))
		_, _ = io.WriteString(nc, request)
		in := bufio.NewReader(nc)
		first, err := readAnswer(in)
		second, err2 := readAnswer(in)
		_ = nc.Close()
		time.Sleep(200 * time.Millisecond)
		mu.Lock()
		passed := ran[inner]
		mu.Unlock()
		r.note("form %q: first answer %d %v, second %d %v; hidden request %s passed on: %v", forms[i%len(forms)], first.status, err, second.status, err2, inner, passed)
		if passed {
			broken++
		}
	}
	r.say("%d hidden requests were passed on to data nodes", broken)
	return broken
}
