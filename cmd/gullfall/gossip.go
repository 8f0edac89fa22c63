package main

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"log/slog"
	"slices"
	"time"

	"gullfall/internal/config"
	"gullfall/internal/coordinator"
	"gullfall/internal/gossip"
	"gullfall/internal/observations"
	"gullfall/internal/store"
)

// peerAddrsKeyPrefix is the first segment of the store keys that hold the addresses of the other coordinators. The name of the
// coordinator that saved them is the second.
const peerAddrsKeyPrefix = "peers"

// peerReportInterval is the interval at which the coordinator receives the other coordinators' observations of data nodes.
const peerReportInterval = 250 * time.Millisecond

// startPeers starts gossip with the other coordinators. It returns nil if deploy/gullfall.toml disables it.
func startPeers(ctx context.Context, deploy config.Deploy, cfg config.Config, c *coordinator.Coordinator, log *slog.Logger, sharedStore *store.Store) (*gossip.Gossip, error) {
	if deploy.Peers.Listen == "" {
		return nil, nil
	}
	options, err := gossipOptions(deploy.Peers, cfg, log, sharedStore)
	if err != nil {
		return nil, err
	}
	peers, err := gossip.Start(options)
	if err != nil {
		return nil, err
	}
	c.OnObservation(func(o coordinator.Observation) { shareObservation(peers, o) })
	go reportPeers(ctx, c, peers, cfg.Name)
	log.Info("watching the other coordinators", "listen", deploy.Peers.Listen, "fleet", deploy.Peers.Fleet)
	return peers, nil
}

// gossipOptions returns the options of gossip. Its seeds are the configured ones and the last known addresses of the other
// coordinators, so that a restarted coordinator finds them even if no configured seed answers.
func gossipOptions(p config.Peers, cfg config.Config, log *slog.Logger, sharedStore *store.Store) (gossip.Options, error) {
	process, err := newProcessID()
	if err != nil {
		return gossip.Options{}, err
	}
	options := gossip.Options{
		Swim:       p.Swim(cfg.Name, process, cfg.Seed^process),
		Fleet:      p.Fleet,
		Keys:       p.Keys(),
		Routes:     p.Routes(),
		Log:        log,
		WarmupTime: cfg.Settings.Rules.WarmupTime,
	}
	key := peerAddrsKeyPrefix + "/" + cfg.Name
	var lastAddrs []string
	if data := sharedStore.Get(key); len(data) > 0 && json.Unmarshal(data, &lastAddrs) == nil {
		options.Swim.Seeds = slices.Concat(options.Swim.Seeds, lastAddrs)
	}
	options.SaveAddrs = saveLatest(func(addrs []string) {
		if data, err := json.Marshal(addrs); err == nil {
			sharedStore.Put(key, data)
		}
	})
	return options, nil
}

// newProcessID returns a random number that distinguishes this process from earlier ones of the same name.
func newProcessID() (uint64, error) {
	var raw [8]byte
	if _, err := rand.Read(raw[:]); err != nil {
		return 0, fmt.Errorf("process id: %w", err)
	}
	return binary.BigEndian.Uint64(raw[:]), nil
}

// saveLatest returns a function that calls save with a list in the background. A list that is still queued is replaced by a newer
// one.
func saveLatest(save func([]string)) func([]string) {
	latest := make(chan []string, 1)
	go func() {
		for list := range latest {
			save(list)
		}
	}()
	return func(list []string) {
		select {
		case <-latest:
		default:
		}
		latest <- list
	}
}

// shareObservation sends an observation of a data node to the other coordinators.
func shareObservation(peers *gossip.Gossip, o coordinator.Observation) {
	switch {
	case o.Started:
		peers.ObserveStart(o.Node, o.StartAge)
		return
	case o.Failed:
		peers.Observe(o.Node, observations.Failed, 0)
		return
	}
	peers.Observe(o.Node, observations.Answered, 0)
	if o.Latency > 0 {
		peers.Observe(o.Node, observations.Latency, o.Latency.Seconds())
	}
	if o.Utilization >= 0 {
		peers.Observe(o.Node, observations.Utilization, o.Utilization)
	}
}

// reportPeers passes the other coordinators' observations of data nodes to the coordinator until ctx ends.
func reportPeers(ctx context.Context, c *coordinator.Coordinator, peers *gossip.Gossip, self string) {
	ticker := time.NewTicker(peerReportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if reports := newPeerReports(peers.AllObservations(), self); len(reports) > 0 {
			c.ApplyPeerReports(reports)
		}
	}
}

// newPeerReports returns reports on the data nodes that another coordinator reports as failing, or has seen start and that still
// warm up.
func newPeerReports(all map[string]observations.View, self string) (reports []coordinator.PeerReport) {
	for id, v := range all {
		report := coordinator.PeerReport{Node: id, Failing: v.Suspect && v.FailedBy != self, FailedAge: v.FailedAge, AnsweredAge: v.AnsweredAge}
		if v.WarmupLeft > 0 && v.StartedBy != self {
			report.WarmingUp, report.StartAge = true, v.StartAge
		}
		if report.WarmingUp || report.Failing {
			reports = append(reports, report)
		}
	}
	return reports
}
