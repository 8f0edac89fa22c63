package dnssd

import (
	"strings"
	"testing"
)

// TestInstance: names are read and escaped as in RFC 6763, sections 4.1 and 4.3.
func TestInstance(t *testing.T) {
	const kind = "_dn._tcp.club.example."
	for _, c := range []struct{ name, label, fault string }{
		{"a." + kind, "a", ""},
		{"A._DN._tcp.Club.example.", "A", ""},
		{`Olinda\ 1.` + kind, "Olinda 1", ""},
		{`Olinda\0321.` + kind, "Olinda 1", ""},
		{`node\.1\.west.` + kind, "node.1.west", ""},
		{`Xadrez\ S\195\163o\ Luis.` + kind, "Xadrez São Luis", ""},
		{`back\\slash.` + kind, `back\slash`, ""},
		{strings.Repeat("x", 63) + "." + kind, strings.Repeat("x", 63), ""},
		{`bad\255.` + kind, "", "UTF-8"},
		{`bell\007.` + kind, "", "control"},
		{"a.b." + kind, "", "no instance"},
		{kind, "", "no instance"},
		{"a._dn._tcp.other.example.", "", "no instance"},
	} {
		got, err := InstanceLabel(c.name, kind)
		if got != c.label || (err != nil) != (c.fault != "") || err != nil && !strings.Contains(err.Error(), c.fault) {
			t.Errorf("%s: %q, %v, want %q, %q", c.name, got, err, c.label, c.fault)
		}
		if err == nil {
			if again, err := InstanceLabel(EscapeLabel(got)+"."+kind, kind); again != got || err != nil {
				t.Errorf("%q escaped is %q and reads as %q, %v", got, EscapeLabel(got), again, err)
			}
		}
	}
}
