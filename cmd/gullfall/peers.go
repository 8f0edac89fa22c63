package main

// This file owns the coordinators' talk in the daemon, and `gullfall peers`, which shows it. It must never show a key.

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"math"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"gullfall/internal/admin"
	"gullfall/internal/config"
	"gullfall/internal/coordinator"
	"gullfall/internal/gossip"
	"gullfall/internal/maintenance/agent"
	"gullfall/internal/observations"
	"gullfall/internal/store"
	"gullfall/internal/swim"
)

// keptPeers is the key under which the store keeps where the others were last.
const keptPeers = "peers"

// startPeers begins to talk where our own file says so; nil where it does not.
func startPeers(ctx context.Context, deploy config.Deploy, cfg config.Config, c *coordinator.Coordinator, log *slog.Logger, kept *store.Store) (*gossip.Gossip, error) {
	p := deploy.Peers
	if p.Listen == "" {
		return nil, nil
	}
	var raw [8]byte
	if _, err := rand.Read(raw[:]); err != nil {
		return nil, err
	}
	process := binary.BigEndian.Uint64(raw[:])
	o := gossip.Options{Swim: p.Swim(cfg.Name, process, cfg.Seed^process), Fleet: p.Fleet, Keys: p.Keys(), Routes: p.Routes(), Log: log, WarmupTime: cfg.Settings.Rules.WarmupTime}
	var last []string
	if data := kept.Get(keptPeers + "/" + cfg.Name); len(data) > 0 && json.Unmarshal(data, &last) == nil {
		o.Swim.Seeds = append(append([]string{}, o.Swim.Seeds...), last...)
	}
	addrs := make(chan []string, 1)
	o.SaveAddrs = func(list []string) { // only the newest is worth keeping
		select {
		case <-addrs:
		default:
		}
		addrs <- list
	}
	go func() {
		for list := range addrs {
			if data, err := json.Marshal(list); err == nil {
				kept.Put(keptPeers+"/"+cfg.Name, data)
			}
		}
	}()
	talk, err := gossip.Start(o)
	if err != nil {
		return nil, err
	}
	c.OnObservation(func(s coordinator.Observation) {
		if s.Started {
			talk.ObserveStart(s.Node, s.Ago)
			return
		}
		if s.Failed {
			talk.Observe(s.Node, observations.Failed, 0)
			return
		}
		talk.Observe(s.Node, observations.Answered, 0)
		if s.Latency > 0 {
			talk.Observe(s.Node, observations.Latency, s.Latency.Seconds())
		}
		if s.Utilization >= 0 {
			talk.Observe(s.Node, observations.Utilization, s.Utilization)
		}
	})
	go hear(ctx, c, talk, cfg.Name)
	log.Info("watching the other coordinators", "listen", p.Listen, "fleet", p.Fleet)
	return talk, nil
}

// hearEvery is how often core is told what other coordinators have learned.
const hearEvery = 250 * time.Millisecond

// hear passes on what others tell of data nodes, until ctx ends.
func hear(ctx context.Context, c *coordinator.Coordinator, talk *gossip.Gossip, self string) {
	tick := time.NewTicker(hearEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		var list []coordinator.PeerReport
		for id, v := range talk.AllObservations() {
			t := coordinator.PeerReport{Node: id, Failing: v.Suspect && v.FailedBy != self, Failed: v.Failed, Answered: v.Answered}
			if v.WarmingFor > 0 && v.WarmingSeenBy != self {
				t.WarmingUp, t.Started = true, v.Started
			}
			if t.WarmingUp || t.Failing {
				list = append(list, t)
			}
		}
		if len(list) > 0 {
			c.ApplyPeerReports(list)
		}
	}
}

// peersView is what `gullfall peers` shows.
type peersView struct {
	Self     string     `json:"self"`
	Verdict  string     `json:"verdict"` // connected, split, alone
	Here     int        `json:"here"`
	Known    int        `json:"known"`
	Majority bool       `json:"majority"`
	Refused  string     `json:"refused,omitempty"`
	Health   int        `json:"health"` // by how many times own times are widened, beside 1
	Members  []peerView `json:"members"`
	Counts   swim.Counts
	Dropped  map[string]int64 `json:"dropped"`
	Sent     int64            `json:"bytes_sent"`
	Received int64            `json:"bytes_received"`
}

