package main

// The lab counts attempts from the coordinators' text log; a misread value would count them under the wrong outcome.

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestLogValue(t *testing.T) {
	line := `time=2026-12-01T22:23:27.5Z level=DEBUG msg="attempt ended" node=a-1 part=p7 end="not connected" took=52ms`
	for _, c := range []struct{ key, want string }{
		{"time", "2026-12-01T22:23:27.5Z"},
		{"msg", "attempt ended"},
		{"end", "not connected"},
		{"took", "52ms"},
		{"node", "a-1"},
		{"de", ""}, // inside node= and end=, not a key of its own
	} {
		if diff := cmp.Diff(c.want, logValue(line, c.key)); diff != "" {
			t.Errorf("%s: (-want +got)\n%s", c.key, diff)
		}
	}
}
