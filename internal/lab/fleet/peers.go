package fleet

// Here are several coordinators of the real program that watch each other, each pair behind a way of the fault proxy
// in each direction, and the views that they tell at their admin sockets. It must never end a process that it has not
// started, and gives all back in Stop.

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

// PeersOptions say what is started.
type PeersOptions struct {
	Coordinators          int
	Period, Timeout, Bear time.Duration
	Binary                string
	Seed                  uint64
}

// PeerView is what one coordinator tells of another.
type PeerView struct {
	Name        string
	State       string
	Incarnation uint64
	CutTo       []string `json:"does_not_reach"`
}

// View is what a coordinator tells of the fleet.
type View struct {
	Verdict   string
	Here      int
	Known     int
	Majority  bool
	Refused   string
	Members   []PeerView
	BytesSent int64 `json:"bytes_sent"`
}

// State is what the view holds of a coordinator; empty for nothing.
func (v View) State(name string) string {
	for _, m := range v.Members {
		if m.Name == name {
			return m.State
		}
	}
	return ""
}

// Peers are coordinators that watch each other.
type Peers struct {
	o       PeersOptions
	dir     *discovery.Directory
	sockets string
	Coords  []*Coordinator
	addrs   []string
	ways    [][]*proxy.Way // from, to; nil on the diagonal
	down    []bool
	stalled []bool
}

// PeerName is a coordinator's name.
func PeerName(i int) string { return fmt.Sprintf("n%d", i) }

// StartPeers starts them. The caller stops them, also after an error if Peers is not nil.
func StartPeers(ctx context.Context, o PeersOptions) (p *Peers, err error) {
	p = &Peers{o: o}
	if p.dir, err = discovery.Start(); err != nil {
		return p, err
	}
	if p.sockets, err = os.MkdirTemp("", "gullfall-peers-"); err != nil {
		return p, err
	}
	n := o.Coordinators
	p.Coords, p.down, p.stalled = make([]*Coordinator, n), make([]bool, n), make([]bool, n)
	for i := range n {
		// On addresses of their own, so that no listener of the ways takes a port before its coordinator does.
		ln, err := net.Listen("tcp", fmt.Sprintf("127.0.7.%d:0", 1+i%250))
		if err != nil {
			return p, err
		}
		p.addrs = append(p.addrs, ln.Addr().String())
		ln.Close()
	}
	for i := range n {
		p.ways = append(p.ways, make([]*proxy.Way, n))
		for j := range n {
			if i == j {
				continue
			}
			if p.ways[i][j], err = proxy.StartWay(p.addrs[j], o.Seed*1_000_003+uint64(i*n+j)); err != nil {
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

// Start starts one coordinator, anew after Kill.
func (p *Peers) Start(ctx context.Context, i int) (err error) {
	p.Coords[i], err = p.spawn(ctx, i, p.addrs[i], p.socket(i))
	p.down[i], p.stalled[i] = false, false
	return err
}

// StartTwin starts a second process under a coordinator's name, at an address of its own. The caller stops it.
func (p *Peers) StartTwin(ctx context.Context, i int) (*Coordinator, error) {
	return p.spawn(ctx, i, Free("tcp"), p.socket(i)+"-twin")
}

func (p *Peers) spawn(ctx context.Context, i int, addr, socket string) (*Coordinator, error) {
	front := Free("tcp")
	text := fmt.Sprintf("[log]\nlevel = \"info\"\n[admin]\nsocket = %q\n[peers]\nlisten = %q\nfleet = \"lab\"\nseeds = [%q, %q]\nperiod = %q\ntimeout = %q\nbear = %q\n[[peers.key]]\nid = 1\nsecret = %q\n",
		socket, addr, p.addrs[0], p.addrs[len(p.addrs)-1], p.o.Period, p.o.Timeout, p.o.Bear, base64.StdEncoding.EncodeToString([]byte("a secret of the lab's own")))
	for j, w := range p.ways[i] {
		if w != nil {
			text += fmt.Sprintf("[[peers.route]]\naddr = %q\nvia = %q\n", p.addrs[j], w.Addr())
		}
	}
	config := Config(PeerName(i), front, p.dir.Addr(), p.o.Seed*1000+uint64(i)+1, 64, Settings(4, 8, p.o.Coordinators))
	return Spawn(ctx, p.o.Binary, front, map[string]string{"config.json": config, "deploy/gullfall.toml": text})
}

func (p *Peers) socket(i int) string { return filepath.Join(p.sockets, PeerName(i)) }

// View asks a coordinator.
func (p *Peers) View(ctx context.Context, i int) (v View, err error) {
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(3*time.Second))
	defer cancel()
	return v, admin.Call(ctx, p.socket(i), "peers", nil, &v)
}

// Way is the way from one coordinator to another.
func (p *Peers) Way(from, to int) *proxy.Way { return p.ways[from][to] }

// Set changes what befalls the packets of every way.
func (p *Peers) Set(l proxy.Loss) (err error) {
	for _, row := range p.ways {
		for _, w := range row {
			if w != nil {
				err = errors.Join(err, w.Set(l))
			}
		}
	}
	return err
}

// Cut cuts the way from one to another; a connection needs both ways.
func (p *Peers) Cut(from, to int) error {
	return errors.Join(p.ways[from][to].Set(proxy.Loss{Cut: true}), p.ways[to][from].Stream(proxy.DropDown))
}

// Mend undoes Cut.
func (p *Peers) Mend(from, to int) error {
	return errors.Join(p.ways[from][to].Set(proxy.Loss{}), p.ways[to][from].Stream(proxy.Pass))
}

// Stall stops a coordinator by SIGSTOP until Resume.
func (p *Peers) Stall(i int) error {
	p.stalled[i] = true
	return syscall.Kill(p.Coords[i].Pid(), syscall.SIGSTOP)
}

// Resume lets a stalled coordinator go on.
func (p *Peers) Resume(i int) error {
	p.stalled[i] = false
	return syscall.Kill(p.Coords[i].Pid(), syscall.SIGCONT)
}

// Kill ends a coordinator by SIGKILL.
func (p *Peers) Kill(i int) error {
	p.down[i] = true
	return p.Coords[i].Kill()
}

// Up tells whether a coordinator runs and is not stalled.
func (p *Peers) Up(i int) bool { return !p.down[i] && !p.stalled[i] }

// Agreed tells whether every coordinator that runs holds those for alive that run, those for dead that were killed, and
// reports no cut.
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
				return false, fmt.Sprintf("%s holds %s for %q", PeerName(i), PeerName(j), s)
			}
		}
	}
	return true, ""
}

// Until waits until all views are equal and true, and returns how long that took.
func (p *Peers) Until(ctx context.Context, end time.Time) (time.Duration, error) {
	from := time.Now()
	for {
		ok, why := p.Agreed(ctx)
		if ok {
			return time.Since(from), nil
		}
		if !time.Now().Before(end) || ctx.Err() != nil {
			return time.Since(from), fmt.Errorf("views differ after %v: %s", time.Since(from).Round(time.Millisecond), why)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// Died counts the log lines by which running coordinators took another for dead.
func (p *Peers) Died(name string) (n int) {
	for _, c := range p.Coords {
		if c != nil {
			n += c.Logged(`msg="coordinator dead" name=` + name + " ")
		}
	}
	return n
}

// Stop ends what was started.
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
	for _, row := range p.ways {
		for _, w := range row {
			if w != nil {
				w.Close()
			}
		}
	}
	if p.dir != nil {
		p.dir.Close()
	}
	return errors.Join(err, os.RemoveAll(p.sockets))
}
