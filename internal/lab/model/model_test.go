package model

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// mean plays a day with several seeds.
func mean(t *testing.T, name, way string, coordinators int, load float64) (sum Figures) {
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
		if f.Lost+f.Fell+f.After+f.Twins > 0 {
			t.Errorf("%s, %s, seed %d: %d queries lost, %d cold data nodes pushed over, %d sent after a drain's grace, %d twins", name, way, seed+1,
				f.Lost, f.Fell, f.After, f.Twins)
		}
		sum.Served, sum.Gone = sum.Served+f.Served/seeds, sum.Gone+f.Gone
	}
	return sum
}

// TestDays: the rules hold on each day in small, and what is served stays what it is.
func TestDays(t *testing.T) {
	for _, c := range []struct {
		day   string
		n     int
		load  float64
		least float64
	}{{"quiet", 20, 0.5, 0.999}, {"roll", 100, 0.5, 0.995}, {"roll", 20, 0.6, 0.985}, {"fresh", 20, 0.5, 0.985}} {
		if f := mean(t, c.day, "shared", c.n, c.load); f.Served < c.least {
			t.Errorf("%s with %d coordinators: served %.4f, %.4f is the least", c.day, c.n, f.Served, c.least)
		}
	}
}

// TestSharedStateOfAZone: a hundred coordinators that each ask little lose less of a lost zone the more of it they learn together.
func TestSharedStateOfAZone(t *testing.T) {
	alone, verdicts, shared := mean(t, "zone", "alone", 100, 0.5), mean(t, "zone", "verdicts", 100, 0.5), mean(t, "zone", "shared", 100, 0.5)
	t.Logf("served %.4f, %.4f, %.4f; attempts at the lost zone %d, %d, %d", alone.Served, verdicts.Served, shared.Served, alone.Gone, verdicts.Gone, shared.Gone)
	if float64(verdicts.Gone) > 0.8*float64(alone.Gone) || float64(shared.Gone) > 0.8*float64(verdicts.Gone) {
		t.Errorf("attempts at the lost zone: %d alone, %d by verdicts, %d by shared ones", alone.Gone, verdicts.Gone, shared.Gone)
	}
	if shared.Served < alone.Served || shared.Served < 0.995 {
		t.Errorf("served %.4f alone, %.4f shared", alone.Served, shared.Served)
	}
}

// TestSameAgain: a day comes out the same each time.
func TestSameAgain(t *testing.T) {
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
