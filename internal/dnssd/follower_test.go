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

// followerTest is a zone on one or two test servers, a follower of it, and the resulting member list. Only time limits that hold on a
// slow machine are checked.
type followerTest struct {
	*testing.T
	zone    *nameserver.Zone
	servers []*nameserver.Server
	f       *dnssd.Follower

	mu     sync.Mutex
	table  *membership.Table
	source *membership.Source
	notes  []string
}

func (r *followerTest) Update(u membership.Update) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addNotes(r.source.Update(time.Now(), u))
}

func (r *followerTest) Renew() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addNotes(r.source.Renew(time.Now()))
}

func (r *followerTest) CheckSerial(serial uint32) (fetch bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fetch, res := r.source.CheckSerial(time.Now(), serial)
	r.addNotes(res)
	return fetch
}

func (r *followerTest) addNotes(res membership.Result) {
	for _, n := range res.Notes {
		r.notes = append(r.notes, strings.Join(strings.Fields(string(n.Cause)+" "+n.ID+" "+n.Detail), " "))
	}
}

// list returns the member list as "id state, id state".
func (r *followerTest) list() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []string
	for _, m := range r.table.List() {
		out = append(out, m.ID+" "+m.State.String())
	}
	return strings.Join(out, ", ")
}

func (r *followerTest) hasNote(what string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.ContainsFunc(r.notes, func(n string) bool { return strings.HasPrefix(n, what) })
}

// waitForList waits until the list equals want.
func (r *followerTest) waitForList(want string) {
	r.Helper()
	for end := time.Now().Add(10 * time.Second); r.list() != want; time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.Fatalf("the list is %v, want %q; notes %q", r.table.List(), want, r.notes)
		}
	}
}

// waitFor waits for a condition.
func (r *followerTest) waitFor(what string, ok func() bool) {
	r.Helper()
	for end := time.Now().Add(10 * time.Second); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			r.Fatalf("timeout waiting for: %s; the list is %q", what, r.list())
		}
	}
}

// checkListStays checks that the list equals want for the given duration.
func (r *followerTest) checkListStays(want string, d time.Duration) {
	r.Helper()
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if got := r.list(); got != want {
			r.Fatalf("the list is %q, want %q to stay", got, want)
		}
	}
}

