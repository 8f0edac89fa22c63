package dnssd

// This file owns the following of one zone: when its serial is asked for, how its records are fetched once that has
// changed, from which of its servers, and what is told of it. Only one fetch runs at a time, from one server. It
// must never tell a list that it has not seen whole as whole, nor stop for what a server does.

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/gaissmai/bart"
	"github.com/miekg/dns"

	"gullfall/internal/membership"
)

// Zone is a domain that is browsed.
type Zone struct {
	Domain   string   // ends in a dot
	Services []string // as _dn._tcp
	Servers  []string // addresses with ports; the first that answers is used until it does not
	Transfer bool     // the servers may be asked for transfers
	Key      *Key
	Networks *bart.Lite // where data nodes may be
}

// Updater is who is told of a zone: a source of the core, or the command line.
type Updater interface {
	Update(membership.Update)
	Renew()
	SerialSeen(serial uint32) (fetch bool)
}

// How often things are asked.
const (
	DefaultPoll  = 400 * time.Millisecond // a zone's serial
	plainPause   = 2 * time.Second        // the whole list, where no serial can be had
	mostBackOff  = 2 * time.Second        // between tries while no server answers
	transferWait = 30 * time.Second       // after a transfer was turned down
	leastLease   = 5 * time.Second
	mostLease    = time.Hour
	together     = 16 // questions of one browse that are out at once
)

// Follower follows one zone. Its fields are set before Run.
type Follower struct {
	Zone    Zone
	Client  *Client
	Updater Updater
	Log     *slog.Logger
	Poll    time.Duration // 0 means DefaultPoll
	Report  func([]Problem)

	once  sync.Once
	nudge chan struct{}

	// Of the goroutine that runs.
	server   int
	held     *records // nil while nothing was fetched
	whole    bool     // held came by a transfer
	undone   bool     // the last browse did not come to its end
	serial   uint32
	dated    bool
	apex     string
	noMoves  time.Time // no transfer is asked for until then
	failures int
	relayed  bool              // the last answers came without authority
	cut      bool              // the last list came only in part
	troubles map[string]string // by instance, as logged
}

func (f *Follower) init() { f.once.Do(func() { f.nudge = make(chan struct{}, 1) }) }

// Refresh says that the zone may have changed; many of them at once are one.
func (f *Follower) Refresh() {
	f.init()
	select {
	case f.nudge <- struct{}{}:
	default:
	}
}

// Run follows the zone until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	f.init()
	if f.Poll <= 0 {
		f.Poll = DefaultPoll
	}
	f.troubles = map[string]string{}
	for ctx.Err() == nil {
		start := time.Now()
		err := f.round(ctx)
		if ctx.Err() != nil {
			return
		}
		pause := f.Poll
		if err != nil {
			f.Updater.Update(membership.Update{Basis: membership.Failed, Cause: cause(err)})
			f.server = (f.server + 1) % len(f.Zone.Servers)
			// The next server is asked at once; once none has answered, less and less often.
			if f.failures++; f.failures%len(f.Zone.Servers) != 0 {
				continue
			}
			pause = min(f.Poll<<min(f.failures/len(f.Zone.Servers), 8), mostBackOff)
		} else if f.failures = 0; !f.dated {
			pause = plainPause
		}
		pause = time.Duration(float64(pause) * (0.9 + 0.2*rand.Float64()))
		timer := time.NewTimer(time.Until(start.Add(pause)))
		select {
		case <-ctx.Done():
		case <-f.nudge:
			// A storm of them is answered by one question in a while.
			select {
			case <-ctx.Done():
			case <-time.After(time.Until(start.Add(leastGap))):
			}
		case <-timer.C:
		}
		timer.Stop()
	}
}

// leastGap lies between two rounds, however often it is nudged.
const leastGap = 20 * time.Millisecond

// cause is an error in words that stay the same while it does.
func cause(err error) string {
	var ne net.Error
	if errors.As(err, &ne) && ne.Timeout() {
		return "no answer"
	}
	return err.Error()
}

// round asks for the serial, and fetches what has changed.
func (f *Follower) round(ctx context.Context) error {
	server := f.Zone.Servers[f.server]
	soa, auth, err := f.Client.zoneSerial(ctx, server, f.Zone.Key, f.Zone.Domain)
	var refused *rcodeError
	switch {
	case errors.As(err, &refused) && !f.dated:
		soa = nil // it may answer other questions, and goes on to
	case err != nil:
		return err
	}
	f.relayed = !auth
	if soa == nil {
		if f.dated { // it had one; a server that knows the zone no more says nothing of data nodes
			return fmt.Errorf("%s: no SOA record for %s", server, f.Zone.Domain)
		}
		f.apex = f.Zone.Domain
		return f.browse(ctx, server)
	}
	if f.relayed && f.dated && soa.Serial == f.serial {
		f.Updater.Renew()
		return nil
	}
	if !f.Updater.SerialSeen(soa.Serial) && f.held != nil && !f.undone {
		return nil
	}
	f.apex = soa.Hdr.Name
	was, had := f.serial, f.dated
	f.serial, f.dated = soa.Serial, true
	if f.Zone.Transfer && time.Now().After(f.noMoves) {
		if f.move(ctx, server, was, had) {
			return nil
		}
	}
	err = f.browse(ctx, server)
	f.undone = err != nil
	return err
}

