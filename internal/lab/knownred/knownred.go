// Package knownred gives one verdict on a test run in which a few tests may fail: those that a file lists, each with its
// cause and its issue, because their fault is known and not mended yet.
//
//	the file has more than Most lines, or one that can't be read     an error
//	a listed test was not run                                        an error: it does not exist
//	a test that is not listed, or a package, fails                   the run has failed
//	only listed tests fail                                           the run has passed, and they are named
package knownred

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strings"
)

// Most is how many tests may be listed.
const Most = 3

// Entry is one line of the file: "TestName: cause (issue 7)".
type Entry struct {
	Test, Cause, Issue string
}

var form = regexp.MustCompile(`^(Test\w*): (\S.*) \(issue (\d+)\)$`)

// Parse reads the file. Blank lines do not count.
func Parse(in io.Reader) ([]Entry, error) {
	var list []Entry
	lines := bufio.NewScanner(in)
	for lines.Scan() {
		line := strings.TrimSpace(lines.Text())
		if line == "" {
			continue
		}
		fields := form.FindStringSubmatch(line)
		if fields == nil {
			return nil, fmt.Errorf("line %q is not of the form \"TestName: cause (issue 7)\"", line)
		}
		list = append(list, Entry{Test: fields[1], Cause: fields[2], Issue: fields[3]})
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("reading the list: %w", err)
	}
	if len(list) > Most {
		return nil, fmt.Errorf("%d tests are listed; %d may be", len(list), Most)
	}
	return list, nil
}

// Verdict is what a run comes to.
type Verdict struct {
	Passed, Failed int      // tests at the top level
	Known          []Entry  // of those that failed, the listed ones
	Unknown        []string // and the others, with packages that failed for no test
}

// OK tells whether the run has passed.
func (v Verdict) OK() bool { return len(v.Unknown) == 0 }

// event is a line of go test -json.
type event struct {
	Action, Package, Test, Output string
}

// Judge reads the output of go test -json; what the tests print goes to out.
func Judge(in io.Reader, list []Entry, out io.Writer) (Verdict, error) {
	var v Verdict
	failedIn := map[string]bool{} // packages in which a test failed
	ran := map[string]bool{}
	events := json.NewDecoder(in)
	for {
		var e event
		err := events.Decode(&e)
		if err == io.EOF {
			break
		}
		if err != nil {
			return v, fmt.Errorf("reading the run: %w", err)
		}
		if e.Action == "output" {
			_, _ = io.WriteString(out, e.Output)
		}
		if strings.Contains(e.Test, "/") {
			continue
		}
		v.take(e, list, ran, failedIn)
	}
	for _, entry := range list {
		if !ran[entry.Test] {
			return v, fmt.Errorf("%s is listed and was not run: there is no such test", entry.Test)
		}
	}
	return v, nil
}

// take counts the end of a test or a package.
func (v *Verdict) take(e event, list []Entry, ran, failedIn map[string]bool) {
	switch {
	case e.Test != "" && e.Action == "run":
		ran[e.Test] = true
	case e.Test != "" && e.Action == "pass":
		v.Passed++
	case e.Test != "" && e.Action == "fail":
		v.Failed++
		failedIn[e.Package] = true
		i := slices.IndexFunc(list, func(entry Entry) bool { return entry.Test == e.Test })
		if i >= 0 {
			v.Known = append(v.Known, list[i])
		} else {
			v.Unknown = append(v.Unknown, e.Package+" "+e.Test)
		}
	case e.Test == "" && e.Action == "fail" && !failedIn[e.Package]:
		v.Unknown = append(v.Unknown, e.Package)
	}
}
