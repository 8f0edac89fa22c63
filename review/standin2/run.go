//go:build review

// Command standin2 plays the cases 6 to 10 of the review: it starts the coordinator by the command of the deploy file, plays data
// nodes, discovery, name server and clients on loopback addresses, writes what was sent, answered and run to a record, and judges it.
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// run is one play of a case.
type run struct {
	trouble bool   // the case's disruption is on
	root    string // root of the repository
	command string // the deploy file's run command
	start   time.Time
	procs   []*process

	mu     sync.Mutex
	record *os.File
}

// fatal ends a play that can't go on.
type fatal struct{ err error }

// must ends the play as one that could not run.
func must(err error) {
	if err != nil {
		panic(fatal{err})
	}
}

// note writes a line to the record, with the time since the start.
func (r *run) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// say writes a line to the record and to the standard output.
func (r *run) say(format string, args ...any) {
	r.note(format, args...)
	fmt.Printf(format+"\n", args...)
}

func main() {
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE")
		os.Exit(2)
	}
	os.Exit(play(cases[os.Args[1]]))
}

// play plays a case and returns the exit status.
func play(c func(*run) (broken int)) (status int) {
	r := &run{trouble: os.Getenv("TROUBLE") != "0", root: os.Getenv("ROOT"), command: os.Getenv("RUN"), start: time.Now()}
	var err error
	if r.record, err = os.Create(os.Getenv("RECORD")); err != nil || r.root == "" || r.command == "" {
		fmt.Fprintln(os.Stderr, "ROOT, RUN and RECORD are needed:", err)
		return 2
	}
	defer func() {
		cause := recover()
		for _, p := range r.procs {
			p.end()
		}
		if f, ok := cause.(fatal); ok {
			r.say("the case could not run: %v", f.err)
			status = 2
		} else if cause != nil {
			panic(cause)
		}
		_ = r.record.Close()
	}()
	go func() { // nothing goes on for longer than the 120 s of a script
		time.Sleep(110 * time.Second)
		for _, p := range r.procs {
			p.end()
		}
		os.Exit(2)
	}()
	broken := c(r)
	r.say("rule broken %d times", broken)
	if broken > 0 {
		return 1
	}
	return 0
}

// process is one coordinator's process.
type process struct {
	r     *run
	name  string
	dir   string
	cmd   *exec.Cmd
	ended chan struct{}
	exit  error
}

// spawn starts a coordinator in a folder of its own by the deploy file's run command, and returns once GET /up answers 200.
func (r *run) spawn(name, listen, config, deploy string) *process {
	dir, err := os.MkdirTemp("", "review2-")
	must(err)
	p := &process{r: r, name: name, dir: dir, ended: make(chan struct{})}
	must(os.Mkdir(filepath.Join(dir, "deploy"), 0o755))
	must(os.Mkdir(filepath.Join(dir, "tmp"), 0o755))
	must(os.Symlink(filepath.Join(r.root, "bin"), filepath.Join(dir, "bin")))
	must(os.WriteFile(filepath.Join(dir, "config.json"), []byte(config), 0o644))
	must(os.WriteFile(filepath.Join(dir, "deploy", "gullfall.toml"), []byte(deploy), 0o644))
	p.launch()
	r.procs = append(r.procs, p)
	p.await(listen)
	return p
}

