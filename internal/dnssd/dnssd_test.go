package dnssd

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/miekg/dns"

	"gullfall/aggregator"
	"gullfall/internal/core"
)

// zone is a stand-in DNS server that answers from a list of records.
type zone struct {
	mu      sync.Mutex
	records []string
	mute    bool
}

func (z *zone) set(mute bool, records ...string) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.records, z.mute = records, mute
}

func (z *zone) ServeDNS(w dns.ResponseWriter, q *dns.Msg) {
	z.mu.Lock()
	defer z.mu.Unlock()
	if z.mute {
		return
	}
	answer := new(dns.Msg).SetReply(q)
	for _, text := range z.records {
		rr, err := dns.NewRR(text)
		if err != nil {
			panic(err)
		}
		if rr.Header().Rrtype == q.Question[0].Qtype && strings.EqualFold(rr.Header().Name, q.Question[0].Name) {
			answer.Answer = append(answer.Answer, rr)
		}
	}
	w.WriteMsg(answer)
}

// serve answers on a loopback socket.
func serve(t *testing.T, h dns.Handler) (addr string) {
	t.Helper()
	pc, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	up := make(chan struct{})
	server := &dns.Server{PacketConn: pc, Handler: h, NotifyStartedFunc: func() { close(up) }}
	go server.ActivateAndServe()
	<-up
	t.Cleanup(func() { server.Shutdown() })
	return pc.LocalAddr().String()
}

func instance(name, port, txt string) []string {
	full := name + "._gullfall-node._tcp.local."
	return []string{"_gullfall-node._tcp.local. 2 IN PTR " + full, full + " 2 IN SRV 0 0 " + port + " " + name + ".local.",
		name + ".local. 2 IN A 127.0.0.1", full + " 2 IN TXT " + txt}
}

func join(lists ...[]string) (all []string) {
	for _, l := range lists {
		all = append(all, l...)
	}
	return all
}

// TestBrowse follows a zone through good, bad and vanished records and a silent resolver.
func TestBrowse(t *testing.T) {
	set := aggregator.Settings{Cells: 2, Shards: 4, Reach: 1, Tick: time.Millisecond,
		Classes: []aggregator.Class{{Name: "c", Aim: time.Second, Deadline: time.Second}}}
	var log bytes.Buffer
	c, err := core.New(set, 1, slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		t.Fatal(err)
	}
	var mu sync.Mutex
	seen := map[string]*core.Node{}
	z := &zone{}
	b := &Browser{Log: slog.New(slog.NewTextHandler(&log, nil)), Resolver: serve(t, z),
		Service: "_gullfall-node._tcp", Domain: "local.", Fleet: c.Fleet(func(n *core.Node) {
			mu.Lock()
			defer mu.Unlock()
			seen[n.ID()] = n
		})}
	one := instance("one", "4001", `"cell=1" "zone=a" "weight=2.5" "state=serving" "started_ms=1000" "other"`)
	two := instance("two", "4002", `"state=leaving"`)
	steps := []struct {
		name    string
		mute    bool
		records []string
		want    map[string]core.Member
		fails   bool
		logged  string
	}{
		{"none", false, nil, map[string]core.Member{}, false, ""},
		{"two", false, join(one, two), map[string]core.Member{
			"one": {ID: "one", Addr: "127.0.0.1:4001", Zone: "a", Cell: 1, Weight: 2.5, Started: time.UnixMilli(1000)},
			"two": {ID: "two", Addr: "127.0.0.1:4002", Weight: 1, State: core.Draining}}, false, ""},
		{"silent resolver", true, nil, map[string]core.Member{
			"one": {ID: "one", Addr: "127.0.0.1:4001", Zone: "a", Cell: 1, Weight: 2.5, Started: time.UnixMilli(1000)},
			"two": {ID: "two", Addr: "127.0.0.1:4002", Weight: 1, State: core.Draining}}, true, ""},
		{"bad text", false, join(instance("one", "4001", `"cell=x"`), two), map[string]core.Member{
			"two": {ID: "two", Addr: "127.0.0.1:4002", Weight: 1, State: core.Draining}}, false, "record not usable"},
		{"no SRV", false, join(one[:1], two), map[string]core.Member{
			"two": {ID: "two", Addr: "127.0.0.1:4002", Weight: 1, State: core.Draining}}, false, "no SRV record"},
		{"host elsewhere", false, []string{one[0], one[1], one[3], "one.local. 2 IN A 192.0.2.1"},
			map[string]core.Member{}, false, "no loopback address"},
		{"vanished", false, nil, map[string]core.Member{}, false, ""},
		{"back", false, two, map[string]core.Member{
			"two": {ID: "two", Addr: "127.0.0.1:4002", Weight: 1, State: core.Draining}}, false, ""},
		{"vanished again", false, nil, map[string]core.Member{}, false, "record has vanished"},
	}
	for _, s := range steps {
		z.set(s.mute, s.records...)
		log.Reset()
		if _, err := b.browse(t.Context()); (err != nil) != s.fails {
			t.Errorf("%s: error %v", s.name, err)
		}
		got := map[string]core.Member{}
		for _, m := range b.known {
			got[m.ID] = m
		}
		if diff := cmp.Diff(s.want, got); diff != "" {
			t.Errorf("%s: (-want +got)\n%s", s.name, diff)
		}
		if !strings.Contains(log.String(), s.logged) {
			t.Errorf("%s: logged %q, want %q in it", s.name, log.String(), s.logged)
		}
	}
	mu.Lock()
	defer mu.Unlock()
	if !seen["two"].Barred() || len(seen) != 2 {
		t.Errorf("the core was handed %d data nodes; the vanished one barred: %v", len(seen), seen["two"].Barred())
	}
}

// TestOwnRecords: the records that describe our service lead a stand-in client from its type to its address.
func TestOwnRecords(t *testing.T) {
	own := &Service{Instance: "n0", Type: "_gullfall._tcp", Domain: "local.", Addr: netip.MustParseAddrPort("127.0.0.1:8815")}
	pc, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- own.Serve(ctx, pc) }()
	var got []string
	for _, q := range []struct {
		name string
		kind uint16
	}{{"_services._dns-sd._udp.local.", dns.TypePTR}, {"_gullfall._tcp.local.", dns.TypePTR},
		{"n0._gullfall._tcp.local.", dns.TypeSRV}, {"N0._gullfall._tcp.local.", dns.TypeTXT}, {"n0.local.", dns.TypeA},
		{"other.local.", dns.TypeA}, {"example.org.", dns.TypeA}} {
		m, _, err := new(dns.Client).Exchange(new(dns.Msg).SetQuestion(q.name, q.kind), pc.LocalAddr().String())
		if err != nil {
			t.Fatal(err)
		}
		line := dns.RcodeToString[m.Rcode]
		for _, rr := range m.Answer {
			line += " " + strings.Join(strings.Fields(strings.TrimPrefix(rr.String(), rr.Header().String())), " ")
		}
		if len(m.Extra) > 0 {
			line += " and more"
		}
		got = append(got, line)
	}
	want := []string{"NOERROR _gullfall._tcp.local.", "NOERROR n0._gullfall._tcp.local. and more",
		"NOERROR 0 0 8815 n0.local.", `NOERROR ""`, "NOERROR 127.0.0.1", "NOERROR", "REFUSED"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("(-want +got)\n%s", diff)
	}
	stop()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
