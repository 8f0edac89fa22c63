// Package fleet starts what a measurement needs round the real program: stand-in data nodes, a zone on two servers, a
// directory, and bin/gullfall itself with a configuration of its own. All of it is on loopback, in a folder that goes
// with it. It must never leave a process behind, nor end one that it has not started.
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

// Options say what is started.
type Options struct {
	Nodes    int
	Listed   int // of them, those that discovery names and the zone does not
	Cells    int
	Shards   int
	TTL      uint32
	Transfer bool
	Notify   bool
	Hollow   bool // the data nodes are records only; nothing listens there
	Takes    time.Duration
	Binary   string // of gullfall
	Seed     uint64

	Flight    bool   // the second front is on
	AllFlight bool   // all data nodes speak Flight
	Fill      int    // bytes by which documents are longer
	MemoryMB  int    // that the program may use; 0 for 192
	Deploy    string // further lines of deploy/gullfall.toml
}

// Fleet is what was started.
type Fleet struct {
	Options
	Zone      *nameserver.Zone
	Servers   []*nameserver.Server
	Directory *discovery.Directory
	Nodes     []*datanode.Node
	Ledger    *datanode.Ledger
	Front     string // where the coordinator listens
	Flight    string // and for Flight clients

	coord  *Coordinator
	chance *rand.Rand

	stopped bool
}

// nodePrefix stands before the number in a data node's name.
const nodePrefix = "tabuleiro-"

// Domain is the zone's.
const Domain = "recife-centro.example."

// Classes are those of the configuration that a Fleet writes.
var Classes = []load.Class{{Name: "lookup", Parts: 1, Share: 0.7, Deadline: time.Second}, {Name: "report", Parts: 8, Share: 0.3, Deadline: 2 * time.Second}}

// Start starts a fleet. The caller stops it, also after an error if it is not nil.
func Start(ctx context.Context, o Options) (f *Fleet, err error) {
	f = &Fleet{Options: o, Ledger: datanode.NewLedger(), chance: rand.New(rand.NewPCG(o.Seed, 2))}
	if f.Directory, err = discovery.Start(); err != nil {
		return f, err
	}
	f.Zone = nameserver.NewZone(Domain, o.TTL)
	if err := f.startServers(); err != nil {
		return f, err
	}
	var instances []nameserver.Instance
	for i := range o.Nodes {
		n := &datanode.Node{ID: nodePrefix + strconv.Itoa(i), Cell: i % o.Cells, Proto: "frames", Ledger: f.Ledger, Takes: o.Takes}
		if n.Fill = o.Fill; i%4 == 3 && i >= o.Listed || o.AllFlight {
			n.Proto = "flight"
		}
		f.Nodes = append(f.Nodes, n)
		if !o.Hollow {
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
	return f, f.run(ctx)
}

// startServers starts two name servers for the zone.
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

// Entry is what discovery tells of a data node.
func Entry(n *datanode.Node, state string) discovery.Entry {
	return discovery.Entry{ID: n.ID, Addr: n.Addr(), Zone: "a", Cell: n.Cell, State: state, Weight: 1, Started: n.Started.UnixMilli()}
}

// Instance is what the zone tells of a data node; further strings go into its TXT record.
func (f *Fleet) Instance(n *datanode.Node, state string) nameserver.Instance {
	i := nameserver.Instance{Label: strings.ReplaceAll(n.ID, "-", " "), Service: "_dn._tcp", Weight: 100,
		Text: []string{"id=" + n.ID, "cell=" + strconv.Itoa(n.Cell), "zone=a", "proto=" + n.Proto}}
	if state != "" {
		i.Text = append(i.Text, "state="+state)
	}
	if f.Hollow {
		number, _ := strconv.Atoi(strings.TrimPrefix(n.ID, nodePrefix)) // Start has numbered them
		i.Addr = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 9, byte(number >> 8), byte(number)}), 7000)
		return i
	}
	i.Addr = netip.MustParseAddrPort(n.Addr())
	i.Text = append(i.Text, "started_ms="+strconv.FormatInt(n.Started.UnixMilli(), 10))
	return i
}

// Chance is the fleet's own source of chance.
func (f *Fleet) Chance() *rand.Rand { return f.chance }

