package platform

import (
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestPageReader checks that messages are read whether on one line or indented, and that a malformed one is an error at once.
func TestPageReader(t *testing.T) {
	indented := "{\n  \"version\": 7,\n  \"full\": true,\n  \"servers\": [\n    {\n      \"id\": \"a}\\\"{\"\n    },\n    {\n      \"id\": \"b\"\n    }\n  ]\n}\n"
	for _, c := range []struct {
		name, text string
		versions   []int64
		entries    int
		end        error
	}{
		{"one message per line, separated by blank lines", "\n{\"version\":1,\"servers\":[{\"id\":\"a\"}]}\n\n{\"version\":2}\n", []int64{1, 2}, 1, io.EOF},
		{"indented, then on one line", indented + "\n{\"version\":8}\n", []int64{7, 8}, 2, io.EOF},
		{"broken after a bracket, with CRLF", "{\"version\":43,\"full\":false,\"servers\":[\r\n {\"id\":\"a\",\"cell\":3}]}\r\n", []int64{43}, 1, io.EOF},
		{"without a final line end", "{\"version\":3,\"full\":true,\"servers\":[{\"id\":\"a\"}]}", []int64{3}, 1, io.EOF},
		{"truncated within a line", "{\"version\":\n", nil, 0, errTruncatedMessage},
		{"truncated between lines, then blank lines", "{\n  \"version\": 7,\n\n\n", nil, 0, errTruncatedMessage},
		{"truncated by the end of the connection", "{\n  \"version\": 7,\n", nil, 0, io.EOF},
	} {
		t.Run(c.name, func(t *testing.T) {
			pages := newPageReader(strings.NewReader(c.text), func() {})
			var versions []int64
			entries := 0
			for {
				p, err := pages.next()
				if err != nil {
					if !errors.Is(err, c.end) {
						t.Errorf("ended with %v, want %v", err, c.end)
					}
					break
				}
				versions, entries = append(versions, p.Version), entries+len(p.Servers)
			}
			if diff := cmp.Diff(c.versions, versions); diff != "" || entries != c.entries {
				t.Errorf("(-want +got)\n%s%d entries, want %d", diff, entries, c.entries)
			}
		})
	}
	pages := newPageReader(strings.NewReader("[}\n"), func() {})
	if p, err := pages.next(); err == nil {
		t.Errorf("read %+v from input that is not an object", p)
	}
}
