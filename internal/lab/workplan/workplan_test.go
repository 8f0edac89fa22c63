package workplan

import "testing"

// TestMeasure: over drawn fleets no order breaks a limit, none is longer than what is done by hand, and small ones are proven.
func TestMeasure(t *testing.T) {
	for _, machines := range []int{8, 20, 100} {
		r, err := Measure(machines, 10, 1)
		if err != nil {
			t.Fatal(err)
		}
		if r.Broken > 0 || r.Waves > r.ZoneByZone || r.Waves > r.OneByOne || r.Bound > r.Waves || r.WorstGap > 0.5 {
			t.Errorf("%+v", r)
		}
		if machines <= 20 && r.Exact < r.Fleets {
			t.Errorf("only %d of %d orders are proven: %+v", r.Exact, r.Fleets, r)
		}
	}
}
