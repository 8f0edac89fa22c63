package model

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// meanFigures simulates a day with several seeds; it returns the mean of Served and the sum of SentToDown, and reports broken rules.
func meanFigures(t *testing.T, name, way string, coordinators int, load float64) (sum Figures) {
	t.Helper()
	const seeds = 3
	for seed := range uint64(seeds) {
		c, err := Day(name, way, coordinators, load, seed+1)
		if err != nil {
			t.Fatal(err)
		}
		f, err := Run(c)
		if err != nil {
			t.Fatal(err)
		}
		if f.Lost+f.Overloaded+f.SentAfterGrace+f.ConcurrentAttempts > 0 {
			t.Errorf("%s, %s, seed %d: %d queries lost, %d warming data nodes overloaded, %d attempts after a drain's grace period, %d concurrent attempts of one part", name, way, seed+1,
				f.Lost, f.Overloaded, f.SentAfterGrace, f.ConcurrentAttempts)
		}
		sum.Served, sum.SentToDown = sum.Served+f.Served/seeds, sum.SentToDown+f.SentToDown
	}
	return sum
}

// TestDaysKeepServedShare runs small versions of the days: no rule may break, and the share of served queries must not fall below its
// minimum.
func TestDaysKeepServedShare(t *testing.T) {
	for _, c := range []struct {
		day   string
		n     int
		load  float64
		least float64
	}{{"quiet", 20, 0.5, 0.999}, {"roll", 100, 0.5, 0.995}, {"roll", 20, 0.6, 0.985}, {"fresh", 20, 0.5, 0.985}} {
		if f := meanFigures(t, c.day, "shared", c.n, c.load); f.Served < c.least {
			t.Errorf("%s with %d coordinators: served share %.4f, want at least %.4f", c.day, c.n, f.Served, c.least)
		}
	}
}

// TestSharedZoneStateReducesFailedAttempts guards against shared observations that do not help: among 100 coordinators
// with few queries each, tracking zones must reduce the attempts sent to a failed zone, and sharing observations must reduce them further.
func TestSharedZoneStateReducesFailedAttempts(t *testing.T) {
	alone, verdicts, shared := meanFigures(t, "zone", "alone", 100, 0.5), meanFigures(t, "zone", "verdicts", 100, 0.5), meanFigures(t, "zone", "shared", 100, 0.5)
	t.Logf("served share %.4f, %.4f, %.4f; attempts at the failed zone %d, %d, %d", alone.Served, verdicts.Served, shared.Served, alone.SentToDown, verdicts.SentToDown, shared.SentToDown)
	if float64(verdicts.SentToDown) > 0.8*float64(alone.SentToDown) || float64(shared.SentToDown) > 0.8*float64(verdicts.SentToDown) {
		t.Errorf("attempts at the failed zone: alone %d, verdicts %d, shared %d", alone.SentToDown, verdicts.SentToDown, shared.SentToDown)
	}
	if shared.Served < alone.Served || shared.Served < 0.995 {
		t.Errorf("served share: alone %.4f, shared %.4f", alone.Served, shared.Served)
	}
}

// TestRunIsDeterministic checks that two runs of one configuration give the same figures.
func TestRunIsDeterministic(t *testing.T) {
	c, err := Day("fresh", "shared", 20, 0.5, 7)
	if err != nil {
		t.Fatal(err)
	}
	first, err := Run(c)
	if err != nil {
		t.Fatal(err)
	}
	again, err := Run(c)
	if d := cmp.Diff(first, again); d != "" || err != nil {
		t.Errorf("%v (-first +again)\n%s", err, d)
	}
}
