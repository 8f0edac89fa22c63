package fleet

// This file runs several gullfall processes that monitor each other, with a fault proxy in each direction between every two of them,
// and reads their views of the fleet at their admin sockets. It ends only processes that it has started; Stop releases everything.

import (
	"context"
	"encoding/base64"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"gullfall/internal/admin"
	"gullfall/internal/lab/discovery"
	"gullfall/internal/lab/proxy"
)

// PeersOptions configure Peers.
type PeersOptions struct {
	Coordinators          int
	Period, Timeout, Bear time.Duration
	Binary                string
	Seed                  uint64
}

// PeerView is one coordinator's report on another.
type PeerView struct {
	Name        string
	State       string
	Incarnation uint64
	Unreachable []string `json:"does_not_reach"`
}

// View is a coordinator's view of the fleet.
type View struct {
	Verdict   string
	Here      int
	Known     int
	Majority  bool
	Refused   string
	Members   []PeerView
	BytesSent int64 `json:"bytes_sent"`
}

// State returns the state of a coordinator in the view; empty if the view doesn't have it.
func (v View) State(name string) string {
	for _, m := range v.Members {
		if m.Name == name {
			return m.State
		}
	}
	return ""
}

// Peers is a group of coordinators that monitor each other.
type Peers struct {
	o         PeersOptions
	directory *discovery.Directory
	socketDir string
	Coords    []*Coordinator
	addrs     []string
	links     [][]*proxy.Way // by sender, then receiver; nil on the diagonal
	down      []bool
	stalled   []bool
}

// PeerName returns the name of coordinator i.
func PeerName(i int) string { return fmt.Sprintf("n%d", i) }

// StartPeers starts the coordinators. The caller stops them if p is not nil, also after an error.
func StartPeers(ctx context.Context, o PeersOptions) (p *Peers, err error) {
	p = &Peers{o: o}
	if p.directory, err = discovery.Start(); err != nil {
		return p, err
	}
	if p.socketDir, err = os.MkdirTemp("", "gullfall-peers-"); err != nil {
		return p, err
	}
	n := o.Coordinators
	p.Coords, p.down, p.stalled = make([]*Coordinator, n), make([]bool, n), make([]bool, n)
	for i := range n {
		// Each coordinator has its own loopback address, so that no proxy's listener can take its port before it starts.
		ln, err := net.Listen("tcp", fmt.Sprintf("127.0.7.%d:0", 1+i%250))
		if err != nil {
			return p, err
		}
		p.addrs = append(p.addrs, ln.Addr().String())
		ln.Close()
	}
	for i := range n {
		p.links = append(p.links, make([]*proxy.Way, n))
		for j := range n {
			if i == j {
				continue
			}
			if p.links[i][j], err = proxy.StartWay(p.addrs[j], o.Seed*1_000_003+uint64(i*n+j)); err != nil {
				return p, err
			}
		}
	}
	for i := range n {
		if err := p.Start(ctx, i); err != nil {
			return p, err
		}
	}
	return p, nil
}

// Start starts one coordinator, or restarts it after Kill.
func (p *Peers) Start(ctx context.Context, i int) (err error) {
	p.Coords[i], err = p.spawn(ctx, i, p.addrs[i], p.socket(i))
	p.down[i], p.stalled[i] = false, false
	return err
}

// StartDuplicate starts a second process under a coordinator's name, at another address. The caller stops it.
func (p *Peers) StartDuplicate(ctx context.Context, i int) (*Coordinator, error) {
	return p.spawn(ctx, i, FreeAddr("tcp"), p.socket(i)+"-twin")
}

func (p *Peers) spawn(ctx context.Context, i int, addr, socket string) (*Coordinator, error) {
	front := FreeAddr("tcp")
	text := fmt.Sprintf("[log]\nlevel = \"info\"\n[admin]\nsocket = %q\n[peers]\nlisten = %q\nfleet = \"lab\"\nseeds = [%q, %q]\nperiod = %q\ntimeout = %q\nbear = %q\n[[peers.key]]\nid = 1\nsecret = %q\n",
		socket, addr, p.addrs[0], p.addrs[len(p.addrs)-1], p.o.Period, p.o.Timeout, p.o.Bear, base64.StdEncoding.EncodeToString([]byte("a secret of the lab's own")))
	for j, w := range p.links[i] {
		if w != nil {
			text += fmt.Sprintf("[[peers.route]]\naddr = %q\nvia = %q\n", p.addrs[j], w.Addr())
		}
	}
	config := Config(PeerName(i), front, p.directory.Addr(), p.o.Seed*1000+uint64(i)+1, 64, Settings(4, 8, p.o.Coordinators))
	return Spawn(ctx, p.o.Binary, front, map[string]string{"config.json": config, "deploy/gullfall.toml": text})
}