// free is a loopback address that nobody uses just now.
func free(network string) string {
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

// run writes the configuration, starts the program and waits until it serves.
func (f *Fleet) run(ctx context.Context) error {
	f.Front = free("tcp")
	notify := ""
	if f.Notify {
		notify = free("udp")
		f.Zone.Notify(notify, nil)
	}
	second := ""
	if f.Options.Flight {
		f.Flight = free("tcp")
		second = fmt.Sprintf("[flight]\nlisten = %q\n%s", f.Flight, f.Deploy)
	}
	if f.MemoryMB == 0 {
		f.MemoryMB = 192
	}
	deploy := second + fmt.Sprintf("[dnssd]\nnotify = %q\nallow = [\"127.0.0.0/8\"]\n[[dnssd.zone]]\ndomain = %q\nservers = [%q, %q]\ntransfer = %v\n",
		notify, Domain, f.Servers[0].Addr(), f.Servers[1].Addr(), f.Transfer)
	settings := Settings(f.Cells, f.Shards, 1)
	config := Config("n0", f.Front, f.Directory.Addr(), f.Seed+1, f.MemoryMB, settings)
	var err error
	f.coord, err = Spawn(ctx, f.Binary, f.Front, map[string]string{"deploy/gullfall.toml": deploy, "config.json": config})
	return err
}

// Settings are those of the lab's coordinators: two classes, cells and shards as given, held by two cells each, and
// balancers that share the fleet.
func Settings(cells, shards, balancers int) string {
	return fmt.Sprintf(`{"TickS":0.005,"Az":"a","Balancers":%d,"Discovery":"automatic",
  "Classes":[{"Name":"lookup","Effect":"safe","AimS":0.5,"HardLimitS":1,"Gain":1},
             {"Name":"report","Effect":"safe","AimS":1,"HardLimitS":2,"Gain":3}],
  "FamilyInfo":{"Sets":%d,"Slabs":%d,"Width":2,"BundleMax":8,"ClassNeed":[1,1],"FloorByClass":[1,0.75],"PartialEarns":[0,0.5]},
  "Rules":{"DrainGraceS":2,"FallMultiple":2,"TipAfterS":1,"StartCapacity":0.3,"WarmAfterS":5},
  "Limits":{"Cancel":true,"SendCap":3,"ConnectTimeoutS":0.25,"ConnIdleS":30,"StreamsPerConn":32,"RetryAfter":true,"MaxRetryAfterS":2}}`,
		balancers, cells, shards)
}

// Config is the platform's file for one coordinator.
func Config(name, front, discovery string, seed uint64, memoryMB int, settings string) string {
	return fmt.Sprintf("{ // written by gullfall-lab\n \"name\":%q,\"listen\":%q,\"discovery\":%q,\"seed\":\"%x\",\n \"limits\":{\"cores\":1.0,\"memory_mb\":%d,\"sockets\":1024},\n \"settings\":%s}\n",
		name, front, discovery, seed, memoryMB, settings)
}

// Free is a loopback address that nobody uses just now.
func Free(network string) string { return free(network) }

// Log is the end of what the program has logged.
func (f *Fleet) Log(bytes int) string { return f.coord.Log(bytes) }

// Logged counts the lines of the log that hold a text.
func (f *Fleet) Logged(text string) int { return f.coord.Logged(text) }

// Listed is how many data nodes the program has logged as listed.
func (f *Fleet) Listed() int { return f.coord.Listed() }

// CPU is the processor time that the program has used.
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
	return time.Duration(user+system) * 10 * time.Millisecond // in hundredths of a second
}

// status is a figure of the running program, in MB; 0 once it has ended.
func (f *Fleet) status(name string) float64 {
	raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", f.coord.Pid()))
	for line := range strings.Lines(string(raw)) {
		if rest, ok := strings.CutPrefix(line, name+":"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return float64(kb) / 1024
		}
	}
	return 0
}

// Memory is what the program holds in memory, in MB.
func (f *Fleet) Memory() int { return int(f.status("VmRSS")) }

// Peak is the most that the program held in memory so far, in MB.
func (f *Fleet) Peak() int { return int(f.status("VmHWM")) }

// Anonymous is the memory that the program holds for itself, without its own file's pages, in MB.
func (f *Fleet) Anonymous() float64 { return f.status("RssAnon") }

// Questions are those that the servers were asked.
func (f *Fleet) Questions() (n int) {
	for _, s := range f.Servers {
		n += s.Asked(0)
	}
	return n
}

// Stop ends the program by SIGTERM and everything else after it; once is enough. It tells of a program that did not end well.
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
