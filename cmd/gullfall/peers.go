package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"gullfall/internal/admin"
	"gullfall/internal/gossip"
	"gullfall/internal/store"
	"gullfall/internal/swim"
)

type peersCmd struct {
	Learned peersLearnedCmd `cmd:"" help:"Show the observations of each data node that the coordinators share."`
	Show    peersShowCmd    `cmd:"" default:"withargs" help:"Show the state of the coordinators and which ones reach each other."`
	Forget  peersForgetCmd  `cmd:"" help:"Remove a dead coordinator for good; it no longer counts for the majority."`
}

// peersView is the output of `gullfall peers`: one coordinator's view of all coordinators.
type peersView struct {
	Self     string     `json:"self"`
	Verdict  string     `json:"verdict"` // connected, split or alone
	Here     int        `json:"here"`
	Known    int        `json:"known"`
	Majority bool       `json:"majority"`
	Refused  string     `json:"refused,omitempty"`
	Health   int        `json:"health"` // 0 if healthy; n if this coordinator's timeouts are multiplied by 1+n
	Members  []peerView `json:"members"`
	Counts   swim.Counts
	Dropped  map[string]int64 `json:"dropped"`
	Sent     int64            `json:"bytes_sent"`
	Received int64            `json:"bytes_received"`
}

// peerView is one coordinator as seen by another.
type peerView struct {
	Name        string   `json:"name"`
	Addr        string   `json:"addr"`
	State       string   `json:"state"` // alive, partly (reachable), suspect, dead or left
	Incarnation uint64   `json:"incarnation"`
	SinceS      float64  `json:"since_s"`
	Suspectors  []string `json:"suspected_by,omitempty"`
	Phi         float64  `json:"phi"`
	HeardS      float64  `json:"heard_s"`   // since its last packet; negative if never
	ReachedS    float64  `json:"reached_s"` // since its last direct ack; negative if never
	RTTMS       float64  `json:"rtt_ms"`
	CutFrom     []string `json:"not_reached_by,omitempty"`
	CutTo       []string `json:"does_not_reach,omitempty"`
}

// addPeerCommands adds the commands that show the coordinators and their observations, and that remove a dead coordinator.
func addPeerCommands(commands map[string]admin.Command, peers *gossip.Gossip, sharedStore *store.Store) {
	commands["learned"] = view(func() ([]learnedView, error) { return learnedViews(peers.AllObservations()), nil })
	commands["peers"] = view(func() (v peersView, err error) {
		if !peers.View(func(s *swim.Swim) { v = newPeersView(s, peers.Since()) }) {
			return v, errGossipEnded
		}
		v.Dropped = map[string]int64{
			"seal":    peers.Drops.Seal.Load(),
			"version": peers.Drops.Version.Load(),
			"replay":  peers.Drops.Replay.Load(),
			"form":    peers.Drops.Form.Load(),
			"full":    peers.Drops.Full.Load(),
		}
		v.Sent, v.Received = peers.Traffic.BytesOut.Load(), peers.Traffic.BytesIn.Load()
		return v, nil
	})
	commands["peers forget"] = command(func(_ context.Context, name string) (forgetResult, error) {
		return forgetPeer(peers, sharedStore, name)
	})
}

// errGossipEnded is returned for a command during shutdown, after gossip has stopped.
var errGossipEnded = errors.New("gossip with the other coordinators has ended")

// forgetPeer removes a dead coordinator from the view, so that it no longer counts for the majority. Other coordinators can't
// be removed, as their next packets would add them again.
func forgetPeer(peers *gossip.Gossip, sharedStore *store.Store, name string) (forgetResult, error) {
	err := fmt.Errorf("no coordinator %q is known", name)
	peers.View(func(s *swim.Swim) {
		if state, known := s.State(name); known && state == swim.Dead {
			err = nil
		} else if known {
			err = fmt.Errorf("%q is %v; only one that is dead can be gone for good", name, state)
		}
	})
	if err != nil {
		return forgetResult{}, err
	}
	peers.Forget(name)
	_, member := sharedStore.Status().Peers[name]
	return forgetResult{Name: name, Member: member}, nil
}

