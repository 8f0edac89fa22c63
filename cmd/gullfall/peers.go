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
	Learned peersLearnedCmd `cmd:"" help:"Show what all coordinators have told of each data node."`
	Show    peersShowCmd    `cmd:"" default:"withargs" help:"Show who of the coordinators is there, and who reaches whom."`
	Forget  peersForgetCmd  `cmd:"" help:"Say that a dead coordinator is gone for good; it no longer counts for the majority."`
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

// peerView is one coordinator as another sees it.
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

// addPeerCommands adds the commands that show and change the coordinators' view of each other.
func addPeerCommands(commands map[string]admin.Command, peers *gossip.Gossip, members *store.Store) {
	commands["learned"] = view(func() ([]learnedView, error) { return learnedViews(peers.AllObservations()), nil })
	commands["peers"] = view(func() (v peersView, err error) {
		if !peers.View(func(s *swim.Swim) { v = viewOfPeers(s, peers.Since()) }) {
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
	commands["peers forget"] = command(func(_ context.Context, name string) (forgotten, error) {
		return forgetPeer(peers, members, name)
	})
}

// errGossipEnded is the answer to a question that comes in while the coordinator shuts down.
var errGossipEnded = errors.New("gossip with the other coordinators has ended")

// forgetPeer removes a dead coordinator from the view, so that it no longer counts for the majority. One that is not dead can't
// be forgotten: it would be back with its next packet.
func forgetPeer(peers *gossip.Gossip, members *store.Store, name string) (forgotten, error) {
	err := fmt.Errorf("no coordinator %q is known", name)
	peers.View(func(s *swim.Swim) {
		if state, known := s.State(name); known && state == swim.Dead {
			err = nil
		} else if known {
			err = fmt.Errorf("%q is %v; only one that is dead can be gone for good", name, state)
		}
	})
	if err != nil {
		return forgotten{}, err
	}
	peers.Forget(name)
	_, member := members.Status().Peers[name]
	return forgotten{Name: name, Member: member}, nil
}

// viewOfPeers is the view at a time on the gossip's own clock.
func viewOfPeers(s *swim.Swim, now time.Duration) peersView {
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

// maxPhiShown bounds the suspicion level that is printed; beyond it the figure says nothing more.
const maxPhiShown = 99

// tenths is a span in seconds, rounded to tenths for the reader.
func tenths(d time.Duration) float64 { return math.Round(d.Seconds()*10) / 10 }

type peersShowCmd struct {
	socketFlag
	JSON  bool `name:"json" help:"For machines: one object, or one a line with --watch."`
	Watch bool `help:"Show it anew each second, until interrupted."`
}

// Run shows the view of one coordinator.
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

// table prints the view, and below it who does not reach whom, where there is anybody.
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
	v.cutMatrix(t)
	return t.Flush()
}

// cutMatrix prints a row and a column for each coordinator that does not reach another, or is not reached; the others reach all.
func (v peersView) cutMatrix(t *tabwriter.Writer) {
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

// forgotten is what comes of a forget.
type forgotten struct {
	Name   string
	Member bool // of the store, still
}

type peersForgetCmd struct {
	socketFlag
	Name string `arg:"" help:"The dead coordinator's name."`
}

// Run tells all coordinators that one is gone for good.
func (p peersForgetCmd) Run() error {
	var f forgotten
	if err := p.call(viewTimeout, "peers forget", p.Name, &f); err != nil {
		return err
	}
	fmt.Printf("%s is gone for good; the others hear of it within some periods\n", f.Name)
	if f.Member {
		fmt.Printf("it is still a member of the store; to take it out: gullfall store remove %s\n", f.Name)
	}
	return nil
}