type peerView struct {
	Name        string   `json:"name"`
	Addr        string   `json:"addr"`
	State       string   `json:"state"` // alive, partly, suspect, dead, left
	Incarnation uint64   `json:"incarnation"`
	SinceS      float64  `json:"since_s"`
	Suspectors  []string `json:"suspected_by,omitempty"`
	Phi         float64  `json:"phi"`
	HeardS      float64  `json:"heard_s"`   // since its last packet; below 0 for never
	ReachedS    float64  `json:"reached_s"` // since its last direct ack; below 0 for never
	RTTMS       float64  `json:"rtt_ms"`
	CutFrom     []string `json:"not_reached_by,omitempty"`
	CutTo       []string `json:"does_not_reach,omitempty"`
}

// adminCommands are the commands that the parts which are on serve.
func adminCommands(talk *gossip.Gossip, work *agent.Agent, kept *store.Store, drains *zoneDrains) map[string]admin.Command {
	commands := map[string]admin.Command{}
	workCommands(commands, work)
	storeCommands(commands, kept, talk)
	zoneCommands(commands, drains)
	if talk == nil {
		return commands
	}
	commands["learned"] = func(context.Context, json.RawMessage) (any, error) { return learnedViews(talk.AllObservations()), nil }
	commands["peers"] = func(context.Context, json.RawMessage) (any, error) {
		var v peersView
		if !talk.View(func(s *swim.Swim) { v = viewOf(s, talk.Since()) }) {
			return nil, errors.New("the talk has ended")
		}
		v.Dropped = map[string]int64{"seal": talk.Drops.Seal.Load(), "version": talk.Drops.Version.Load(),
			"replay": talk.Drops.Replay.Load(), "form": talk.Drops.Form.Load(), "full": talk.Drops.Full.Load()}
		v.Sent, v.Received = talk.Traffic.BytesOut.Load(), talk.Traffic.BytesIn.Load()
		return v, nil
	}
	commands["peers forget"] = func(_ context.Context, args json.RawMessage) (any, error) {
		var name string
		if err := json.Unmarshal(args, &name); err != nil {
			return nil, err
		}
		err := fmt.Errorf("no coordinator %q is known", name)
		talk.View(func(s *swim.Swim) {
			if state, known := s.State(name); known && state == swim.Dead {
				err = nil
			} else if known {
				err = fmt.Errorf("%q is %v; only one that is dead can be gone for good", name, state)
			}
		})
		if err != nil {
			return nil, err
		}
		talk.Forget(name)
		f := forgotten{Name: name}
		_, f.Member = kept.Status().Peers[name]
		return f, nil
	}
	return commands
}

func viewOf(s *swim.Swim, now time.Duration) peersView {
	verdict := s.Quorum()
	v := peersView{Verdict: verdict.Kind.String(), Here: verdict.Here, Known: verdict.Known, Majority: verdict.Majority,
		Refused: s.Rejection(), Health: s.Health(), Counts: s.Counts(), Self: s.Self()}
	ago := func(t time.Duration) float64 {
		if t == 0 {
			return -1
		}
		return math.Round((now-t).Seconds()*10) / 10
	}
	for _, m := range s.Members() {
		p := peerView{Name: m.Name, Addr: m.Addr, State: m.State.String(), Incarnation: m.Incarnation, SinceS: math.Round((now-m.Since).Seconds()*10) / 10,
			Suspectors: m.Suspectors, Phi: math.Round(math.Min(m.Phi, 99)*100) / 100, HeardS: ago(m.Heard), ReachedS: ago(m.Reached),
			RTTMS: float64(m.RTT.Microseconds()) / 1000, CutFrom: m.CutFrom, CutTo: m.CutTo}
		if m.State == swim.Alive && m.Partly {
			p.State = "partly"
		}
		v.Members = append(v.Members, p)
	}
	return v
}

// learnedView is what all coordinators have told of a data node.
type learnedView struct {
	Node      string  `json:"node"`
	Doubtful  bool    `json:"doubtful"`
	ColdS     float64 `json:"cold_s,omitempty"` // yet
	LatencyMS float64 `json:"latency_ms"`       // below 0 where not known
	Busy      float64 `json:"busy"`             // below 0 where not known
}

func learnedViews(all map[string]observations.View) (list []learnedView) {
	for _, id := range slices.Sorted(maps.Keys(all)) {
		v := all[id]
		l := learnedView{id, v.Suspect, math.Round(v.WarmingFor.Seconds()*10) / 10, -1, v.Utilization}
		if v.Latency >= 0 {
			l.LatencyMS = math.Round(v.Latency*1e4) / 10
		}
		list = append(list, l)
	}
	return list
}

type peersLearnedCmd struct {
	socketFlag
	JSON bool `name:"json" help:"For machines."`
}

