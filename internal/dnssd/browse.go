package dnssd

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/miekg/dns"

	"gullfall/internal/membership"
)

const (
	maxParallelQueries = 16                     // of one browse
	browseBatch        = 8 * maxParallelQueries // record sets fetched between two updates
)

// browse fetches the instances of each service type and those of their records that may have changed. It publishes removed instances
// before it fetches anything else.
func (f *Follower) browse(ctx context.Context, server string) error {
	fresh := map[recordKey]bool{} // fetched by this browse
	next, err := f.fetchInstances(ctx, server, fresh)
	if err != nil {
		return err
	}
	z := &f.state
	hadRecords := z.records != nil && len(z.records.sets) > 0
	if z.nonAuthoritative && len(next.sets) == 0 && hadRecords {
		f.Updater.Update(membership.Update{Basis: membership.NonAuthoritative, Full: true})
		return nil
	}
	z.records, z.transferred = next, false
	if err := f.fetchMissing(ctx, server, fresh); err != nil {
		return err
	}
	return f.refetchKnown(ctx, server, fresh)
}

// fetchInstances fetches the instances of each service type. It returns the known records without those of instances that are no
// longer listed.
func (f *Follower) fetchInstances(ctx context.Context, server string, fresh map[recordKey]bool) (*records, error) {
	z := &f.state
	next := newRecords(z.apex)
	if z.records != nil {
		next = z.records.clone()
	}
	z.truncated = false
	for _, serviceType := range f.serviceTypes() {
		answer, err := f.Client.Query(ctx, server, f.Zone.Key, serviceType, dns.TypePTR)
		if err != nil {
			return nil, err
		}
		z.nonAuthoritative, z.truncated = z.nonAuthoritative || !answer.Authoritative, z.truncated || answer.Truncated
		for k := range next.replace(newRecordKey(serviceType, dns.TypePTR), answer, time.Now()) {
			fresh[k] = true
		}
	}
	next.prune(f.serviceTypes())
	return next, nil
}

// fetchMissing publishes what is known, then fetches the records needed to read the remaining instances, in up to maxHops passes, and
// publishes again.
func (f *Follower) fetchMissing(ctx context.Context, server string, fresh map[recordKey]bool) error {
	missing := f.read().missing
	f.publishWithout(missing)
	for pass := 0; pass < maxHops && len(missing) > 0; pass++ {
		if err := f.fetch(ctx, server, missing, fresh); err != nil {
			return err
		}
		missing = f.read().missing
	}
	f.publishWithout(missing)
	return nil
}

// publishWithout publishes the data nodes, as a partial list if records are missing.
func (f *Follower) publishWithout(missing []recordKey) {
	if len(missing) == 0 {
		f.publish()
	} else {
		f.publishPartial()
	}
}

// refetchKnown fetches the known records that may have changed, and publishes them batch by batch.
func (f *Follower) refetchKnown(ctx context.Context, server string, fresh map[recordKey]bool) error {
	for batch := range slices.Chunk(f.maybeChanged(fresh), browseBatch) {
		if err := f.fetch(ctx, server, batch, fresh); err != nil {
			return err
		}
		f.publish()
	}
	return nil
}

// maybeChanged returns the known record sets that this browse has not fetched, TXT records first since they announce drains. Negative
// answers are included once their TTL has passed, or always if the DNS zone has a serial, since a browse then means that the zone has
// changed.
func (f *Follower) maybeChanged(fresh map[recordKey]bool) (keys []recordKey) {
	z := &f.state
	for k := range z.records.sets {
		if !fresh[k] && k.rrtype != dns.TypePTR && k.rrtype != dns.TypeCNAME {
			keys = append(keys, k)
		}
	}
	for k, until := range z.records.absent {
		if !fresh[k] && (z.hasSerial || !time.Now().Before(until)) {
			keys = append(keys, k)
		}
	}
	slices.SortFunc(keys, func(a, b recordKey) int {
		if aText, bText := a.rrtype == dns.TypeTXT, b.rrtype == dns.TypeTXT; aText != bText {
			if aText {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.name, b.name)
	})
	return keys
}

// fetch queries record sets, several in parallel, and stores the answers. It stops at the first error.
func (f *Follower) fetch(ctx context.Context, server string, keys []recordKey, fresh map[recordKey]bool) (first error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var mu sync.Mutex // guards first, fresh and the records
	var wg sync.WaitGroup
	slots := make(chan struct{}, maxParallelQueries)
	for _, k := range keys {
		mu.Lock()
		skip := fresh[k] || first != nil
		mu.Unlock()
		if skip {
			continue
		}
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			answer, err := f.Client.Query(ctx, server, f.Zone.Key, k.name, k.rrtype)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				if first == nil {
					first = err
					cancel()
				}
				return
			}
			for k := range f.state.records.replace(k, answer, time.Now()) {
				fresh[k] = true
			}
		})
	}
	wg.Wait()
	return first
}
