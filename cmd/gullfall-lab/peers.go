package main

// `gullfall-lab peers`: failure detection among gullfall processes connected through fault proxies. Coordinators are stalled,
// killed and partitioned, one way and both ways, and packets are lost, duplicated and reordered. With --sizes the same detector is
// simulated in virtual time and compared with two baselines.

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"gullfall/internal/lab/fleet"
	"gullfall/internal/lab/proxy"
	"gullfall/internal/lab/swimsim"
)

type peersCmd struct {
	Coordinators int           `default:"8" help:"Number of coordinators."`
	For          time.Duration `default:"60s" help:"Duration of the faults."`
	Faults       int           `default:"0" help:"Stop after this many faults; 0 for no limit."`
	Period       time.Duration `default:"200ms" help:"Period of the probes."`
	Bear         time.Duration `default:"1500ms" help:"The longest pause after which a coordinator must not be considered dead."`
	Seed         uint64        `default:"1" help:"Seed of the faults."`
	Binary       string        `help:"Path of gullfall; by default in this program's directory."`
	JSON         string        `name:"json" help:"Write the report to this file."`
	Sizes        []int         `help:"Simulate fleets of these sizes in virtual time and compare with the baselines instead."`
	Loss         []float64     `help:"With --sizes: shares of packets lost; by default 0, 0.1, 0.2 and 0.4, above 300 members 0 and 0.2."`
	Curve        bool          `help:"With --sizes: vary the tolerated pause, for the curve of false positives against detection time, instead of the baselines."`
	Plots        string        `help:"With --sizes: write plots over packet loss to this directory."`
}

// peersReport is the result of a run.
type peersReport struct {
	Coordinators int            `json:"coordinators"`
	Faults       int            `json:"faults"`
	FalseDead    int            `json:"false_dead"`    // in faults to be tolerated: pauses up to --bear, loss up to 20%, one-way cuts
	DetectP50MS  float64        `json:"detect_p50_ms"` // from a crash until all coordinators know of it
	DetectP99MS  float64        `json:"detect_p99_ms"` // the same at the 99th percentile
	HealP99MS    float64        `json:"heal_p99_ms"`   // from a fault's end until all views are equal
	Disagree     int            `json:"disagree"`      // faults after which the views didn't become equal in time
	BytesPerS    float64        `json:"bytes_per_s"`   // sent by each coordinator
	CPUShare     float64        `json:"cpu_share"`     // share of a core used by each coordinator
	Kinds        map[string]int `json:"kinds"`         // faults by kind
	Deaths       int            `json:"deaths"`        // logged by coordinators about others
	Seed         uint64         `json:"seed"`
}

// Run injects faults and prints the report; with --sizes it simulates fleets instead.
func (p *peersCmd) Run() (err error) {
	if len(p.Sizes) > 0 {
		return p.simulateSizes()
	}
	ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(2*p.For+2*time.Minute))
	defer cancel()
	f, err := fleet.StartPeers(ctx, fleet.PeersOptions{Coordinators: p.Coordinators, Period: p.Period, Timeout: p.Period / 4,
		Bear: p.Bear, Binary: gullfallPath(p.Binary), Seed: p.Seed})
	defer func() {
		if f != nil {
			err = errors.Join(err, f.Stop())
		}
	}()
	if err != nil {
		return err
	}
	r, err := p.injectFaults(ctx, f)
	fmt.Printf("%12s %6s %10s %14s %14s %12s %8s %11s %9s\n", "coordinators", "faults", "false_dead", "detect_p50_ms", "detect_p99_ms", "heal_p99_ms", "disagree", "bytes_per_s", "cpu_share")
	fmt.Printf("%12d %6d %10d %14.0f %14.0f %12.0f %8d %11.0f %9.4f\n", r.Coordinators, r.Faults, r.FalseDead, r.DetectP50MS, r.DetectP99MS, r.HealP99MS, r.Disagree, r.BytesPerS, r.CPUShare)
	if err := errors.Join(err, writeJSON(p.JSON, r)); err != nil {
		return err
	}
	if r.FalseDead > 0 || r.Disagree > 0 {
		return fmt.Errorf("failure detection: %d running coordinators considered dead, %d faults after which views stayed different", r.FalseDead, r.Disagree)
	}
	return nil
}

// agreementTimeout limits the time for the views of all coordinators to become equal after a fault.
const agreementTimeout = 60 * time.Second

// peersRun is the state of one run.
type peersRun struct {
	cmd              *peersCmd
	fleet            *fleet.Peers
	rng              *rand.Rand
	report           *peersReport
	detectionTimes   []time.Duration // from each kill until all other coordinators knew of it
	convergenceTimes []time.Duration // from the end of each fault until all views were equal
	baseCPU          float64         // baseline at the start: processor seconds used by the processes that still run
	baseBytes        int64           // baseline at the start: bytes sent by these processes
}

