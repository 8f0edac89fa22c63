// Package fleet runs gullfall processes for tests and measurements, together with their surroundings on loopback: simulated data nodes,
// a DNS-SD zone on two name servers, and a discovery service. Each process has its own configuration in a temporary folder that is
// removed with it. The package ends every process that it has started, and no other.
package fleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"

	"gullfall/internal/lab/datanode"
	"gullfall/internal/lab/discovery"
	"gullfall/internal/lab/load"
	"gullfall/internal/lab/nameserver"
)

// Options configure a Fleet.
type Options struct {
	Nodes       int
	Listed      int // number of the data nodes that are listed by discovery; the others are in the zone
	Cells       int
	Shards      int
	TTL         uint32
	Transfer    bool
	Notify      bool
	RecordsOnly bool          // the data nodes exist as records only; nothing listens at their addresses
	ServiceTime time.Duration // of a part at a data node
	Binary      string        // path of gullfall
	Seed        uint64

	Flight    bool   // the coordinator also serves Arrow Flight
	AllFlight bool   // all data nodes speak Flight
	Fill      int    // bytes added to each document
	MemoryMB  int    // memory limit of the program; 0 means 192
	Deploy    string // further lines of the [flight] table in deploy/gullfall.toml
}

// Fleet is one coordinator with its data nodes, name servers and discovery service.
type Fleet struct {
	Options
	Zone      *nameserver.Zone
	Servers   []*nameserver.Server
	Directory *discovery.Directory
	Nodes     []*datanode.Node
	Ledger    *datanode.Ledger
	Front     string // address on which the coordinator accepts queries
	Flight    string // address of its Arrow Flight server

	coord  *Coordinator
	random *rand.Rand

	stopped bool
}

// nodePrefix precedes the number in the id of a data node.
const nodePrefix = "tabuleiro-"

// Domain is the domain of the DNS-SD zone.
const Domain = "recife-centro.example."

// Classes are the query classes of Settings.
var Classes = []load.Class{{Name: "lookup", Parts: 1, Share: 0.7, Deadline: time.Second}, {Name: "report", Parts: 8, Share: 0.3, Deadline: 2 * time.Second}}

// Start starts a fleet. The caller stops it if it is not nil, also after an error.
func Start(ctx context.Context, o Options) (f *Fleet, err error) {
	f = &Fleet{Options: o, Ledger: datanode.NewLedger(), random: rand.New(rand.NewPCG(o.Seed, 2))}
	if f.Directory, err = discovery.Start(); err != nil {
		return f, err
	}
	f.Zone = nameserver.NewZone(Domain, o.TTL)
	if err := f.startServers(); err != nil {
		return f, err
	}
	var instances []nameserver.Instance
	for i := range o.Nodes {
		n := &datanode.Node{ID: nodePrefix + strconv.Itoa(i), Cell: i % o.Cells, Proto: "frames", Ledger: f.Ledger, Takes: o.ServiceTime}
		if n.Fill = o.Fill; i%4 == 3 && i >= o.Listed || o.AllFlight {
			n.Proto = "flight"
		}
		f.Nodes = append(f.Nodes, n)
		if !o.RecordsOnly {
			if err := n.Start(); err != nil {
				return f, err
			}
		}
		if i < o.Listed {
			f.Directory.Set(Entry(n, "SERVING"))
		} else {
			instances = append(instances, f.Instance(n, ""))
		}
	}
	f.Zone.Set(instances...)
	return f, f.startCoordinator(ctx)
}

// startServers starts the DNS zone's two name servers. They allow zone transfers only if Options.Transfer is set.
func (f *Fleet) startServers() error {
	for range 2 {
		s, err := nameserver.Start(f.Zone, nil)
		if err != nil {
			return err
		}
		f.Servers = append(f.Servers, s)
		if f.Transfer {
			continue
		}
		if err := s.Do("transfer off"); err != nil {
			return err
		}
	}
	return nil
}

// Entry returns the discovery entry of a data node.
func Entry(n *datanode.Node, state string) discovery.Entry {
	return discovery.Entry{ID: n.ID, Addr: n.Addr(), Zone: "a", Cell: n.Cell, State: state, Weight: 1, Started: n.Started.UnixMilli()}
}

// Instance returns the DNS-SD instance of a data node. A state that is not empty goes into its TXT record.
func (f *Fleet) Instance(n *datanode.Node, state string) nameserver.Instance {
	i := nameserver.Instance{Label: strings.ReplaceAll(n.ID, "-", " "), Service: "_dn._tcp", Weight: 100,
		Text: []string{"id=" + n.ID, "cell=" + strconv.Itoa(n.Cell), "zone=a", "proto=" + n.Proto}}
	if state != "" {
		i.Text = append(i.Text, "state="+state)
	}
	if f.RecordsOnly {
		number, _ := strconv.Atoi(strings.TrimPrefix(n.ID, nodePrefix)) // Start gave the ids numbers
		i.Addr = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 9, byte(number >> 8), byte(number)}), 7000)
		return i
	}
	i.Addr = netip.MustParseAddrPort(n.Addr())
	i.Text = append(i.Text, "started_ms="+strconv.FormatInt(n.Started.UnixMilli(), 10))
	return i
}

// Random returns the fleet's random source, seeded from Options.Seed.
func (f *Fleet) Random() *rand.Rand { return f.random }

// freeAddr returns an unused loopback address, or an empty string if none can be opened.
func freeAddr(network string) string {
	if network == "udp" {
		pc, err := net.ListenPacket("udp", "127.0.0.1:0")
		if err != nil {
			return ""
		}
		defer pc.Close()
		return pc.LocalAddr().String()
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return ""
	}
	defer ln.Close()
	return ln.Addr().String()
}

