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
	DefaultPoll        = 400 * time.Millisecond // a zone's serial
	browseInterval     = 2 * time.Second        // the whole list, where no serial can be had
	maxBackoff         = 2 * time.Second        // between tries while no server answers
	transferRetryDelay = 30 * time.Second       // after a transfer was turned down
	minLease           = 5 * time.Second
	maxLease           = time.Hour
	maxParallelQueries = 16 // questions of one browse that are out at once
)

// Follower follows one zone. Its fields are set before Run.
type Follower struct {
	Zone    Zone
	Client  *Client
	Updater Updater
	Log     *slog.Logger
	Poll    time.Duration // 0 means DefaultPoll
	Report  func([]Problem)

	once    sync.Once
	refresh chan struct{}

	// Of the goroutine that runs.
	server           int
	records          *records // nil while nothing was fetched
	transferred      bool     // held came by a transfer
	incomplete       bool     // the last browse did not come to its end
	serial           uint32
	hasSerial        bool
	apex             string
	noTransferUntil  time.Time // no transfer is asked for until then
	failures         int
	nonAuthoritative bool              // the last answers came without authority
	truncated        bool              // the last list came only in part
	logged           map[string]string // by instance, as logged
}

func (f *Follower) init() { f.once.Do(func() { f.refresh = make(chan struct{}, 1) }) }

// Refresh says that the zone may have changed; many of them at once are one.
func (f *Follower) Refresh() {
	f.init()
	select {
	case f.refresh <- struct{}{}:
	default:
	}
}

// Run follows the zone until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	f.init()
	if f.Poll <= 0 {
		f.Poll = DefaultPoll
	}
	f.logged = map[string]string{}
	for ctx.Err() == nil {
		start := time.Now()
		err := f.poll(ctx)
		if ctx.Err() != nil {
			return
		}
		pause := f.Poll
		if err != nil {
			f.Updater.Update(membership.Update{Basis: membership.Failed, Cause: stableCause(err)})
			f.server = (f.server + 1) % len(f.Zone.Servers)
			// The next server is asked at once; once none has answered, less and less often.
			if f.failures++; f.failures%len(f.Zone.Servers) != 0 {
				continue
			}
			pause = min(f.Poll<<min(f.failures/len(f.Zone.Servers), 8), maxBackoff)
		} else if f.failures = 0; !f.hasSerial {
			pause = browseInterval
		}
		pause = time.Duration(float64(pause) * (0.9 + 0.2*rand.Float64()))
		timer := time.NewTimer(time.Until(start.Add(pause)))
		select {
		case <-ctx.Done():
		case <-f.refresh:
			// A storm of them is answered by one question in a while.
			select {
			case <-ctx.Done():
			case <-time.After(time.Until(start.Add(minPollGap))):
			}
		case <-timer.C:
		}
		timer.Stop()
	}
}

// leastGap lies between two rounds, however often it is nudged.
const minPollGap = 20 * time.Millisecond

// cause is an error in words that stay the same while it does.
func stableCause(err error) string {
	var ne net.Error
	if errors.As(err, &ne) && ne.Timeout() {
		return "no answer"
	}
	return err.Error()
}

// round asks for the serial, and fetches what has changed.
func (f *Follower) poll(ctx context.Context) error {
	server := f.Zone.Servers[f.server]
	soa, auth, err := f.Client.zoneSerial(ctx, server, f.Zone.Key, f.Zone.Domain)
	var refused *rcodeError
	switch {
	case errors.As(err, &refused) && !f.hasSerial:
		soa = nil // it may answer other questions, and goes on to
	case err != nil:
		return err
	}
	f.nonAuthoritative = !auth
	if soa == nil {
		if f.hasSerial { // it had one; a server that knows the zone no more says nothing of data nodes
			return fmt.Errorf("%s: no SOA record for %s", server, f.Zone.Domain)
		}
		f.apex = f.Zone.Domain
		return f.browse(ctx, server)
	}
	if f.nonAuthoritative && f.hasSerial && soa.Serial == f.serial {
		f.Updater.Renew()
		return nil
	}
	if !f.Updater.SerialSeen(soa.Serial) && f.records != nil && !f.incomplete {
		return nil
	}
	f.apex = soa.Hdr.Name
	was, had := f.serial, f.hasSerial
	f.serial, f.hasSerial = soa.Serial, true
	if f.Zone.Transfer && time.Now().After(f.noTransferUntil) {
		if f.transferZone(ctx, server, was, had) {
			return nil
		}
	}
	err = f.browse(ctx, server)
	f.incomplete = err != nil
	return err
}

// move fetches the zone by transfer; it tells whether that was done.
func (f *Follower) transferZone(ctx context.Context, server string, was uint32, had bool) bool {
	var from *records
	if f.transferred && had {
		from = f.records
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
			f.noTransferUntil = time.Now().Add(transferRetryDelay)
			f.Log.Warn("transfer failed; the zone is browsed", "zone", f.apex, "server", server, "cause", err)
		}
		return false
	}
	f.incomplete, f.truncated = false, false
	// What a name server leaves out is known to be missing: the zone is all here.
	f.records, f.transferred, f.serial = next, true, serial
	for pass := 0; pass < maxHops; pass++ {
		reading := f.records.read(f.serviceTypes(), f.Zone.Networks)
		if len(reading.missing) == 0 {
			break
		}
		for _, k := range reading.missing {
			f.records.absent[k] = time.Time{}
		}
	}
	f.publish(true)
	return true
}