// move fetches the zone by transfer; it tells whether that was done.
func (f *Follower) move(ctx context.Context, server string, was uint32, had bool) bool {
	var from *records
	if f.whole && had {
		from = f.held
	}
	next, serial, err := f.Client.transfer(ctx, server, f.Zone.Key, f.apex, from, was)
	if err == nil && from != nil && next == from && serial != was {
		next, serial, err = f.Client.transfer(ctx, server, f.Zone.Key, f.apex, nil, 0)
	}
	if err != nil && from != nil && ctx.Err() == nil {
		f.Log.Info("transfer of changes failed; the whole zone is asked for", "zone", f.apex, "cause", err)
		next, serial, err = f.Client.transfer(ctx, server, f.Zone.Key, f.apex, nil, 0)
	}
	if err != nil {
		if ctx.Err() == nil {
			f.noMoves = time.Now().Add(transferWait)
			f.Log.Warn("transfer failed; the zone is browsed", "zone", f.apex, "server", server, "cause", err)
		}
		return false
	}
	f.undone, f.cut = false, false
	// What a name server leaves out is known to be missing: the zone is all here.
	f.held, f.whole, f.serial = next, true, serial
	for pass := 0; pass < maxHops; pass++ {
		reading := f.held.read(f.kinds(), f.Zone.Networks)
		if len(reading.missing) == 0 {
			break
		}
		for _, k := range reading.missing {
			f.held.none[k] = time.Time{}
		}
	}
	f.tell(true)
	return true
}

func (f *Follower) kinds() (list []string) {
	for _, s := range f.Zone.Services {
		list = append(list, s+"."+f.Zone.Domain)
	}
	return list
}

// browse asks for the instances of each service type and for what may have changed of them. Those that have vanished
// are told before anything else is asked.
func (f *Follower) browse(ctx context.Context, server string) error {
	next := newRecords(f.apex)
	if f.held != nil {
		next = f.held.clone()
	}
	fresh := map[key]bool{}
	f.cut = false
	for _, kind := range f.kinds() {
		a, err := f.Client.Query(ctx, server, f.Zone.Key, kind, dns.TypePTR)
		if err != nil {
			return err
		}
		f.relayed, f.cut = f.relayed || !a.Authoritative, f.cut || a.Truncated
		for k := range next.replace(keyOf(kind, dns.TypePTR), a, time.Now()) {
			fresh[k] = true
		}
	}
	if next.prune(f.kinds()); f.relayed && len(next.sets) == 0 && f.held != nil && len(f.held.sets) > 0 {
		f.Updater.Update(membership.Update{Basis: membership.Relayed, Full: true})
		return nil
	}
	f.held, f.whole = next, false
	unknown := f.held.read(f.kinds(), f.Zone.Networks)
	f.tell(len(unknown.missing) == 0)
	// First what is not known, in as many passes as it takes; then what is, and may have changed.
	for pass := 0; pass < maxHops && len(unknown.missing) > 0; pass++ {
		if err := f.fetch(ctx, server, unknown.missing, fresh); err != nil {
			return err
		}
		unknown = f.held.read(f.kinds(), f.Zone.Networks)
	}
	f.tell(len(unknown.missing) == 0)
	var known []key
	for k := range f.held.sets {
		if !fresh[k] && k.kind != dns.TypePTR && k.kind != dns.TypeCNAME {
			known = append(known, k)
		}
	}
	for k, until := range f.held.none { // a negative answer holds for its time, unless a new serial says otherwise
		if !fresh[k] && (f.dated || !time.Now().Before(until)) {
			known = append(known, k)
		}
	}
	slices.SortFunc(known, func(a, b key) int { // states first: they tell of drains
		if (a.kind == dns.TypeTXT) != (b.kind == dns.TypeTXT) {
			return map[bool]int{true: -1, false: 1}[a.kind == dns.TypeTXT]
		}
		if a.name < b.name {
			return -1
		}
		return 1
	})
	for chunk := range slices.Chunk(known, 8*together) {
		if err := f.fetch(ctx, server, chunk, fresh); err != nil {
			return err
		}
		f.tell(true)
	}
	return nil
}

// fetch asks for sets of records, several at a time, and takes their answers in. The first error ends it.
func (f *Follower) fetch(ctx context.Context, server string, list []key, fresh map[key]bool) (first error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var mu sync.Mutex
	var wg sync.WaitGroup
	places := make(chan struct{}, together)
	for _, k := range list {
		if mu.Lock(); fresh[k] || first != nil {
			mu.Unlock()
			continue
		}
		mu.Unlock()
		places <- struct{}{}
		wg.Go(func() {
			defer func() { <-places }()
			a, err := f.Client.Query(ctx, server, f.Zone.Key, k.name, k.kind)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				if first == nil {
					first = err
					cancel()
				}
				return
			}
			for k := range f.held.replace(k, a, time.Now()) {
				fresh[k] = true
			}
		})
	}
	wg.Wait()
	return first
}

// tell passes on the list as it is held. Where not all of it could be read yet, what is known to be listed stays as
// it was, so only what has gone may be told: it is told as a whole list of what is known.
func (f *Follower) tell(complete bool) {
	out := f.held.read(f.kinds(), f.Zone.Networks)
	f.trouble(out.problems)
	u := membership.Update{Full: true, Records: out.nodes, Serial: f.serial, Serialled: f.dated,
		Lease: min(max(out.ttl, leastLease), mostLease)}
	switch {
	case f.cut:
		u.Basis = membership.Truncated
	case f.relayed:
		u.Basis = membership.Relayed
	}
	if !complete && f.relayed && len(out.nodes) == 0 {
		return
	}
	f.Updater.Update(u)
}

// trouble logs what can't be used, once for each cause.
func (f *Follower) trouble(problems []Problem) {
	now := map[string]string{}
	for _, p := range problems {
		if now[p.Instance] = p.Cause.Error(); f.troubles[p.Instance] != now[p.Instance] {
			f.Log.Warn("record not usable", "zone", f.Zone.Domain, "instance", p.Instance, "cause", p.Cause)
		}
	}
	if f.troubles = now; f.Report != nil {
		f.Report(problems)
	}
}