// launch starts the process.
func (p *process) launch() {
	log, err := os.OpenFile(filepath.Join(p.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	must(err)
	defer log.Close()
	p.cmd = exec.Command("/bin/sh", "-c", p.r.command)
	p.cmd.Dir, p.cmd.Stdout, p.cmd.Stderr = p.dir, log, log
	p.cmd.Env = append(os.Environ(), "NODE_CONFIG="+filepath.Join(p.dir, "config.json"), "TMPDIR="+filepath.Join(p.dir, "tmp"),
		"NODE_NAME=", "NODE_LISTEN=", "NODE_DISCOVERY=")
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	must(p.cmd.Start())
	cmd, ended := p.cmd, make(chan struct{})
	p.ended = ended
	go func() {
		p.exit = cmd.Wait()
		close(ended)
	}()
	p.r.note("%s started, process %d", p.name, p.cmd.Process.Pid)
}

// await waits until GET /up answers 200.
func (p *process) await(listen string) {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if a, err := httpCall(listen, "GET /up HTTP/1.1\r\nHost: up\r\nConnection: close\r\n\r\n", time.Second); err == nil && a.status == 200 {
			p.r.note("%s is up at %s", p.name, listen)
			return
		}
		if p.isDead() {
			must(fmt.Errorf("%s ended at its start: %v\n%s", p.name, p.exit, p.log(2000)))
		}
	}
	must(fmt.Errorf("%s did not come up\n%s", p.name, p.log(2000)))
}

func (p *process) isDead() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// signal sends a signal to the process, if it has not ended.
func (p *process) signal(s syscall.Signal) {
	if !p.isDead() {
		p.r.note("%s gets %v", p.name, s)
		_ = p.cmd.Process.Signal(s)
	}
}

// log returns the end of the process's log.
func (p *process) log(n int) string {
	raw, _ := os.ReadFile(filepath.Join(p.dir, "log"))
	return string(raw[max(0, len(raw)-n):])
}

// end ends the process and removes its folder.
func (p *process) end() {
	if p.cmd != nil && !p.isDead() {
		_ = p.cmd.Process.Kill()
		<-p.ended
	}
	_ = os.RemoveAll(p.dir)
}

// freeAddr returns a free loopback address.
func freeAddr(network string) string {
	if network == "udp" {
		c, err := net.ListenPacket("udp", "127.0.0.1:0")
		must(err)
		defer c.Close()
		return c.LocalAddr().String()
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	defer ln.Close()
	return ln.Addr().String()
}

// object is a JSON object.
type object = map[string]any

// settings returns a settings object like that of a small deployment, as the pages show it, with three classes.
func settings(classes []object, floors []float64) object {
	need, earns, fetch := []float64{}, []float64{}, []int{}
	for range classes {
		need, earns, fetch = append(need, 1), append(earns, 0.9), append(fetch, 0)
	}
	return object{"Az": "a", "Balancers": 2, "Me": 0, "Discovery": "automatic", "Family": "fanout", "TickS": 0.005, "Tier": 0,
		"Classes":      classes,
		"ClientHabits": object{"MarksRetry": true},
		"FamilyInfo": object{"BundleMax": 8, "CallCostS": 0.051, "ClassFetch": fetch, "ClassNeed": need, "FloorByClass": floors,
			"PartialEarns": earns, "Sets": 4, "Slabs": 16, "WarmKeys": false, "Width": 1},
		"Layers": []string{"record-nodes"},
		"Limits": object{"Cancel": true, "ConnIdleS": 30, "ConnectTimeoutS": 0.25, "CpuUsPerRequest": 0, "CpuUsPerS": 400000,
			"MaxOpen": 400, "MaxRetryAfterS": 2, "MayDuplicate": false, "MayProbe": true, "PeerMessages": false, "RetryAfter": true,
			"SendCap": 3, "StreamsPerConn": 32},
		"LoadReport": object{"Columns": []string{"util"}, "How": "answers"}, "MachineTypes": []string{"std-2core"},
		"OverShareWorth": 0.05, "Parties": []object{{"Fraction": 1, "Name": "club", "QuotaPerS": 100}},
		"Rules": object{"AnswerSlackS": 0.02, "AskEveryS": 10, "DrainGraceS": 2, "FallMultiple": 2, "StartCapacity": 0.28, "TipAfterS": 1.5,
			"WarmAfterS": 17},
		"WeightKind": "rough", "WorthBy": "request", "Zones": []string{"a", "b"}}
}

// class returns one class of the settings.
func class(name, effect string, aim, limit, late float64) object {
	return object{"AimS": aim, "Effect": effect, "Gain": 1, "Group": "all", "HardLimitS": limit, "LateWorth": late, "MemorySpanS": 5,
		"Name": name, "Streamed": false}
}

// config returns the configuration file.
func config(name, listen, discovery string, settings object) string {
	raw, err := json.MarshalIndent(object{"name": name, "listen": listen, "discovery": discovery, "seed": "8c1f30d27a5be964",
		"limits": object{"cores": 1, "memory_mb": 192, "sockets": 1024}, "settings": settings}, "", " ")
	must(err)
	return string(raw)
}

// reset reports whether an error says that the other side ended the connection.
func reset(err error) bool {
	return err != nil && (errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) || strings.Contains(err.Error(), "EOF"))
}