func (f *Follower) serviceTypes() (list []string) {
	for _, s := range f.Zone.Services {
		list = append(list, s+"."+f.Zone.Domain)
	}
	return list
}

// browse asks for the instances of each service type and for what may have changed of them. Those that have vanished
// are told before anything else is asked.
func (f *Follower) browse(ctx context.Context, server string) error {
	next := newRecords(f.apex)
	if f.records != nil {
		next = f.records.clone()
	}
	fresh := map[recordKey]bool{}
	f.truncated = false
	for _, kind := range f.serviceTypes() {
		a, err := f.Client.Query(ctx, server, f.Zone.Key, kind, dns.TypePTR)
		if err != nil {
			return err
		}
		f.nonAuthoritative, f.truncated = f.nonAuthoritative || !a.Authoritative, f.truncated || a.Truncated
		for k := range next.replace(newRecordKey(kind, dns.TypePTR), a, time.Now()) {
			fresh[k] = true
		}
	}
	if next.prune(f.serviceTypes()); f.nonAuthoritative && len(next.sets) == 0 && f.records != nil && len(f.records.sets) > 0 {
		f.Updater.Update(membership.Update{Basis: membership.Relayed, Full: true})
		return nil
	}
	f.records, f.transferred = next, false
	unknown := f.records.read(f.serviceTypes(), f.Zone.Networks)
	f.publish(len(unknown.missing) == 0)
	// First what is not known, in as many passes as it takes; then what is, and may have changed.
	for pass := 0; pass < maxHops && len(unknown.missing) > 0; pass++ {
		if err := f.fetch(ctx, server, unknown.missing, fresh); err != nil {
			return err
		}
		unknown = f.records.read(f.serviceTypes(), f.Zone.Networks)
	}
	f.publish(len(unknown.missing) == 0)
	var known []recordKey
	for k := range f.records.sets {
		if !fresh[k] && k.rrtype != dns.TypePTR && k.rrtype != dns.TypeCNAME {
			known = append(known, k)
		}
	}
	for k, until := range f.records.absent { // a negative answer holds for its time, unless a new serial says otherwise
		if !fresh[k] && (f.hasSerial || !time.Now().Before(until)) {
			known = append(known, k)
		}
	}
	slices.SortFunc(known, func(a, b recordKey) int { // states first: they tell of drains
		if (a.rrtype == dns.TypeTXT) != (b.rrtype == dns.TypeTXT) {
			return map[bool]int{true: -1, false: 1}[a.rrtype == dns.TypeTXT]
		}
		if a.name < b.name {
			return -1
		}
		return 1
	})
	for chunk := range slices.Chunk(known, 8*maxParallelQueries) {
		if err := f.fetch(ctx, server, chunk, fresh); err != nil {
			return err
		}
		f.publish(true)
	}
	return nil
}

// fetch asks for sets of records, several at a time, and takes their answers in. The first error ends it.
func (f *Follower) fetch(ctx context.Context, server string, list []recordKey, fresh map[recordKey]bool) (first error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var mu sync.Mutex
	var wg sync.WaitGroup
	places := make(chan struct{}, maxParallelQueries)
	for _, k := range list {
		if mu.Lock(); fresh[k] || first != nil {
			mu.Unlock()
			continue
		}
		mu.Unlock()
		places <- struct{}{}
		wg.Go(func() {
			defer func() { <-places }()
			a, err := f.Client.Query(ctx, server, f.Zone.Key, k.name, k.rrtype)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				if first == nil {
					first = err
					cancel()
				}
				return
			}
			for k := range f.records.replace(k, a, time.Now()) {
				fresh[k] = true
			}
		})
	}
	wg.Wait()
	return first
}

// tell passes on the list as it is held. Where not all of it could be read yet, what is known to be listed stays as
// it was, so only what has gone may be told: it is told as a whole list of what is known.
func (f *Follower) publish(complete bool) {
	out := f.records.read(f.serviceTypes(), f.Zone.Networks)
	f.reportProblems(out.problems)
	u := membership.Update{Full: true, Records: out.nodes, Serial: f.serial, Serialled: f.hasSerial,
		Lease: min(max(out.ttl, minLease), maxLease)}
	switch {
	case f.truncated:
		u.Basis = membership.Truncated
	case f.nonAuthoritative:
		u.Basis = membership.Relayed
	}
	if !complete && f.nonAuthoritative && len(out.nodes) == 0 {
		return
	}
	f.Updater.Update(u)
}

// trouble logs what can't be used, once for each cause.
func (f *Follower) reportProblems(problems []Problem) {
	now := map[string]string{}
	for _, p := range problems {
		if now[p.Instance] = p.Cause.Error(); f.logged[p.Instance] != now[p.Instance] {
			f.Log.Warn("record not usable", "zone", f.Zone.Domain, "instance", p.Instance, "cause", p.Cause)
		}
	}
	if f.logged = now; f.Report != nil {
		f.Report(problems)
	}
}
