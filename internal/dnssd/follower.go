package dnssd

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
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

// Updater takes what is known of a zone: a source of the coordinator, or the command line.
type Updater interface {
	// Update takes a complete list, or why there is none.
	Update(membership.Update)
	// Renew confirms the last list.
	Renew()
	// CheckSerial takes the zone's serial and tells whether its records are to be fetched.
	CheckSerial(serial uint32) (fetch bool)
}

const (
	// DefaultPoll is how often a zone's serial is polled.
	DefaultPoll = 400 * time.Millisecond

	browseInterval     = 2 * time.Second       // between browses of a zone without a serial
	maxBackoff         = 2 * time.Second       // between polls while no server answers
	maxBackoffDoubling = 8                     // times that the pause between them doubles
	minPollGap         = 20 * time.Millisecond // between two polls, however often Refresh is called
	minLease           = 5 * time.Second       // bounds of how long a list holds without renewal
	maxLease           = time.Hour
)

// zoneState is what a follower knows of its zone.
type zoneState struct {
	apex             string // the zone's top
	serial           uint32
	hasSerial        bool
	records          *records // nil while nothing was fetched
	transferred      bool     // they came by a transfer
	incomplete       bool     // the last browse did not come to its end
	truncated        bool     // the last list of instances came only in part
	nonAuthoritative bool     // the last answers came from a server without authority
}

// Follower follows one zone: it polls its serial and fetches its records once that has changed, from one server at a time. Its
// exported fields are set before Run.
type Follower struct {
	Zone    Zone
	Client  *Client
	Updater Updater
	Log     *slog.Logger
	Poll    time.Duration   // 0 means DefaultPoll
	Report  func([]Problem) // takes the instances that can't be used, with each list; may be nil

	once    sync.Once
	refresh chan struct{}

	// The goroutine in Run owns what follows.
	state           zoneState
	server          int               // index of the server in use
	failures        int               // polls in a row
	noTransferUntil time.Time         // servers are asked for none before
	logged          map[string]string // by instance, why it can't be used
}

func (f *Follower) init() { f.once.Do(func() { f.refresh = make(chan struct{}, 1) }) }

// Refresh says that the zone may have changed, so that it is polled at once. Many calls together count as one.
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
		if pause := f.pauseAfter(err); pause > 0 {
			pause = time.Duration(float64(pause) * (0.9 + 0.2*rand.Float64()))
			f.wait(ctx, start, pause)
		}
	}
}

// pauseAfter returns the time from the beginning of a poll, which ended with err, to the next one. The next server is asked at
// once; when none has answered, the pauses grow.
func (f *Follower) pauseAfter(err error) time.Duration {
	if err == nil {
		f.failures = 0
		if !f.state.hasSerial {
			return browseInterval
		}
		return f.Poll
	}
	f.Updater.Update(membership.Update{Basis: membership.Failed, Cause: stableCause(err)})
	servers := len(f.Zone.Servers)
	f.server = (f.server + 1) % servers
	f.failures++
	if f.failures%servers != 0 {
		return 0
	}
	return min(f.Poll<<min(f.failures/servers, maxBackoffDoubling), maxBackoff)
}

// wait returns once the pause since start is over, the zone is to be refreshed, or ctx has ended.
func (f *Follower) wait(ctx context.Context, start time.Time, pause time.Duration) {
	timer := time.NewTimer(time.Until(start.Add(pause)))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-f.refresh:
		// A storm of refreshes brings one poll a gap.
		select {
		case <-ctx.Done():
		case <-time.After(time.Until(start.Add(minPollGap))):
		}
	case <-timer.C:
	}
}

// stableCause is an error in words that stay the same while it does.
func stableCause(err error) string {
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		return "no answer"
	}
	return err.Error()
}

// poll asks for the serial, and fetches the records if that has changed.
func (f *Follower) poll(ctx context.Context) error {
	server, z := f.Zone.Servers[f.server], &f.state
	soa, authoritative, err := f.Client.zoneSerial(ctx, server, f.Zone.Key, f.Zone.Domain)
	var refused *rcodeError
	switch {
	case errors.As(err, &refused) && !z.hasSerial:
		soa = nil // it may answer other questions
	case err != nil:
		return err
	}
	z.nonAuthoritative = !authoritative
	if soa == nil {
		if z.hasSerial { // a server that no longer knows the zone says nothing of data nodes
			return fmt.Errorf("%s: no SOA record for %s", server, f.Zone.Domain)
		}
		z.apex = f.Zone.Domain
		return f.browse(ctx, server)
	}
	if z.nonAuthoritative && z.hasSerial && soa.Serial == z.serial {
		f.Updater.Renew()
		return nil
	}
	if !f.Updater.CheckSerial(soa.Serial) && z.records != nil && !z.incomplete {
		return nil
	}
	return f.fetchZone(ctx, server, soa)
}

