package workplan

import "testing"

// TestMeasure checks over random fleets that no plan breaks a limit, that plans have no more waves than one machine at a time or zone by
// zone, and that plans of small fleets are proven optimal.
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
			t.Errorf("only %d of %d plans are proven optimal: %+v", r.Exact, r.Fleets, r)
		}
	}
}
