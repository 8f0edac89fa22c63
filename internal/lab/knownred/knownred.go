// Package knownred evaluates a test run in which a few tests may fail. A file lists these tests, each with its cause and its issue, because
// their fault is known and not fixed yet.
//
//	the file lists more than MaxEntries tests, or has an invalid line  an error
//	a listed test was not run                                          an error, because the test does not exist
//	an unlisted test fails, or a package fails without a failed test   the run fails
//	no test fails, or only listed ones do                              the run passes, and the failed tests are reported
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

// MaxEntries is the maximum number of listed tests.
const MaxEntries = 3

// Entry is one line of the file: "TestName: cause (issue 7)".
type Entry struct {
	Test, Cause, Issue string
}

var linePattern = regexp.MustCompile(`^(Test\w*): (\S.*) \(issue (\d+)\)$`)

// Parse reads the list of known failures. It ignores blank lines.
func Parse(in io.Reader) ([]Entry, error) {
	var list []Entry
	lines := bufio.NewScanner(in)
	for lines.Scan() {
		line := strings.TrimSpace(lines.Text())
		if line == "" {
			continue
		}
		fields := linePattern.FindStringSubmatch(line)
		if fields == nil {
			return nil, fmt.Errorf("invalid line %q, want \"TestName: cause (issue 7)\"", line)
		}
		list = append(list, Entry{Test: fields[1], Cause: fields[2], Issue: fields[3]})
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("reading the list of known failures: %w", err)
	}
	if len(list) > MaxEntries {
		return nil, fmt.Errorf("%d tests are listed, at most %d are allowed", len(list), MaxEntries)
	}
	return list, nil
}

// Verdict is the result of a test run.
type Verdict struct {
	Passed, Failed int      // numbers of top-level tests
	Known          []Entry  // failed tests that are listed
	Unknown        []string // failed tests that are not listed, and packages that failed without a failed test
}

// OK reports whether the run has passed.
func (v Verdict) OK() bool { return len(v.Unknown) == 0 }

// event is a line of the output of go test -json.
type event struct {
	Action, Package, Test, Output string
}

// Judge evaluates the output of go test -json against the list, and copies the tests' own output to out.
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
			return v, fmt.Errorf("reading the output of go test -json: %w", err)
		}
		if e.Action == "output" {
			_, _ = io.WriteString(out, e.Output)
		}
		if strings.Contains(e.Test, "/") {
			continue
		}
		v.record(e, list, ran, failedIn)
	}
	for _, entry := range list {
		if !ran[entry.Test] {
			return v, fmt.Errorf("listed test %s was not run: there is no such test", entry.Test)
		}
	}
	return v, nil
}

// record records the start or end of a test, or the failure of a package.
func (v *Verdict) record(e event, list []Entry, ran, failedIn map[string]bool) {
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