// Run shows what is learned.
func (p peersLearnedCmd) Run() error {
	var list []learnedView
	if err := p.ask("learned", nil, &list); err != nil {
		return err
	}
	if p.JSON {
		return json.NewEncoder(os.Stdout).Encode(list)
	}
	t := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "data node\tdoubtful\tcold_s\tlatency_ms\tbusy")
	for _, l := range list {
		fmt.Fprintf(t, "%s\t%v\t%.1f\t%.1f\t%.2f\n", l.Node, l.Doubtful, l.ColdS, l.LatencyMS, l.Busy)
	}
	return t.Flush()
}

type peersCmd struct {
	Learned peersLearnedCmd `cmd:"" help:"Show what all coordinators have told of each data node."`
	Show    peersShowCmd    `cmd:"" default:"withargs" help:"Show who of the coordinators is there, and who reaches whom."`
	Forget  peersForgetCmd  `cmd:"" help:"Say that a dead coordinator is gone for good; it no longer counts for the majority."`
}

type socketFlag struct {
	Socket string `help:"The coordinator's admin socket; that of deploy/gullfall.toml by default."`
}

// path is the socket that the flag or our own file names.
func (f socketFlag) path() (string, error) {
	if f.Socket != "" {
		return f.Socket, nil
	}
	var name string
	if cfg, err := config.Load(os.Getenv); err == nil {
		name = cfg.Name
	}
	d, err := config.LoadDeploy(config.DeployFile, name)
	if err == nil && d.Admin.Socket == "" {
		err = errors.New("admin.socket in deploy/gullfall.toml is empty; set it, or give --socket")
	}
	return d.Admin.Socket, err
}

type peersShowCmd struct {
	socketFlag
	JSON  bool `name:"json" help:"For machines: one object, or one a line with --watch."`
	Watch bool `help:"Show it anew each second, until interrupted."`
}

// Run shows the view of one coordinator.
func (p peersShowCmd) Run() error {
	path, err := p.path()
	if err != nil {
		return err
	}
	for {
		ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(5*time.Second))
		var v peersView
		err := admin.Call(ctx, path, "peers", nil, &v)
		cancel()
		if err != nil {
			return err
		}
		if p.JSON {
			err = json.NewEncoder(os.Stdout).Encode(v)
		} else {
			err = v.table(os.Stdout)
		}
		if err != nil || !p.Watch {
			return err
		}
		time.Sleep(time.Second)
	}
}

// table prints the view, with who does not reach whom as a matrix where anybody does not.
func (v peersView) table(w io.Writer) error {
	fmt.Fprintf(w, "%s: %s, %d of %d here, majority %v, own times %d-fold\n", v.Self, v.Verdict, v.Here, v.Known, v.Majority, 1+v.Health)
	if v.Refused != "" {
		fmt.Fprintf(w, "refused: %s\n", v.Refused)
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "name\tstate\tinc\tsince_s\theard_s\trtt_ms\tphi\tsuspected by")
	cut := false
	for _, m := range v.Members {
		fmt.Fprintf(t, "%s\t%s\t%d\t%.1f\t%.1f\t%.1f\t%.2f\t%s\n", m.Name, m.State, m.Incarnation, m.SinceS, m.HeardS, m.RTTMS, m.Phi, strings.Join(m.Suspectors, " "))
		cut = cut || len(m.CutTo) > 0
	}
	if cut {
		// Rows and columns of those that have a cut only: the others reach all.
		fmt.Fprint(t, "\nfrom, to")
		var some []peerView
		for _, m := range v.Members {
			if len(m.CutTo)+len(m.CutFrom) > 0 {
				some = append(some, m)
				fmt.Fprint(t, "\t", m.Name)
			}
		}
		fmt.Fprintln(t)
		for _, from := range some {
			fmt.Fprint(t, from.Name)
			for _, to := range some {
				mark := "."
				if slices.Contains(from.CutTo, to.Name) {
					mark = "x"
				}
				fmt.Fprint(t, "\t", mark)
			}
			fmt.Fprintln(t)
		}
	}
	return t.Flush()
}

// forgotten is what comes of a forget.
type forgotten struct {
	Name   string
	Member bool // of the store, still
}

type peersForgetCmd struct {
	socketFlag
	Name string `arg:"" help:"The dead coordinator's name."`
}

// Run passes on the operator's word.
func (p peersForgetCmd) Run() error {
	path, err := p.path()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(5*time.Second))
	defer cancel()
	var f forgotten
	if err := admin.Call(ctx, path, "peers forget", p.Name, &f); err != nil {
		return err
	}
	fmt.Printf("%s is gone for good; the others hear of it within some periods\n", f.Name)
	if f.Member {
		fmt.Printf("it is still a member of the store; to take it out: gullfall store remove %s\n", f.Name)
	}
	return nil
}
