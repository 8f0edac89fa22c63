package knownred

import (
	"io"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestParse(t *testing.T) {
	for _, c := range []struct {
		name, text string
		want       []Entry
		bad        bool
	}{
		{"empty", "\n", nil, false},
		{"one entry", "TestA: a fault, known (issue 7)\n", []Entry{{"TestA", "a fault, known", "7"}}, false},
		{"no issue", "TestA: a fault\n", nil, true},
		{"no cause", "TestA:  (issue 7)\n", nil, true},
		{"no test", "A: a fault (issue 7)\n", nil, true},
		{"more than three", strings.Repeat("TestA: a fault (issue 7)\n", 4), nil, true},
	} {
		got, err := Parse(strings.NewReader(c.text))
		if diff := cmp.Diff(c.want, got); diff != "" || (err != nil) != c.bad {
			t.Errorf("%s: error %v, (-want +got)\n%s", c.name, err, diff)
		}
	}
}

func TestJudge(t *testing.T) {
	const passes = `{"Action":"run","Package":"p","Test":"TestA"}
{"Action":"pass","Package":"p","Test":"TestA"}
{"Action":"pass","Package":"p"}
`
	const fails = `{"Action":"run","Package":"q","Test":"TestB"}
{"Action":"fail","Package":"q","Test":"TestB/part"}
{"Action":"fail","Package":"q","Test":"TestB"}
{"Action":"fail","Package":"q"}
`
	const broken = `{"Action":"fail","Package":"r"}
`
	known := []Entry{{"TestB", "a fault", "7"}}
	for _, c := range []struct {
		name, run string
		list      []Entry
		ok, bad   bool
	}{
		{"all pass", passes, nil, true, false},
		{"a listed test fails", passes + fails, known, true, false},
		{"an unlisted test fails", passes + fails, nil, false, false},
		{"a package does not build", passes + broken, nil, false, false},
		{"a listed test and a package fail", fails + broken, known, false, false},
		{"a listed test does not exist", passes, known, true, true},
		{"truncated output", passes + `{"Action":`, nil, true, true},
	} {
		v, err := Judge(strings.NewReader(c.run), c.list, io.Discard)
		if v.OK() != c.ok || (err != nil) != c.bad {
			t.Errorf("%s: %+v, error %v", c.name, v, err)
		}
	}
}
