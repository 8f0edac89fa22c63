package dnssd_test

import (
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/gaissmai/bart"
	"github.com/miekg/dns"

	"gullfall/internal/dnssd"
	"gullfall/internal/lab/nameserver"
	"gullfall/internal/membership"
)

// rig is a zone on one or two stand-in servers, a follower and the list that comes of it. Only those bounds of time are checked
// that hold on a slow machine.
type rig struct {
	*testing.T
	zone    *nameserver.Zone
	servers []*nameserver.Server
	f       *dnssd.Follower

	mu     sync.Mutex
	table  *membership.Table
	source *membership.Source
	notes  []string
}

func (r *rig) Update(u membership.Update) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.add(r.source.Update(time.Now(), u))
}

func (r *rig) Renew() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.add(r.source.Renew(time.Now()))
}

func (r *rig) CheckSerial(serial uint32) (fetch bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fetch, res := r.source.CheckSerial(time.Now(), serial)
	r.add(res)
	return fetch
}

func (r *rig) add(res membership.Result) {
	for _, n := range res.Notes {
		r.notes = append(r.notes, strings.Join(strings.Fields(string(n.Cause)+" "+n.ID+" "+n.Detail), " "))
	}
}

// list is the joined list as "id state".
func (r *rig) list() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []string
	for _, m := range r.table.List() {
		out = append(out, m.ID+" "+m.State.String())
	}
	return strings.Join(out, ", ")
}

func (r *rig) noted(what string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.ContainsFunc(r.notes, func(n string) bool { return strings.HasPrefix(n, what) })
}

// until waits for the list to be as wanted.
func (r *rig) until(want string) {
	r.Helper()
	for end := time.Now().Add(10 * time.Second); r.list() != want; time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.Fatalf("the list is %v, want %q; notes %q", r.table.List(), want, r.notes)
		}
	}
}

// eventually waits for a condition.
func (r *rig) eventually(what string, ok func() bool) {
	r.Helper()
	for end := time.Now().Add(10 * time.Second); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			r.Fatalf("never: %s; the list is %q", what, r.list())
		}
	}
}

// stays checks that the list is as wanted for a while.
func (r *rig) stays(want string, d time.Duration) {
	r.Helper()
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if got := r.list(); got != want {
			r.Fatalf("the list is %q, want %q to stay", got, want)
		}
	}
}

func (r *rig) do(server int, lines ...string) {
	r.Helper()
	for _, line := range lines {
		if err := r.servers[server].Do(line); err != nil {
			r.Fatal(err)
		}
	}
}

func loopback() *bart.Lite {
	n := new(bart.Lite)
	n.Insert(netip.MustParsePrefix("127.0.0.0/8"))
	n.Insert(netip.MustParsePrefix("::1/128"))
	return n
}

// newRig follows a zone with nodes a and b; the second server, if there is one, has a copy of its own.
func newRig(t *testing.T, servers int, transfer bool, key *dnssd.Key) *rig {
	t.Helper()
	r := &rig{T: t, zone: nameserver.NewZone("club.example.", 4500)}
	for i := range servers {
		z := r.zone
		if i > 0 {
			z = z.Clone()
			z.SetSerial(1000) // the copy is filled apart, and meets the first one's serial later
		}
		s, err := nameserver.Start(z, key)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(s.Close)
		r.servers = append(r.servers, s)
	}
	r.do(0, "add a 127.0.0.1:1001 cell=0", "add b 127.0.0.1:1002 cell=0 proto=flight")
	r.table, _ = membership.New(membership.Config{SerialHold: time.Second})
	r.source = r.table.Source(membership.Spec{Name: "club.example.", Damped: true, MaxStale: time.Hour})
	r.f = &dnssd.Follower{Zone: dnssd.Zone{Domain: "club.example.", Services: []string{"_dn._tcp"}, Transfer: transfer, Key: key,
		Networks: loopback()}, Client: dnssd.NewClient(1000, 16), Updater: r, Log: slog.New(slog.DiscardHandler), Poll: 50 * time.Millisecond}
	for _, s := range r.servers {
		r.f.Zone.Servers = append(r.f.Zone.Servers, s.Addr())
	}
	go r.f.Run(t.Context())
	r.until("a serving, b serving")
	return r
}

const both = "a serving, b serving"

// ways are those by which a zone's records can come.
var ways = map[string]bool{"browse": false, "transfer": true}