func (r *followerTest) command(server int, lines ...string) {
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

// newFollowerTest follows a zone with nodes a and b. The second server, if any, has its own copy of the zone.
func newFollowerTest(t *testing.T, servers int, transfer bool, key *dnssd.Key) *followerTest {
	t.Helper()
	r := &followerTest{T: t, zone: nameserver.NewZone("club.example.", 4500)}
	for i := range servers {
		z := r.zone
		if i > 0 {
			z = z.Clone()
			z.SetSerial(1000) // the copy has its own records and reaches the serial of the first one later
		}
		s, err := nameserver.Start(z, key)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(s.Close)
		r.servers = append(r.servers, s)
	}
	r.command(0, "add a 127.0.0.1:1001 cell=0", "add b 127.0.0.1:1002 cell=0 proto=flight")
	r.table, _ = membership.New(membership.Config{SerialHold: time.Second})
	r.source = r.table.AddSource(membership.Spec{Name: "club.example.", Damped: true, MaxStale: time.Hour})
	r.f = &dnssd.Follower{Zone: dnssd.Zone{Domain: "club.example.", ServiceTypes: []string{"_dn._tcp"}, Transfer: transfer, Key: key,
		AllowedNetworks: loopback()}, Client: dnssd.NewClient(1000, 16), Updater: r, Log: slog.New(slog.DiscardHandler), Poll: 50 * time.Millisecond}
	for _, s := range r.servers {
		r.f.Zone.Servers = append(r.f.Zone.Servers, s.Addr())
	}
	go r.f.Run(t.Context())
	r.waitForList("a serving, b serving")
	return r
}

const bothServing = "a serving, b serving"

// fetchModes are the ways of fetching a zone's records; the value says whether transfers are allowed.
var fetchModes = map[string]bool{"browse": false, "transfer": true}

// TestRecordChanges: added, removed and changed records reach the list, by browsing and by transfer.
func TestRecordChanges(t *testing.T) {
	for name, transfer := range fetchModes {
		t.Run(name, func(t *testing.T) {
			r := newFollowerTest(t, 1, transfer, nil)
			r.command(0, "add Olinda_1 127.0.0.1:1003 cell=0", "add c.d 127.0.0.1:1004 id=c cell=0")
			r.waitForList("Olinda 1 serving, a serving, b serving, c serving")
			r.command(0, "remove Olinda_1", "drain c.d")
			r.waitForList("a serving, b serving, c draining")
			r.command(0, "remove c.d", "add a 127.0.0.1:2001 cell=0")
			r.waitForList(bothServing)
			r.waitFor("a has moved", func() bool {
				r.mu.Lock()
				defer r.mu.Unlock()
				return r.table.List()[0].Addr == "127.0.0.1:2001"
			})
			if (r.servers[0].Asked(dns.TypeIXFR) > 0) != transfer {
				t.Errorf("IXFR was asked for %d times", r.servers[0].Asked(dns.TypeIXFR))
			}
			r.command(0, "add v6 [::1]:1005 cell=0")
			r.waitForList(bothServing + ", v6 serving")
		})
	}
}

// TestServerFaultsKeepList: no fault of a server removes a data node, and the list follows the zone again after the fault.
func TestServerFaultsKeepList(t *testing.T) {
	for name, transfer := range fetchModes {
		for _, fault := range []string{"mute", "refuse", "servfail", "lose", "lie"} {
			t.Run(name+" "+fault, func(t *testing.T) {
				t.Parallel()
				r := newFollowerTest(t, 1, transfer, nil)
				r.command(0, fault+" on")
				r.zone.Remove("a")
				r.checkListStays(bothServing, 300*time.Millisecond)
				r.waitFor("the fault is noted", func() bool { return r.hasNote("list held") })
				r.command(0, fault+" off")
				r.waitForList("b serving")
			})
		}
	}
	t.Run("truncate", func(t *testing.T) {
		r := newFollowerTest(t, 1, false, nil)
		r.command(0, "truncate on", "remove a")
		r.waitFor("the fault is noted", func() bool { return r.hasNote("list held") })
		r.checkListStays(bothServing, 200*time.Millisecond)
		r.command(0, "truncate off", "add c 127.0.0.1:1003")
		r.waitForList("b serving, c serving")
	})
}

// TestEmptyZone: an authoritative empty zone empties the list.
func TestEmptyZone(t *testing.T) {
	for name, transfer := range fetchModes {
		t.Run(name, func(t *testing.T) {
			r := newFollowerTest(t, 1, transfer, nil)
			r.zone.Remove("a", "b")
			r.waitForList("")
			if !r.hasNote("list emptied") {
				t.Errorf("notes %q", r.notes)
			}
			r.command(0, "add c 127.0.0.1:1003")
			r.waitForList("c serving")
		})
	}
}

// TestServerFailover: only the first server is used while it answers. A second one with an older serial removes nothing at first, and
// is accepted once it is the only one left and its serial stays the same.
func TestServerFailover(t *testing.T) {
	r := newFollowerTest(t, 2, false, nil)
	r.zone.SetSerial(2000)
	r.command(1, "add a 127.0.0.1:1001")
	if n := r.servers[1].Asked(0); n > 0 {
		t.Errorf("the second server was asked %d times while the first answers", n)
	}
	r.waitFor("serial 2000 is accepted", func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		serial, _ := r.source.Serial()
		return serial == 2000
	})
	r.command(0, "mute on")
	r.waitFor("the older serial is noted", func() bool { return r.hasNote("list held serial") })
	if got := r.list(); got != bothServing {
		t.Errorf("the list is %q once the older server answers", got)
	}
	r.waitForList("a serving")
	if !r.hasNote("serial back") {
		t.Errorf("notes %q", r.notes)
	}
	r.command(0, "mute off")
	r.command(1, "mute on")
	r.waitForList(bothServing)
}

// TestSerialWraparound: serials continue after the highest value (RFC 1982).
func TestSerialWraparound(t *testing.T) {
	r := newFollowerTest(t, 1, true, nil)
	r.zone.SetSerial(1 << 31)
	r.waitFor("serial 1<<31 is accepted", func() bool { r.mu.Lock(); defer r.mu.Unlock(); s, _ := r.source.Serial(); return s == 1<<31 })
	r.zone.SetSerial(1<<32 - 1)
	r.waitFor("the highest serial is accepted", func() bool { r.mu.Lock(); defer r.mu.Unlock(); s, _ := r.source.Serial(); return s == 1<<32-1 })
	r.command(0, "remove a")
	r.waitForList("b serving")
}