func (p *Peers) socket(i int) string { return filepath.Join(p.socketDir, PeerName(i)) }

// View returns a coordinator's view of the fleet.
func (p *Peers) View(ctx context.Context, i int) (v View, err error) {
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(3*time.Second))
	defer cancel()
	return v, admin.Call(ctx, p.socket(i), "peers", nil, &v)
}

// Link returns the proxy from one coordinator to another.
func (p *Peers) Link(from, to int) *proxy.Way { return p.links[from][to] }

// Set sets the packet loss between all coordinators.
func (p *Peers) Set(l proxy.Loss) (err error) {
	for _, row := range p.links {
		for _, w := range row {
			if w != nil {
				err = errors.Join(err, w.Set(l))
			}
		}
	}
	return err
}

// Cut drops the packets and the connection data that one coordinator sends to another, including data in connections that the receiver
// opened, which pass the proxy of the other direction.
func (p *Peers) Cut(from, to int) error {
	return errors.Join(p.links[from][to].Set(proxy.Loss{Cut: true}), p.links[to][from].Stream(proxy.DropDown))
}

// Restore ends the effect of Cut.
func (p *Peers) Restore(from, to int) error {
	return errors.Join(p.links[from][to].Set(proxy.Loss{}), p.links[to][from].Stream(proxy.Pass))
}

// Stall stops a coordinator with SIGSTOP until Resume.
func (p *Peers) Stall(i int) error {
	p.stalled[i] = true
	return syscall.Kill(p.Coords[i].Pid(), syscall.SIGSTOP)
}

// Resume continues a stalled coordinator.
func (p *Peers) Resume(i int) error {
	p.stalled[i] = false
	return syscall.Kill(p.Coords[i].Pid(), syscall.SIGCONT)
}

// Kill ends a coordinator with SIGKILL.
func (p *Peers) Kill(i int) error {
	p.down[i] = true
	return p.Coords[i].Kill()
}

// Up reports whether a coordinator runs and is not stalled.
func (p *Peers) Up(i int) bool { return !p.down[i] && !p.stalled[i] }

// Agreed reports whether all running coordinators see the running ones as alive, without unreachable peers, and the killed ones as
// dead or left. Otherwise the text describes the first difference.
func (p *Peers) Agreed(ctx context.Context) (bool, string) {
	for i := range p.Coords {
		if !p.Up(i) {
			continue
		}
		v, err := p.View(ctx, i)
		if err != nil {
			return false, err.Error()
		}
		for j := range p.Coords {
			s := v.State(PeerName(j))
			if p.Up(j) && s != "alive" || p.down[j] && s != "dead" && s != "left" {
				return false, fmt.Sprintf("%s sees %s as %q", PeerName(i), PeerName(j), s)
			}
		}
	}
	return true, ""
}

// Until waits until the views agree with the facts (see Agreed), or until end, and returns how long that took.
func (p *Peers) Until(ctx context.Context, end time.Time) (time.Duration, error) {
	begun := time.Now()
	for {
		ok, why := p.Agreed(ctx)
		if ok {
			return time.Since(begun), nil
		}
		if !time.Now().Before(end) || ctx.Err() != nil {
			return time.Since(begun), fmt.Errorf("views differ after %v: %s", time.Since(begun).Round(time.Millisecond), why)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// DeathsLogged returns the number of log lines in which coordinators declared the named one dead.
func (p *Peers) DeathsLogged(name string) (n int) {
	for _, c := range p.Coords {
		if c != nil {
			n += c.Logged(`msg="coordinator dead" name=` + name + " ")
		}
	}
	return n
}

// Stop ends all processes and proxies and removes their files.
func (p *Peers) Stop() (err error) {
	for i, c := range p.Coords {
		if c == nil {
			continue
		}
		if p.down[i] {
			err = errors.Join(err, c.Discard())
			continue
		}
		err = errors.Join(err, c.Stop())
	}
	for _, row := range p.links {
		for _, w := range row {
			if w != nil {
				w.Close()
			}
		}
	}
	if p.directory != nil {
		p.directory.Close()
	}
	return errors.Join(err, os.RemoveAll(p.socketDir))
}