// startCoordinator writes the configuration, starts the program and waits until it accepts connections.
func (f *Fleet) startCoordinator(ctx context.Context) error {
	f.Front = freeAddr("tcp")
	notify := ""
	if f.Notify {
		notify = freeAddr("udp")
		f.Zone.Notify(notify, nil)
	}
	flightTable := ""
	if f.Options.Flight {
		f.Flight = freeAddr("tcp")
		flightTable = fmt.Sprintf("[flight]\nlisten = %q\n%s", f.Flight, f.Deploy)
	}
	if f.MemoryMB == 0 {
		f.MemoryMB = 192
	}
	deploy := flightTable + fmt.Sprintf("[dnssd]\nnotify = %q\nallow = [\"127.0.0.0/8\"]\n[[dnssd.zone]]\ndomain = %q\nservers = [%q, %q]\ntransfer = %v\n",
		notify, Domain, f.Servers[0].Addr(), f.Servers[1].Addr(), f.Transfer)
	settings := Settings(f.Cells, f.Shards, 1)
	config := Config("n0", f.Front, f.Directory.Addr(), f.Seed+1, f.MemoryMB, settings)
	var err error
	f.coord, err = Spawn(ctx, f.Binary, f.Front, map[string]string{"deploy/gullfall.toml": deploy, "config.json": config})
	return err
}

// Settings returns the settings document of the lab's coordinators: two classes and the given numbers of cells, of
// shards (each held by two cells) and of coordinators (balancers) that share the fleet.
func Settings(cells, shards, balancers int) string {
	return fmt.Sprintf(`{"TickS":0.005,"Az":"a","Balancers":%d,"Discovery":"automatic",
  "Classes":[{"Name":"lookup","Effect":"safe","AimS":0.5,"HardLimitS":1,"Gain":1},
             {"Name":"report","Effect":"safe","AimS":1,"HardLimitS":2,"Gain":3}],
  "FamilyInfo":{"Sets":%d,"Slabs":%d,"Width":2,"BundleMax":8,"ClassNeed":[1,1],"FloorByClass":[1,0.75],"PartialEarns":[0,0.5]},
  "Rules":{"DrainGraceS":2,"FallMultiple":2,"TipAfterS":1,"StartCapacity":0.3,"WarmAfterS":5},
  "Limits":{"Cancel":true,"SendCap":3,"ConnectTimeoutS":0.25,"ConnIdleS":30,"StreamsPerConn":32,"RetryAfter":true,"MaxRetryAfterS":2}}`,
		balancers, cells, shards)
}

// Config returns config.json, the platform's configuration of one coordinator.
func Config(name, front, discovery string, seed uint64, memoryMB int, settings string) string {
	return fmt.Sprintf("{ // written by gullfall-lab\n \"name\":%q,\"listen\":%q,\"discovery\":%q,\"seed\":\"%x\",\n \"limits\":{\"cores\":1.0,\"memory_mb\":%d,\"sockets\":1024},\n \"settings\":%s}\n",
		name, front, discovery, seed, memoryMB, settings)
}

// FreeAddr returns an unused loopback address of the network "tcp" or "udp".
func FreeAddr(network string) string { return freeAddr(network) }

// Log returns the last bytes of the program's log.
func (f *Fleet) Log(bytes int) string { return f.coord.Log(bytes) }

// Logged returns the number of log lines that contain a text.
func (f *Fleet) Logged(text string) int { return f.coord.Logged(text) }

// Listed returns the number of data nodes that the program has logged as listed.
func (f *Fleet) Listed() int { return f.coord.Listed() }

// Pid returns the process id of the program.
func (f *Fleet) Pid() int { return f.coord.Pid() }

// CPU returns the CPU time that the program has used; 0 once it has exited.
func (f *Fleet) CPU() time.Duration {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", f.coord.Pid()))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(raw), ") ")
	fields := strings.Fields(rest)
	if len(fields) < 13 {
		return 0
	}
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	return time.Duration(user+system) * 10 * time.Millisecond // utime and stime are in clock ticks of 1/100 s
}

// statusMB returns a memory field of /proc/PID/status in MB; 0 once the program has exited.
func (f *Fleet) statusMB(name string) float64 {
	raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", f.coord.Pid()))
	for line := range strings.Lines(string(raw)) {
		if rest, ok := strings.CutPrefix(line, name+":"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return float64(kb) / 1024
		}
	}
	return 0
}

// Memory returns the resident memory of the program in MB.
func (f *Fleet) Memory() int { return int(f.statusMB("VmRSS")) }

// Peak returns the peak resident memory of the program so far, in MB.
func (f *Fleet) Peak() int { return int(f.statusMB("VmHWM")) }

// Anonymous returns the anonymous resident memory of the program in MB, which excludes the pages of its binary.
func (f *Fleet) Anonymous() float64 { return f.statusMB("RssAnon") }

// Questions returns the number of DNS questions that the name servers were asked.
func (f *Fleet) Questions() (n int) {
	for _, s := range f.Servers {
		n += s.Asked(0)
	}
	return n
}

// Stop ends the program with SIGTERM, then everything else. Further calls do nothing. The error is that of Coordinator.Stop.
func (f *Fleet) Stop() (err error) {
	if f.stopped {
		return nil
	}
	f.stopped = true
	if f.coord != nil {
		err = f.coord.Stop()
	}
	for _, n := range f.Nodes {
		n.Kill()
	}
	for _, s := range f.Servers {
		s.Close()
	}
	if f.Directory != nil {
		f.Directory.Close()
	}
	return err
}