// newPeersView returns the view at time now, which is measured by the gossip clock.
func newPeersView(s *swim.Swim, now time.Duration) peersView {
	quorum := s.Quorum()
	v := peersView{Verdict: quorum.Kind.String(), Here: quorum.Connected, Known: quorum.Total, Majority: quorum.Majority,
		Refused: s.Rejection(), Health: s.Health(), Counts: s.Counts(), Self: s.Self()}
	ago := func(t time.Duration) float64 {
		if t == 0 {
			return -1
		}
		return tenths(now - t)
	}
	for _, m := range s.Members() {
		p := peerView{Name: m.Name, Addr: m.Addr, State: m.State.String(), Incarnation: m.Incarnation, SinceS: tenths(now - m.Since),
			Suspectors: m.Suspectors, Phi: math.Round(math.Min(m.Phi, maxPhiShown)*100) / 100, HeardS: ago(m.Heard), ReachedS: ago(m.Reached),
			RTTMS: float64(m.RTT.Microseconds()) / 1000, CutFrom: m.CutFrom, CutTo: m.CutTo}
		if m.State == swim.Alive && m.PartiallyReachable {
			p.State = "partly"
		}
		v.Members = append(v.Members, p)
	}
	return v
}

// maxPhiShown is the highest suspicion level that is printed; higher values carry no further information.
const maxPhiShown = 99

// tenths returns d in seconds, rounded to tenths.
func tenths(d time.Duration) float64 { return math.Round(d.Seconds()*10) / 10 }

type peersShowCmd struct {
	socketFlag
	JSON  bool `name:"json" help:"Print JSON, with --watch one object per line."`
	Watch bool `help:"Print it every second until interrupted."`
}

// Run prints the view of one coordinator.
func (p peersShowCmd) Run() error {
	return repeat(p.Watch, func() error {
		var v peersView
		if err := p.call(viewTimeout, "peers", nil, &v); err != nil {
			return err
		}
		if p.JSON {
			return printJSON(v)
		}
		return v.table(os.Stdout)
	})
}

// table prints the view, followed by the coordinators that do not reach each other, if any.
func (v peersView) table(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "%s: %s, %d of %d here, majority %v, own times %d-fold\n", v.Self, v.Verdict, v.Here, v.Known, v.Majority, 1+v.Health)
	if v.Refused != "" {
		fmt.Fprintf(t, "refused: %s\n", v.Refused)
	}
	fmt.Fprintln(t, "name\tstate\tinc\tsince_s\theard_s\trtt_ms\tphi\tsuspected by")
	for _, m := range v.Members {
		fmt.Fprintf(t, "%s\t%s\t%d\t%.1f\t%.1f\t%.1f\t%.2f\t%s\n", m.Name, m.State, m.Incarnation, m.SinceS, m.HeardS, m.RTTMS, m.Phi,
			strings.Join(m.Suspectors, " "))
	}
	v.unreachableMatrix(t)
	return t.Flush()
}

// unreachableMatrix prints a matrix of the coordinators that do not reach another one or are not reached by one. The rest reach all others.
func (v peersView) unreachableMatrix(t *tabwriter.Writer) {
	if !slices.ContainsFunc(v.Members, func(m peerView) bool { return len(m.CutTo) > 0 }) {
		return
	}
	fmt.Fprint(t, "\nfrom, to")
	var affected []peerView
	for _, m := range v.Members {
		if len(m.CutTo)+len(m.CutFrom) > 0 {
			affected = append(affected, m)
			fmt.Fprint(t, "\t", m.Name)
		}
	}
	fmt.Fprintln(t)
	for _, from := range affected {
		fmt.Fprint(t, from.Name)
		for _, to := range affected {
			mark := "."
			if slices.Contains(from.CutTo, to.Name) {
				mark = "x"
			}
			fmt.Fprint(t, "\t", mark)
		}
		fmt.Fprintln(t)
	}
}

// forgetResult is the result of removing a coordinator.
type forgetResult struct {
	Name   string
	Member bool // whether it is still a member of the store
}

type peersForgetCmd struct {
	socketFlag
	Name string `arg:"" help:"The dead coordinator's name."`
}

// Run removes a dead coordinator at all coordinators.
func (p peersForgetCmd) Run() error {
	var f forgetResult
	if err := p.call(viewTimeout, "peers forget", p.Name, &f); err != nil {
		return err
	}
	fmt.Printf("%s is gone for good; the others hear of it within some periods\n", f.Name)
	if f.Member {
		fmt.Printf("it is still a member of the store; to take it out: gullfall store remove %s\n", f.Name)
	}
	return nil
}