// TestInterruptedTransfers: a transfer that is cut off at any of its messages changes nothing; the zone is browsed instead.
func TestInterruptedTransfers(t *testing.T) {
	r := newFollowerTest(t, 1, true, nil)
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
			full := &followerTest{T: t, zone: zone, servers: []*nameserver.Server{s}}
			full.table, _ = membership.New(membership.Config{})
			full.source = full.table.AddSource(membership.Spec{Name: "zone"})
			full.f = &dnssd.Follower{Zone: dnssd.Zone{Domain: "club.example.", ServiceTypes: []string{"_dn._tcp"}, Transfer: true, AllowedNetworks: loopback(),
				Servers: []string{s.Addr()}}, Client: dnssd.NewClient(1000, 16), Updater: full, Log: slog.New(slog.DiscardHandler), Poll: 50 * time.Millisecond}
			go full.f.Run(t.Context())
			full.waitForList(bothServing)
			if whole := s.Messages(); n < whole && s.Asked(dns.TypePTR) == 0 {
				t.Errorf("cut at %d of %d messages: the zone was not browsed", n, whole)
			}
			// The same for an incremental transfer, which follows a complete one.
			later := nameserver.NewZone("club.example.", 4500)
			s2, err := nameserver.Start(later, nil)
			if err != nil {
				t.Fatal(err)
			}
			defer s2.Close()
			s2.PerMessage(1)
			incremental := &followerTest{T: t, zone: later, servers: []*nameserver.Server{s2}}
			incremental.table, _ = membership.New(membership.Config{})
			incremental.source = incremental.table.AddSource(membership.Spec{Name: "zone"})
			incremental.f = &dnssd.Follower{Zone: full.f.Zone, Client: full.f.Client, Updater: incremental, Log: full.f.Log, Poll: 50 * time.Millisecond}
			incremental.f.Zone.Servers = []string{s2.Addr()}
			incremental.command(0, "add a 127.0.0.1:1001", "add b 127.0.0.1:1002")
			go incremental.f.Run(t.Context())
			incremental.waitForList(bothServing)
			incremental.command(0, fmt.Sprint("cut ", n), "remove a")
			incremental.waitForList("b serving")
		})
	}
}

// TestThousandInstances: a list of 1,000 instances exceeds 64 KiB. A transfer delivers it completely. Browsing delivers only a part,
// and the instances that are not delivered are not removed.
func TestThousandInstances(t *testing.T) {
	if testing.Short() {
		t.Skip("long")
	}
	for name, transfer := range fetchModes {
		t.Run(name, func(t *testing.T) {
			r := newFollowerTest(t, 1, transfer, nil)
			var list []nameserver.Instance
			for i := range 1000 {
				list = append(list, nameserver.Instance{Label: fmt.Sprintf("%s %04d", strings.Repeat("x", 50), i), Service: "_dn._tcp",
					Addr: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(10000+i)), Text: []string{"cell=0"}})
			}
			r.zone.Set(list...)
			length := func() int { r.mu.Lock(); defer r.mu.Unlock(); return r.table.Len() }
			if transfer {
				r.waitFor("all are listed", func() bool { return length() == 1002 })
				r.zone.Remove(list[7].Label)
				r.waitFor("one is removed", func() bool { return length() == 1001 })
				return
			}
			r.waitFor("the truncated list is noted", func() bool { return r.hasNote("list held cut") })
			r.waitFor("the delivered instances are listed", func() bool { return length() > 100 })
			if got := r.list(); !strings.Contains(got, "a serving") && !strings.Contains(got, "b serving") {
				t.Errorf("neither a nor b is listed any more: %.200q", got)
			}
		})
	}
}

// TestNotify: messages from an allowed address are accepted; those of others, and unsigned or wrongly signed ones, are dropped. Many
// messages together cause few polls.
func TestNotify(t *testing.T) {
	key := &dnssd.Key{Name: "k.", Algorithm: dns.HmacSHA256, Secret: "c2VjcmV0IG9mIHRoZSBjbHVi"}
	for _, c := range []struct {
		name, allow string
		key, sign   *dnssd.Key
		accepted    bool
	}{
		{"allowed", "127.0.0.0/8", nil, nil, true},
		{"not allowed", "127.9.0.0/16", nil, nil, false},
		{"signed", "127.0.0.0/8", key, key, true},
		{"unsigned", "127.0.0.0/8", key, nil, false},
		{"wrong key", "127.0.0.0/8", key, &dnssd.Key{Name: "k.", Algorithm: dns.HmacSHA256, Secret: "b3RoZXI="}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newFollowerTest(t, 1, true, c.key)
			slow := &dnssd.Follower{Zone: r.f.Zone, Client: r.f.Client, Updater: r, Log: r.f.Log, Poll: time.Hour}
			go slow.Run(t.Context())
			allow := new(bart.Lite)
			allow.Insert(netip.MustParsePrefix(c.allow))
			l := &dnssd.NotifyListener{Allow: allow, Followers: []*dnssd.Follower{slow}}
			pc, err := net.ListenPacket("udp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			go l.Serve(t.Context(), pc)
			time.Sleep(20 * time.Millisecond)
			before := r.servers[0].Asked(dns.TypeSOA)
			for range 200 {
				nameserver.Tell(pc.LocalAddr().String(), "club.example.", 7, c.sign)
			}
			r.waitFor("at least 100 messages have arrived", func() bool { accepted, dropped := l.Counts(); return accepted+dropped >= 100 })
			accepted, dropped := l.Counts()
			if (accepted > 0) != c.accepted || (dropped > 0) == c.accepted {
				t.Errorf("%d accepted, %d dropped", accepted, dropped)
			}
			time.Sleep(100 * time.Millisecond)
			if asked := r.servers[0].Asked(dns.TypeSOA) - before; asked > 40 {
				t.Errorf("200 messages caused %d SOA queries", asked)
			}
		})
	}
}