// injectFaults injects one fault after the other; after each, all views must become equal and correct again.
func (p *peersCmd) injectFaults(ctx context.Context, f *fleet.Peers) (r peersReport, err error) {
	r = peersReport{Coordinators: p.Coordinators, Seed: p.Seed, Kinds: map[string]int{}}
	run := &peersRun{cmd: p, fleet: f, rng: rand.New(rand.NewPCG(p.Seed, 0xfa17)), report: &r}
	if _, err := f.Until(ctx, time.Now().Add(agreementTimeout)); err != nil {
		return r, fmt.Errorf("wait for equal views at the start: %w", err)
	}
	began := time.Now()
	run.baseCPU, run.baseBytes = p.cpuSeconds(f.Coords...), p.bytesSent(ctx, f, p.indexes()...)
	for end := time.Now().Add(p.For); time.Now().Before(end) && ctx.Err() == nil && (p.Faults == 0 || r.Faults < p.Faults); {
		r.Faults++
		if err := run.runRound(ctx); err != nil {
			return r, err
		}
	}
	took, n := time.Since(began).Seconds(), float64(p.Coordinators)
	ms := func(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
	r.DetectP50MS, r.DetectP99MS = ms(swimsim.Quantile(run.detectionTimes, 0.5)), ms(swimsim.Quantile(run.detectionTimes, 0.99))
	r.HealP99MS = ms(swimsim.Quantile(run.convergenceTimes, 0.99))
	r.BytesPerS = max(0, float64(p.bytesSent(ctx, f, p.indexes()...)-run.baseBytes)) / took / n
	r.CPUShare = max(0, p.cpuSeconds(f.Coords...)-run.baseCPU) / took / n
	return r, nil
}

// runRound injects one fault, waits until all views are equal again and counts the deaths that the fault doesn't explain.
func (p *peersRun) runRound(ctx context.Context) error {
	i, j := p.randomPair()
	before := p.countDeaths()
	fault, deathsExpected, err := p.injectFault(ctx, i, j)
	if err != nil {
		return err
	}
	r := p.report
	r.Kinds[faultKind(fault)]++
	took, err := p.fleet.Until(ctx, time.Now().Add(agreementTimeout))
	p.convergenceTimes = append(p.convergenceTimes, took)
	if err != nil {
		p.recordDisagreement(fault, err)
	}
	got := p.countDeaths() - before
	if r.Deaths += max(got, 0); got > 0 && !deathsExpected {
		fmt.Fprintf(os.Stderr, "fault %d, %s: %d times a running coordinator was considered dead\n", r.Faults, fault, got)
		r.FalseDead += got
	}
	return nil
}

// randomPair returns two different random coordinators.
func (p *peersRun) randomPair() (i, j int) {
	i, j = p.rng.IntN(p.cmd.Coordinators), p.rng.IntN(p.cmd.Coordinators-1)
	if j >= i {
		j++
	}
	return i, j
}

// countDeaths counts the log lines in which coordinators declared others dead.
func (p *peersRun) countDeaths() (n int) {
	for i := range p.cmd.Coordinators {
		n += p.fleet.DeathsLogged(fleet.PeerName(i))
	}
	return n
}

// recordDisagreement reports and counts a fault after which the views didn't become equal.
func (p *peersRun) recordDisagreement(fault string, err error) {
	fmt.Fprintf(os.Stderr, "fault %d, %s: %v\n", p.report.Faults, fault, err)
	p.report.Disagree++
}

// injectFault injects one random fault at coordinator i, or between i and j, and undoes it. deathsExpected reports
// whether the fault may make others consider a coordinator dead: a crash, or a partition in both directions.
func (p *peersRun) injectFault(ctx context.Context, i, j int) (fault string, deathsExpected bool, err error) {
	n, period, pause := p.cmd.Coordinators, p.cmd.Period, p.cmd.Bear
	switch p.rng.IntN(10) {
	case 0, 1:
		d := pause/4 + time.Duration(p.rng.Int64N(int64(pause*3/4)))
		return fmt.Sprintf("one stalled for %v", d), false, p.stall(d, i)
	case 2:
		some := p.rng.Perm(n)[:max(1, n/5)]
		return "a fifth stalled", false, p.stall(pause*3/4, some...)
	case 3:
		return "all stalled", false, p.stall(pause, p.cmd.indexes()...)
	case 4:
		loss := proxy.Loss{Lost: 0.2 * p.rng.Float64(), Twice: 0.1, Delay: time.Millisecond, Reorder: 20 * time.Millisecond}
		err := p.fleet.Set(loss)
		time.Sleep(10 * period)
		return fmt.Sprintf("%.0f%% lost", 100*loss.Lost), false, errors.Join(err, p.fleet.Set(proxy.Loss{}))
	case 5:
		err := p.fleet.Cut(i, j)
		time.Sleep(15 * period)
		return "cut one way", false, errors.Join(err, p.fleet.Restore(i, j))
	case 6:
		return "one killed", true, p.kill(ctx, i)
	case 7:
		return "split", true, p.split()
	case 8:
		return "one starved of processor time", false, p.starve(i)
	default:
		return "a ring of cuts one way", false, p.ring()
	}
}

// stall stops the processes of some coordinators for the duration d.
func (p *peersRun) stall(d time.Duration, list ...int) (err error) {
	for _, i := range list {
		err = errors.Join(err, p.fleet.Stall(i))
	}
	time.Sleep(d)
	for _, i := range list {
		err = errors.Join(err, p.fleet.Resume(i))
	}
	return err
}

// kill sends SIGKILL to a coordinator, waits until all others know of it and restarts it. The old process's processor time and bytes
// are taken out of the baseline, as they no longer appear in the totals.
func (p *peersRun) kill(ctx context.Context, i int) error {
	p.baseCPU -= p.cmd.cpuSeconds(p.fleet.Coords[i])
	p.baseBytes -= p.cmd.bytesSent(ctx, p.fleet, i)
	if err := p.fleet.Kill(i); err != nil {
		return err
	}
	took, err := p.fleet.Until(ctx, time.Now().Add(agreementTimeout))
	if err != nil {
		p.recordDisagreement("one killed", err)
	}
	p.detectionTimes = append(p.detectionTimes, took)
	return p.fleet.Start(ctx, i)
}

// starve limits a coordinator to a twentieth of the processor time, by stopping it for 95 of every 100 ms.
func (p *peersRun) starve(i int) (err error) {
	for end := time.Now().Add(15 * p.cmd.Period); time.Now().Before(end); {
		err = errors.Join(err, p.fleet.Stall(i))
		time.Sleep(95 * time.Millisecond)
		err = errors.Join(err, p.fleet.Resume(i))
		time.Sleep(5 * time.Millisecond)
	}
	return err
}

// ring cuts the connection from each coordinator to the next, in this direction only.
func (p *peersRun) ring() (err error) {
	n := p.cmd.Coordinators
	for k := range n {
		err = errors.Join(err, p.fleet.Cut(k, (k+1)%n))
	}
	time.Sleep(15 * p.cmd.Period)
	for k := range n {
		err = errors.Join(err, p.fleet.Restore(k, (k+1)%n))
	}
	return err
}

// split partitions the coordinators in both directions; the smaller side has half of them at most.
func (p *peersRun) split() (err error) {
	n := p.cmd.Coordinators
	side := p.rng.Perm(n)[:1+p.rng.IntN(n/2)]
	for _, a := range side {
		for b := range n {
			if !slices.Contains(side, b) {
				err = errors.Join(err, p.fleet.Cut(a, b), p.fleet.Cut(b, a))
			}
		}
	}
	time.Sleep(time.Duration(p.rng.Int64N(int64(40 * p.cmd.Period))))
	for a := range n {
		for b := range n {
			if a != b {
				err = errors.Join(err, p.fleet.Restore(a, b))
			}
		}
	}
	return err
}

// faultKind returns a fault's description without its figures.
func faultKind(fault string) string {
	fault, _, _ = strings.Cut(fault, " for ")
	if strings.HasSuffix(fault, "% lost") {
		return "lost packets"
	}
	return fault
}

// indexes returns the indexes of all coordinators.
func (p *peersCmd) indexes() (list []int) {
	for i := range p.Coordinators {
		list = append(list, i)
	}
	return list
}

// bytesSent returns the number of bytes that some coordinators have sent; those that don't answer are left out.
func (p *peersCmd) bytesSent(ctx context.Context, f *fleet.Peers, indexes ...int) (n int64) {
	for _, i := range indexes {
		if v, err := f.View(ctx, i); err == nil {
			n += v.BytesSent
		}
	}
	return n
}

// cpuSeconds returns the processor time of some processes, in seconds; those that don't run are left out.
func (p *peersCmd) cpuSeconds(list ...*fleet.Coordinator) (s float64) {
	for _, c := range list {
		raw, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(c.Pid()), "stat"))
		if err != nil {
			continue
		}
		_, rest, _ := strings.Cut(string(raw), ") ")
		if words := strings.Fields(rest); len(words) > 12 {
			user, _ := strconv.ParseFloat(words[11], 64)
			system, _ := strconv.ParseFloat(words[12], 64)
			s += (user + system) / 100
		}
	}
	return s
}