// TestChanges: what happens to a record is followed, by browsing as by transfers.
func TestChanges(t *testing.T) {
	for name, transfer := range ways {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, 1, transfer, nil)
			r.do(0, "add Olinda_1 127.0.0.1:1003 cell=0", "add c.d 127.0.0.1:1004 id=c cell=0")
			r.until("Olinda 1 serving, a serving, b serving, c serving")
			r.do(0, "remove Olinda_1", "drain c.d")
			r.until("a serving, b serving, c draining")
			r.do(0, "remove c.d", "add a 127.0.0.1:2001 cell=0")
			r.until(both)
			r.eventually("a has moved", func() bool {
				r.mu.Lock()
				defer r.mu.Unlock()
				return r.table.List()[0].Addr == "127.0.0.1:2001"
			})
			if (r.servers[0].Asked(dns.TypeIXFR) > 0) != transfer {
				t.Errorf("IXFR was asked for %d times", r.servers[0].Asked(dns.TypeIXFR))
			}
			r.do(0, "add v6 [::1]:1005 cell=0")
			r.until(both + ", v6 serving")
		})
	}
}

// TestAnswersThatRemoveNothing: a server in trouble costs no data node, and is found well again.
func TestAnswersThatRemoveNothing(t *testing.T) {
	for name, transfer := range ways {
		for _, trouble := range []string{"mute", "refuse", "servfail", "lose", "lie"} {
			t.Run(name+" "+trouble, func(t *testing.T) {
				t.Parallel()
				r := newRig(t, 1, transfer, nil)
				r.do(0, trouble+" on")
				r.zone.Remove("a")
				r.stays(both, 300*time.Millisecond)
				r.eventually("the trouble is noted", func() bool { return r.noted("list held") })
				r.do(0, trouble+" off")
				r.until("b serving")
			})
		}
	}
	t.Run("truncate", func(t *testing.T) {
		r := newRig(t, 1, false, nil)
		r.do(0, "truncate on", "remove a")
		r.eventually("the trouble is noted", func() bool { return r.noted("list held") })
		r.stays(both, 200*time.Millisecond)
		r.do(0, "truncate off", "add c 127.0.0.1:1003")
		r.until("b serving, c serving")
	})
}

// TestEmptied: an authoritative empty zone is one.
func TestEmptied(t *testing.T) {
	for name, transfer := range ways {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, 1, transfer, nil)
			r.zone.Remove("a", "b")
			r.until("")
			if !r.noted("list emptied") {
				t.Errorf("notes %q", r.notes)
			}
			r.do(0, "add c 127.0.0.1:1003")
			r.until("c serving")
		})
	}
}

// TestTwoServers: while the first one answers, it counts; a second that is older removes nothing at first, and is
// believed once it alone is left and stays as it is.
func TestTwoServers(t *testing.T) {
	r := newRig(t, 2, false, nil)
	r.zone.SetSerial(2000)
	r.do(1, "add a 127.0.0.1:1001")
	if n := r.servers[1].Asked(0); n > 0 {
		t.Errorf("the second server was asked %d times while the first answers", n)
	}
	r.eventually("serial 2000 is taken in", func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		serial, _ := r.source.Serial()
		return serial == 2000
	})
	r.do(0, "mute on")
	r.eventually("the older serial is noted", func() bool { return r.noted("list held serial") })
	if got := r.list(); got != both {
		t.Errorf("the list is %q once the older server answers", got)
	}
	r.until("a serving")
	if !r.noted("serial back") {
		t.Errorf("notes %q", r.notes)
	}
	r.do(0, "mute off")
	r.do(1, "mute on")
	r.until(both)
}

// TestSerialWraps: serials go on after the highest (RFC 1982).
func TestSerialWraps(t *testing.T) {
	r := newRig(t, 1, true, nil)
	r.zone.SetSerial(1 << 31)
	r.eventually("taken in", func() bool { r.mu.Lock(); defer r.mu.Unlock(); s, _ := r.source.Serial(); return s == 1<<31 })
	r.zone.SetSerial(1<<32 - 1)
	r.eventually("taken in", func() bool { r.mu.Lock(); defer r.mu.Unlock(); s, _ := r.source.Serial(); return s == 1<<32-1 })
	r.do(0, "remove a")
	r.until("b serving")
}

