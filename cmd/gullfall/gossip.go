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

// peerAddrsKey begins the key under which the store keeps the addresses of the other coordinators, by the name of the one that
// knew them.
const peerAddrsKey = "peers"

// peerReportInterval is how often the coordinator is handed what others observe of data nodes.
const peerReportInterval = 250 * time.Millisecond

// startPeers starts gossip with the other coordinators; nil where deploy/gullfall.toml has it off.
func startPeers(ctx context.Context, deploy config.Deploy, cfg config.Config, c *coordinator.Coordinator, log *slog.Logger, members *store.Store) (*gossip.Gossip, error) {
	if deploy.Peers.Listen == "" {
		return nil, nil
	}
	options, err := gossipOptions(deploy.Peers, cfg, log, members)
	if err != nil {
		return nil, err
	}
	peers, err := gossip.Start(options)
	if err != nil {
		return nil, err
	}
	c.OnObservation(func(o coordinator.Observation) { share(peers, o) })
	go reportPeers(ctx, c, peers, cfg.Name)
	log.Info("watching the other coordinators", "listen", deploy.Peers.Listen, "fleet", deploy.Peers.Fleet)
	return peers, nil
}

// gossipOptions adds to the configured seeds the addresses at which the others were last, so that a coordinator finds them after
// a restart although its seeds are gone.
func gossipOptions(p config.Peers, cfg config.Config, log *slog.Logger, members *store.Store) (gossip.Options, error) {
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
	key := peerAddrsKey + "/" + cfg.Name
	var last []string
	if data := members.Get(key); len(data) > 0 && json.Unmarshal(data, &last) == nil {
		options.Swim.Seeds = slices.Concat(options.Swim.Seeds, last)
	}
	options.SaveAddrs = saveLatest(func(addrs []string) {
		if data, err := json.Marshal(addrs); err == nil {
			members.Put(key, data)
		}
	})
	return options, nil
}

// newProcessID draws the number by which others tell this process from an earlier one of the same name.
func newProcessID() (uint64, error) {
	var raw [8]byte
	if _, err := rand.Read(raw[:]); err != nil {
		return 0, fmt.Errorf("process id: %w", err)
	}
	return binary.BigEndian.Uint64(raw[:]), nil
}

// saveLatest returns a function that hands a list to save without waiting for it: a list that was not saved yet gives way to a
// newer one.
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

// share tells the other coordinators what this one has observed of a data node.
func share(peers *gossip.Gossip, o coordinator.Observation) {
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

// reportPeers hands the coordinator what the others observe of data nodes, until ctx ends.
func reportPeers(ctx context.Context, c *coordinator.Coordinator, peers *gossip.Gossip, self string) {
	ticker := time.NewTicker(peerReportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if reports := peerReports(peers.AllObservations(), self); len(reports) > 0 {
			c.ApplyPeerReports(reports)
		}
	}
}

// peerReports are the data nodes that fail for another coordinator, or that another has seen start.
func peerReports(all map[string]observations.View, self string) (reports []coordinator.PeerReport) {
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