// fetchZone fetches the zone by transfer, else by browsing.
func (f *Follower) fetchZone(ctx context.Context, server string, soa *dns.SOA) error {
	z := &f.state
	var base *transferBase
	if z.transferred && z.hasSerial {
		base = &transferBase{z.records, z.serial}
	}
	z.apex = soa.Hdr.Name
	z.serial, z.hasSerial = soa.Serial, true
	if f.Zone.Transfer && time.Now().After(f.noTransferUntil) && f.transferZone(ctx, server, base) {
		return nil
	}
	err := f.browse(ctx, server)
	z.incomplete = err != nil
	return err
}

// transferZone fetches the zone by transfer, of the changes since base where that is not nil. It tells whether that was done.
func (f *Follower) transferZone(ctx context.Context, server string, base *transferBase) bool {
	z := &f.state
	got, err := f.Client.transfer(ctx, server, f.Zone.Key, z.apex, base)
	if err == nil && base != nil && got.records == base.records && got.serial != base.serial {
		got, err = f.Client.transfer(ctx, server, f.Zone.Key, z.apex, nil)
	}
	if err != nil && base != nil && ctx.Err() == nil {
		f.Log.Info("incremental transfer failed; requesting the full zone", "zone", z.apex, "cause", err)
		got, err = f.Client.transfer(ctx, server, f.Zone.Key, z.apex, nil)
	}
	if err != nil {
		if ctx.Err() == nil {
			f.noTransferUntil = time.Now().Add(transferRetryDelay)
			f.Log.Warn("transfer failed; the zone is browsed", "zone", z.apex, "server", server, "cause", err)
		}
		return false
	}
	z.incomplete, z.truncated = false, false
	z.records, z.transferred, z.serial = got.records, true, got.serial
	f.markMissingAbsent()
	f.publish()
	return true
}

// markMissingAbsent notes that records which a transfer did not bring do not exist: a transfer is the complete zone.
func (f *Follower) markMissingAbsent() {
	for range maxHops {
		missing := f.read().missing
		if len(missing) == 0 {
			return
		}
		for _, k := range missing {
			f.state.records.absent[k] = time.Time{}
		}
	}
}

// serviceTypes are the full names of the service types.
func (f *Follower) serviceTypes() (list []string) {
	for _, s := range f.Zone.Services {
		list = append(list, s+"."+f.Zone.Domain)
	}
	return list
}

// read finds the data nodes in the records.
func (f *Follower) read() zoneReading {
	return f.state.records.read(f.serviceTypes(), f.Zone.Networks)
}

// publish passes on the data nodes that the records hold.
func (f *Follower) publish() {
	out := f.read()
	f.reportProblems(out.problems)
	f.Updater.Update(f.update(out))
}

// publishPartial passes on the data nodes while some records are still missing. What is missing is not listed, so a data node
// that has gone is removed at once. An empty list from a server without authority is left out.
func (f *Follower) publishPartial() {
	out := f.read()
	f.reportProblems(out.problems)
	if f.state.nonAuthoritative && len(out.nodes) == 0 {
		return
	}
	f.Updater.Update(f.update(out))
}

// update is a list of data nodes, with what it rests on.
func (f *Follower) update(out zoneReading) membership.Update {
	z := &f.state
	u := membership.Update{Full: true, Records: out.nodes, Serial: z.serial, HasSerial: z.hasSerial,
		Lease: min(max(out.ttl, minLease), maxLease)}
	switch {
	case z.truncated:
		u.Basis = membership.Truncated
	case z.nonAuthoritative:
		u.Basis = membership.NonAuthoritative
	}
	return u
}

// reportProblems reports the instances that can't be used. It logs each once for a cause.
func (f *Follower) reportProblems(problems []Problem) {
	causes := map[string]string{}
	for _, p := range problems {
		causes[p.Instance] = p.Cause.Error()
		if f.logged[p.Instance] != causes[p.Instance] {
			f.Log.Warn("record not usable", "zone", f.Zone.Domain, "instance", p.Instance, "cause", p.Cause)
		}
	}
	f.logged = causes
	if f.Report != nil {
		f.Report(problems)
	}
}