// TestCutTransfers: a transfer that is cut at any of its messages changes nothing by itself; the zone is browsed.
func TestCutTransfers(t *testing.T) {
	r := newRig(t, 1, true, nil)
	r.servers[0].PerMessage(3)
	for n := range r.servers[0].Messages() + 1 {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			zone := nameserver.NewZone("club.example.", 4500)
			s, err := nameserver.Start(zone, nil)
			if err != nil {
				t.Fatal(err)
			}
			defer s.Close()
			for _, line := range []string{"add a 127.0.0.1:1001", "add b 127.0.0.1:1002", fmt.Sprint("cut ", n)} {
				if err := s.Do(line); err != nil {
					t.Fatal(err)
				}
			}
			s.PerMessage(3)
			own := &rig{T: t, zone: zone, servers: []*nameserver.Server{s}}
			own.table, _ = membership.New(membership.Config{})
			own.source = own.table.Source(membership.Spec{Name: "zone"})
			own.f = &dnssd.Follower{Zone: dnssd.Zone{Domain: "club.example.", Services: []string{"_dn._tcp"}, Transfer: true, Networks: loopback(),
				Servers: []string{s.Addr()}}, Client: dnssd.NewClient(1000, 16), Updater: own, Log: slog.New(slog.DiscardHandler), Poll: 50 * time.Millisecond}
			go own.f.Run(t.Context())
			own.until(both)
			if whole := s.Messages(); n < whole && s.Asked(dns.TypePTR) == 0 {
				t.Errorf("cut at %d of %d messages: the zone was not browsed", n, whole)
			}
			// The same for a transfer of changes, which follows a whole one.
			later := nameserver.NewZone("club.example.", 4500)
			s2, err := nameserver.Start(later, nil)
			if err != nil {
				t.Fatal(err)
			}
			defer s2.Close()
			s2.PerMessage(1)
			own2 := &rig{T: t, zone: later, servers: []*nameserver.Server{s2}}
			own2.table, _ = membership.New(membership.Config{})
			own2.source = own2.table.Source(membership.Spec{Name: "zone"})
			own2.f = &dnssd.Follower{Zone: own.f.Zone, Client: own.f.Client, Updater: own2, Log: own.f.Log, Poll: 50 * time.Millisecond}
			own2.f.Zone.Servers = []string{s2.Addr()}
			own2.do(0, "add a 127.0.0.1:1001", "add b 127.0.0.1:1002")
			go own2.f.Run(t.Context())
			own2.until(both)
			own2.do(0, fmt.Sprint("cut ", n), "remove a")
			own2.until("b serving")
		})
	}
}

// TestThousand: 1,000 instances whose list is beyond 64 KiB come by transfer; by browsing they come in part, and what
// does not come is not removed.
func TestThousand(t *testing.T) {
	if testing.Short() {
		t.Skip("long")
	}
	for name, transfer := range ways {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, 1, transfer, nil)
			var list []nameserver.Instance
			for i := range 1000 {
				list = append(list, nameserver.Instance{Label: fmt.Sprintf("%s %04d", strings.Repeat("x", 50), i), Service: "_dn._tcp",
					Addr: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(10000+i)), Text: []string{"cell=0"}})
			}
			r.zone.Set(list...)
			length := func() int { r.mu.Lock(); defer r.mu.Unlock(); return r.table.Len() }
			if transfer {
				r.eventually("all are listed", func() bool { return length() == 1002 })
				r.zone.Remove(list[7].Label)
				r.eventually("one is removed", func() bool { return length() == 1001 })
				return
			}
			r.eventually("the cut list is noted", func() bool { return r.noted("list held cut") })
			r.eventually("what came is listed", func() bool { return length() > 100 })
			if got := r.list(); !strings.Contains(got, "a serving") && !strings.Contains(got, "b serving") {
				t.Errorf("what was listed before is not: %.200q", got)
			}
		})
	}
}

// TestNotify: a message from an allowed address brings a change at once; strangers' and unsigned ones do nothing.
func TestNotify(t *testing.T) {
	key := &dnssd.Key{Name: "k.", Algorithm: dns.HmacSHA256, Secret: "c2VjcmV0IG9mIHRoZSBjbHVi"}
	for _, c := range []struct {
		name, allow string
		key, sign   *dnssd.Key
		taken       bool
	}{
		{"allowed", "127.0.0.0/8", nil, nil, true},
		{"stranger", "127.9.0.0/16", nil, nil, false},
		{"signed", "127.0.0.0/8", key, key, true},
		{"unsigned", "127.0.0.0/8", key, nil, false},
		{"wrong key", "127.0.0.0/8", key, &dnssd.Key{Name: "k.", Algorithm: dns.HmacSHA256, Secret: "b3RoZXI="}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t, 1, true, c.key)
			slow := &dnssd.Follower{Zone: r.f.Zone, Client: r.f.Client, Updater: r, Log: r.f.Log, Poll: time.Hour}
			go slow.Run(t.Context())
			allow := new(bart.Lite)
			allow.Insert(netip.MustParsePrefix(c.allow))
			l := &dnssd.Listener{Allow: allow, Followers: []*dnssd.Follower{slow}}
			pc, err := net.ListenPacket("udp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			go l.Serve(t.Context(), pc)
			time.Sleep(20 * time.Millisecond)
			before := r.servers[0].Asked(dns.TypeSOA)
			for range 200 { // a storm of them
				nameserver.Tell(pc.LocalAddr().String(), "club.example.", 7, c.sign)
			}
			r.eventually("all have come", func() bool { taken, dropped := l.Counts(); return taken+dropped >= 100 })
			taken, dropped := l.Counts()
			if (taken > 0) != c.taken || (dropped > 0) == c.taken {
				t.Errorf("%d taken, %d dropped", taken, dropped)
			}
			time.Sleep(100 * time.Millisecond)
			if asked := r.servers[0].Asked(dns.TypeSOA) - before; asked > 40 {
				t.Errorf("a storm of 200 messages brought %d questions", asked)
			}
		})
	}
}

