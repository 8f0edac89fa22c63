package dnssd

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestText reads strings after RFC 6763, 6.
func TestText(t *testing.T) {
	got := ReadText([]string{"Cell=3", "cell=4", "flag", "empty=", "=none", "", "a=b=c", `q=\"x\"`, "flag=late"})
	if diff := cmp.Diff(Text{"cell": "3", "flag": "", "empty": "", "a": "b=c", "q": `"x"`}, got); diff != "" {
		t.Errorf("(-want +got)\n%s", diff)
	}
}
