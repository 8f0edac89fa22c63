package dnssd

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestText: the strings of a TXT record are read as in RFC 6763, section 6.
func TestText(t *testing.T) {
	got := ReadText([]string{"Cell=3", "cell=4", "flag", "empty=", "=none", "", "a=b=c", `q=\"x\"`, "flag=late"})
	if diff := cmp.Diff(Text{"cell": "3", "flag": "", "empty": "", "a": "b=c", "q": `"x"`}, got); diff != "" {
		t.Errorf("(-want +got)\n%s", diff)
	}
}