// TestSigned: a server whose answers are not signed by the key is not believed.
func TestSigned(t *testing.T) {
	key := &dnssd.Key{Name: "k.", Algorithm: dns.HmacSHA256, Secret: "c2VjcmV0IG9mIHRoZSBjbHVi"}
	for name, transfer := range ways {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, 1, transfer, key)
			r.do(0, "remove a")
			r.until("b serving")
			table, _ := membership.New(membership.Config{})
			wrong := &rig{T: t, table: table, source: table.Source(membership.Spec{Name: "wrong"})}
			wrong.f = &dnssd.Follower{Zone: r.f.Zone, Client: r.f.Client, Updater: wrong, Log: r.f.Log, Poll: 50 * time.Millisecond}
			wrong.f.Zone.Key = &dnssd.Key{Name: "k.", Algorithm: dns.HmacSHA256, Secret: "b3RoZXI="}
			go wrong.f.Run(t.Context())
			wrong.eventually("it is noted", func() bool { return wrong.noted("list held") })
			wrong.stays("", 200*time.Millisecond)
		})
	}
}

// TestBailiwick: records of other domains that ride along are not taken, nor addresses outside the networks.
func TestBailiwick(t *testing.T) {
	r := newRig(t, 1, false, nil)
	var rides []dns.RR
	for _, text := range []string{`_dn._tcp.other.example. 60 IN PTR x._dn._tcp.other.example.`, `a.other.example. 60 IN A 127.0.0.1`,
		`x._dn._tcp.other.example. 60 IN SRV 0 0 1 a.other.example.`} {
		rr, err := dns.NewRR(text)
		if err != nil {
			t.Fatal(err)
		}
		rides = append(rides, rr)
	}
	r.servers[0].Ride(rides...)
	r.do(0, "add out 192.0.2.1:1003", "add c 127.0.0.1:1003")
	r.until("a serving, b serving, c serving")
}

// TestWithoutSerial: a zone whose serial is refused is browsed again and again, and what has no record is not asked for
// at each turn.
func TestWithoutSerial(t *testing.T) {
	zone := nameserver.NewZone("club.example.", 4500)
	s, err := nameserver.Start(zone, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	r := &rig{T: t, zone: zone, servers: []*nameserver.Server{s}}
	r.do(0, "nosoa on", "bare on", "add a 127.0.0.1:1001", "add v6 [::1]:1002")
	r.table, _ = membership.New(membership.Config{})
	r.source = r.table.Source(membership.Spec{Name: "zone"})
	r.f = &dnssd.Follower{Zone: dnssd.Zone{Domain: "club.example.", Services: []string{"_dn._tcp"}, Networks: loopback(), Servers: []string{s.Addr()}},
		Client: dnssd.NewClient(1000, 16), Updater: r, Log: slog.New(slog.DiscardHandler), Poll: 50 * time.Millisecond}
	go r.f.Run(t.Context())
	r.until("a serving, v6 serving")
	a := s.Asked(dns.TypeA)
	r.do(0, "remove a")
	r.until("v6 serving") // by the next turn
	r.do(0, "add c 127.0.0.1:1003")
	r.until("c serving, v6 serving")
	if more := s.Asked(dns.TypeA) - a; more > 3 { // c's, and that of v6 once its negative answer is over
		t.Errorf("%d questions for addresses that there are none of", more)
	}
}

// TestSteady: while nothing changes, only the serial is asked for.
func TestSteady(t *testing.T) {
	r := newRig(t, 1, false, nil)
	time.Sleep(200 * time.Millisecond)
	s := r.servers[0]
	all, soa := s.Asked(0), s.Asked(dns.TypeSOA)
	time.Sleep(500 * time.Millisecond)
	if more := s.Asked(0) - all; more == 0 || more != s.Asked(dns.TypeSOA)-soa || more > 15 {
		t.Errorf("%d questions, %d of them for the serial, in 0.5 s at a poll of 50 ms", more, s.Asked(dns.TypeSOA)-soa)
	}
}
