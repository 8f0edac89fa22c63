package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"time"

	"gullfall/internal/coordinator"
	"gullfall/internal/dnssd"
	"gullfall/internal/flight"
	"gullfall/internal/membership"
	"gullfall/internal/store"
)

// Ranks of the sources besides discovery: of a data node that several name, the source of the highest rank counts.
const (
	zoneRank  = 30
	fixedRank = 10
)

// Questions to DNS servers may hold a sixteenth of the descriptors, and this many at least.
const (
	dnsSocketsDiv = 16
	minDNSSockets = 4
)

// followOtherSources starts what deploy/gullfall.toml names besides discovery: the fixed list and the DNS-SD zones. The list that
// a zone told last is kept in the store, and holds after a restart until the zone's servers answer.
func (d *daemon) followOtherSources(ctx context.Context) error {
	if fixed := d.deploy.FixedNodes(); len(fixed) > 0 {
		d.coordinator.AddSource(membership.Spec{Name: "fixed list", Rank: fixedRank}).ReplaceList(fixed, false)
	}
	zones := d.deploy.DNSSD.Zones()
	if len(zones)+len(d.deploy.Node) == 0 {
		return nil
	}
	limits := d.cfg.Settings.Limits
	nodes := &flight.Nodes{Coordinator: d.coordinator, Log: d.log, Dial: dial, Streams: d.cfg.Streams, Connect: limits.ConnectTimeout,
		Idle: limits.ConnIdle, Connections: d.connections}
	d.coordinator.RegisterDispatcher(dnssd.Flight, nodes.Dispatch)
	client := dnssd.NewClient(d.deploy.DNSSD.Questions, max(minDNSSockets, d.cfg.Limits.Sockets/dnsSocketsDiv))
	listener := &dnssd.Listener{Allow: d.deploy.DNSSD.NotifySources()}
	for _, zone := range zones {
		listener.Followers = append(listener.Followers, d.zoneFollower(zone, client))
	}
	if err := d.listenForNotify(ctx, listener); err != nil {
		return err
	}
	for _, follower := range listener.Followers {
		go follower.Run(ctx)
	}
	return nil
}

// zoneFollower returns a follower of a zone whose source starts from the list in the store.
func (d *daemon) zoneFollower(zone dnssd.Zone, client *dnssd.Client) *dnssd.Follower {
	spec := membership.Spec{Name: zone.Domain, Rank: zoneRank, Damped: true, MaxStale: time.Duration(d.deploy.DNSSD.Stale)}
	source := &storedSource{Source: d.coordinator.AddSource(spec), key: store.EndpointList + "/" + zone.Domain, store: d.store}
	source.load(d.log)
	return &dnssd.Follower{Zone: zone, Client: client, Updater: source, Log: d.log, Poll: time.Duration(d.deploy.DNSSD.Poll)}
}

// listenForNotify takes NOTIFY messages (RFC 1996) for the followed zones, where dnssd.notify names an address.
func (d *daemon) listenForNotify(ctx context.Context, listener *dnssd.Listener) error {
	if d.deploy.DNSSD.Notify == "" {
		return nil
	}
	conn, err := net.ListenPacket("udp", d.deploy.DNSSD.Notify)
	if err != nil {
		return fmt.Errorf("dnssd.notify: %w", err)
	}
	go func() {
		if err := listener.Serve(ctx, conn); err != nil {
			d.log.Error("NOTIFY is no longer received; serials are still polled", "cause", err)
		}
	}()
	return nil
}

// storedSource is a source whose list is written to the store at each change.
type storedSource struct {
	*coordinator.Source
	key   string
	store *store.Store
	last  []byte // as written last
}

// Update passes on what the zone has told and stores the resulting list.
func (s *storedSource) Update(u membership.Update) {
	if s.Source.Update(u); u.Basis == membership.Failed {
		return
	}
	data, err := json.Marshal(s.Records())
	if err == nil && !bytes.Equal(data, s.last) {
		s.last = data
		s.store.Put(s.key, data)
	}
}

// load starts from the list in the store.
func (s *storedSource) load(log *slog.Logger) {
	raw := s.store.Get(s.key)
	if len(raw) == 0 {
		return
	}
	var list []membership.Record
	if err := json.Unmarshal(raw, &list); err != nil {
		log.Warn("cached list not understood", "key", s.key, "cause", err)
		return
	}
	s.ReplaceList(list, true)
}
