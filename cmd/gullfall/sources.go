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

// Ranks of the sources other than discovery. If several sources list a data node, the one with the highest rank is used.
const (
	zoneRank  = 30
	fixedRank = 10
)

// The number of concurrent DNS queries is limited to a sixteenth of the descriptors, but at least minDNSSockets.
const (
	dnsSocketsDiv = 16
	minDNSSockets = 4
)

// followOtherSources starts the sources in deploy/gullfall.toml: the fixed list and the DNS-SD zones. A zone's latest list is kept in the
// store and used after a restart until the zone's servers answer.
func (d *daemon) followOtherSources(ctx context.Context) error {
	zones := d.deploy.DNSSD.Zones()
	if len(zones)+len(d.deploy.Node) == 0 {
		return nil
	}
	limits := d.cfg.Settings.Limits
	nodes := &flight.Nodes{Coordinator: d.coordinator, Log: d.log, Dial: dial, MaxStreams: d.cfg.Streams, ConnectTimeout: limits.ConnectTimeout,
		IdleTimeout: limits.ConnIdle, ConnectionSlots: d.connections}
	d.coordinator.RegisterDispatcher(dnssd.ProtocolFlight, nodes.Dispatch)
	if fixed := d.deploy.FixedNodes(); len(fixed) > 0 {
		d.coordinator.AddSource(membership.Spec{Name: "fixed list", Rank: fixedRank}).ReplaceList(fixed, false)
	}
	client := dnssd.NewClient(d.deploy.DNSSD.Questions, max(minDNSSockets, d.cfg.Limits.Sockets/dnsSocketsDiv))
	listener := &dnssd.NotifyListener{Allow: d.deploy.DNSSD.NotifySources()}
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

// zoneFollower returns a follower of a zone, whose source is initialized with the list in the store.
func (d *daemon) zoneFollower(zone dnssd.Zone, client *dnssd.Client) *dnssd.Follower {
	spec := membership.Spec{Name: zone.Domain, Rank: zoneRank, Damped: true, MaxStale: time.Duration(d.deploy.DNSSD.Stale)}
	source := &storedSource{Source: d.coordinator.AddSource(spec), key: store.EndpointList + "/" + zone.Domain, store: d.store}
	source.load(d.log)
	return &dnssd.Follower{Zone: zone, Client: client, Updater: source, Log: d.log, Poll: time.Duration(d.deploy.DNSSD.Poll)}
}

// listenForNotify receives NOTIFY messages (RFC 1996) for the followed zones if dnssd.notify is set.
func (d *daemon) listenForNotify(ctx context.Context, listener *dnssd.NotifyListener) error {
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

// storedSource is a source that writes its list to the store when it changes.
type storedSource struct {
	*coordinator.Source
	key    string
	store  *store.Store
	stored []byte // list as last written to the store
}

// Update applies an update of the zone and stores the resulting list if it has changed. A failed update is applied but not stored.
func (s *storedSource) Update(u membership.Update) {
	if s.Source.Update(u); u.Reliability == membership.Failed {
		return
	}
	data, err := json.Marshal(s.Records())
	if err == nil && !bytes.Equal(data, s.stored) {
		s.stored = data
		s.store.Put(s.key, data)
	}
}

// load initializes the source with the list in the store.
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
