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

// Zone is a DNS zone to follow: a domain to browse, with its servers.
type Zone struct {
	Domain   string   // ends in a dot
	Services []string // service types, such as _dn._tcp
	Servers  []string // addresses with ports; one is used until it fails, then the next
	Transfer bool     // the servers allow zone transfers
	Key      *Key
	Networks *bart.Lite // allowed addresses of data nodes
}

// Updater receives what is known about a zone. It is a data node source of the coordinator, or of the command line.
type Updater interface {
	// Update takes a complete list, or the reason why there is none.
	Update(membership.Update)
	// Renew confirms the last list.
	Renew()
	// CheckSerial takes the zone's serial and reports whether the records are to be fetched.
	CheckSerial(serial uint32) (fetch bool)
}

const (
	// DefaultPoll is the default interval between polls of a zone's serial.
	DefaultPoll = 400 * time.Millisecond

	browseInterval     = 2 * time.Second       // between browses of a zone without a serial
	maxBackoff         = 2 * time.Second       // between polls while no server answers
	maxBackoffDoubling = 8                     // number of times the pause between these polls doubles
	minPollGap         = 20 * time.Millisecond // between two polls, however often Refresh is called
	minLease           = 5 * time.Second       // bounds of how long a list is valid without renewal
	maxLease           = time.Hour
)

// zoneState holds what a follower knows about its zone.
type zoneState struct {
	apex             string // name of the zone
	serial           uint32
	hasSerial        bool
	records          *records // nil until the first fetch
	transferred      bool     // the records came by zone transfer
	incomplete       bool     // the last browse ended early
	truncated        bool     // the last list of instances was truncated
	nonAuthoritative bool     // the last answers were not authoritative
}

// Follower follows one zone: it polls the serial and fetches the records when it has changed, using one server at a time. Its exported
// fields are set before Run.
type Follower struct {
	Zone    Zone
	Client  *Client
	Updater Updater
	Log     *slog.Logger
	Poll    time.Duration   // 0 means DefaultPoll
	Report  func([]Problem) // called with the unusable instances of each list; may be nil

	once    sync.Once
	refresh chan struct{}

	// The goroutine in Run owns the fields below.
	state           zoneState
	server          int               // index of the server in use
	failures        int               // consecutive failed polls
	noTransferUntil time.Time         // no transfer is started before this time
	loggedProblems  map[string]string // logged causes of unusable instances, by instance
}

func (f *Follower) init() { f.once.Do(func() { f.refresh = make(chan struct{}, 1) }) }

// Refresh triggers an immediate poll because the zone may have changed. Calls before the poll are merged into one.
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
	f.loggedProblems = map[string]string{}
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

// pauseAfter returns the time between the start of a poll, which ended with err, and the next one. After a failure the next server is
// tried at once; when all have failed, the pauses grow.
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

// wait returns when the pause since start is over, on a refresh, or when ctx ends.
func (f *Follower) wait(ctx context.Context, start time.Time, pause time.Duration) {
	timer := time.NewTimer(time.Until(start.Add(pause)))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-f.refresh:
		// Frequent refreshes cause at most one poll per minPollGap.
		select {
		case <-ctx.Done():
		case <-time.After(time.Until(start.Add(minPollGap))):
		}
	case <-timer.C:
	}
}

// stableCause returns an error text that stays the same while the fault lasts: a timeout's own text names changing ports.
func stableCause(err error) string {
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		return "no answer"
	}
	return err.Error()
}

// poll queries the serial and fetches the records if it has changed.
func (f *Follower) poll(ctx context.Context) error {
	server, z := f.Zone.Servers[f.server], &f.state
	soa, authoritative, err := f.Client.zoneSerial(ctx, server, f.Zone.Key, f.Zone.Domain)
	var refused *rcodeError
	switch {
	case errors.As(err, &refused) && !z.hasSerial:
		soa = nil // the server may answer other queries
	case err != nil:
		return err
	}
	z.nonAuthoritative = !authoritative
	if soa == nil {
		if z.hasSerial { // a server that no longer knows the zone says nothing about its data nodes
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

// fetchZone fetches the zone by transfer if that is allowed and succeeds, otherwise by browsing.
func (f *Follower) fetchZone(ctx context.Context, server string, soa *dns.SOA) error {
	z := &f.state
	var base *transferredZone
	if z.transferred && z.hasSerial {
		base = &transferredZone{z.records, z.serial}
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

// transferZone fetches the zone by transfer, only the changes since base if base is not nil. It reports whether that succeeded.
func (f *Follower) transferZone(ctx context.Context, server string, base *transferredZone) bool {
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

// markMissingAbsent marks records as absent that a transfer did not contain, since a transfer is the complete zone.
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

// serviceTypes returns the full names of the service types.
func (f *Follower) serviceTypes() (list []string) {
	for _, s := range f.Zone.Services {
		list = append(list, s+"."+f.Zone.Domain)
	}
	return list
}

// read returns the data nodes in the records.
func (f *Follower) read() zoneContents {
	return f.state.records.read(f.serviceTypes(), f.Zone.Networks)
}

// publish publishes the data nodes in the records.
func (f *Follower) publish() {
	out := f.read()
	f.reportProblems(out.problems)
	f.Updater.Update(f.update(out))
}

// publishPartial publishes the data nodes while some records are still missing. Instances with missing records are not listed, so a
// removed data node disappears at once. An empty list from a server that is not authoritative is not published.
func (f *Follower) publishPartial() {
	out := f.read()
	f.reportProblems(out.problems)
	if f.state.nonAuthoritative && len(out.nodes) == 0 {
		return
	}
	f.Updater.Update(f.update(out))
}

// update returns a list of data nodes with the basis that it rests on.
func (f *Follower) update(out zoneContents) membership.Update {
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

// reportProblems reports the unusable instances. It logs each of them again only if its cause changes.
func (f *Follower) reportProblems(problems []Problem) {
	causes := map[string]string{}
	for _, p := range problems {
		causes[p.Instance] = p.Cause.Error()
		if f.loggedProblems[p.Instance] != causes[p.Instance] {
			f.Log.Warn("record not usable", "zone", f.Zone.Domain, "instance", p.Instance, "cause", p.Cause)
		}
	}
	f.loggedProblems = causes
	if f.Report != nil {
		f.Report(problems)
	}
}
