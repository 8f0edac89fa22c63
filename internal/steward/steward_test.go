package steward

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"gullfall/internal/learned"
	"gullfall/internal/maintenance"
)

// TestTold: what others have told of a machine makes it missing, never sound, and its load known where it was not.
func TestTold(t *testing.T) {
	unknown := learned.View{Latency: -1, Busy: -1}
	for _, c := range []struct {
		name string
		m    maintenance.Machine
		v    learned.View
		want maintenance.Machine
	}{
		{"nothing told", maintenance.Machine{Sound: true, Util: 0.2}, unknown, maintenance.Machine{Sound: true, Util: 0.2}},
		{"it fails for another", maintenance.Machine{Sound: true}, learned.View{Doubtful: true, Busy: -1}, maintenance.Machine{}},
		{"it is cold to another", maintenance.Machine{Sound: true}, learned.View{ColdFor: time.Second, Busy: -1}, maintenance.Machine{}},
		{"well for others, and not here", maintenance.Machine{}, learned.View{Latency: 0.1, Busy: -1}, maintenance.Machine{}},
		{"its load is known to another only", maintenance.Machine{Sound: true}, learned.View{Busy: 0.6}, maintenance.Machine{Sound: true, Util: 0.6}},
		{"and here", maintenance.Machine{Sound: true, Util: 0.3}, learned.View{Busy: 0.6}, maintenance.Machine{Sound: true, Util: 0.3}},
	} {
		if d := cmp.Diff(c.want, told(c.m, c.v), cmpopts.IgnoreUnexported(maintenance.Machine{})); d != "" {
			t.Errorf("%s (-want +got)\n%s", c.name, d)
		}
	}
}