// TestWrongKeyRejected: answers that are not signed with the zone's key are not used.
func TestWrongKeyRejected(t *testing.T) {
	key := &dnssd.Key{Name: "k.", Algorithm: dns.HmacSHA256, Secret: "c2VjcmV0IG9mIHRoZSBjbHVi"}
	for name, transfer := range fetchModes {
		t.Run(name, func(t *testing.T) {
			r := newFollowerTest(t, 1, transfer, key)
			r.command(0, "remove a")
			r.waitForList("b serving")
			table, _ := membership.New(membership.Config{})
			wrong := &followerTest{T: t, table: table, source: table.AddSource(membership.Spec{Name: "wrong"})}
			wrong.f = &dnssd.Follower{Zone: r.f.Zone, Client: r.f.Client, Updater: wrong, Log: r.f.Log, Poll: 50 * time.Millisecond}
			wrong.f.Zone.Key = &dnssd.Key{Name: "k.", Algorithm: dns.HmacSHA256, Secret: "b3RoZXI="}
			go wrong.f.Run(t.Context())
			wrong.waitFor("the failure is noted", func() bool { return wrong.hasNote("list held") })
			wrong.checkListStays("", 200*time.Millisecond)
		})
	}
}

// TestBailiwick: additional records of other domains are ignored, and so are addresses outside the networks.
func TestBailiwick(t *testing.T) {
	r := newFollowerTest(t, 1, false, nil)
	var additional []dns.RR
	for _, text := range []string{`_dn._tcp.other.example. 60 IN PTR x._dn._tcp.other.example.`, `a.other.example. 60 IN A 127.0.0.1`,
		`x._dn._tcp.other.example. 60 IN SRV 0 0 1 a.other.example.`} {
		rr, err := dns.NewRR(text)
		if err != nil {
			t.Fatal(err)
		}
		additional = append(additional, rr)
	}
	r.servers[0].Ride(additional...)
	r.command(0, "add out 192.0.2.1:1003", "add c 127.0.0.1:1003")
	r.waitForList("a serving, b serving, c serving")
}

// TestZoneWithoutSerial: a zone whose serial is refused is browsed periodically, and record sets known to be absent are not queried in
// each browse.
func TestZoneWithoutSerial(t *testing.T) {
	zone := nameserver.NewZone("club.example.", 4500)
	s, err := nameserver.Start(zone, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	r := &followerTest{T: t, zone: zone, servers: []*nameserver.Server{s}}
	r.command(0, "nosoa on", "bare on", "add a 127.0.0.1:1001", "add v6 [::1]:1002")
	r.table, _ = membership.New(membership.Config{})
	r.source = r.table.AddSource(membership.Spec{Name: "zone"})
	r.f = &dnssd.Follower{Zone: dnssd.Zone{Domain: "club.example.", ServiceTypes: []string{"_dn._tcp"}, AllowedNetworks: loopback(), Servers: []string{s.Addr()}},
		Client: dnssd.NewClient(1000, 16), Updater: r, Log: slog.New(slog.DiscardHandler), Poll: 50 * time.Millisecond}
	go r.f.Run(t.Context())
	r.waitForList("a serving, v6 serving")
	a := s.Asked(dns.TypeA)
	r.command(0, "remove a")
	r.waitForList("v6 serving") // after the next browse
	r.command(0, "add c 127.0.0.1:1003")
	r.waitForList("c serving, v6 serving")
	if more := s.Asked(dns.TypeA) - a; more > 3 { // for c, and for v6 once its negative answer has expired
		t.Errorf("%d queries for A records; 3 are allowed", more)
	}
}

// TestUnchangedZoneQueries: while nothing changes, only the serial is queried.
func TestUnchangedZoneQueries(t *testing.T) {
	r := newFollowerTest(t, 1, false, nil)
	time.Sleep(200 * time.Millisecond)
	s := r.servers[0]
	all, soa := s.Asked(0), s.Asked(dns.TypeSOA)
	time.Sleep(500 * time.Millisecond)
	if more := s.Asked(0) - all; more == 0 || more != s.Asked(dns.TypeSOA)-soa || more > 15 {
		t.Errorf("%d queries, %d of them for the serial, in 0.5 s at a poll interval of 50 ms", more, s.Asked(dns.TypeSOA)-soa)
	}
}
