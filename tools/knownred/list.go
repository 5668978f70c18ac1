package main

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
)

// knownFailure is an entry of the list: a test that fails for a real fault that is not mended yet.
type knownFailure struct {
	Package string // as go test takes it, "." or "./internal/x"
	Test    string // the name of one test function
	Command string // what was run, with its seed
	Seen    string // what was seen
	Issue   int    // the open issue, above 0
}

// listSyntaxError is a line of the list that is not in the list's form.
type listSyntaxError struct {
	Line   int    // from 1
	Field  string // the field that the line should have held; empty between two entries
	Reason string
}

func (e *listSyntaxError) Error() string {
	if e.Field == "" {
		return fmt.Sprintf("line %d: %s", e.Line, e.Reason)
	}
	return fmt.Sprintf("line %d: %s: %s", e.Line, e.Field, e.Reason)
}

// field is a line of an entry: its key, and how its value is read. The reason of a value that is refused is returned;
// it is empty when the value is in order.
type field struct {
	key  string
	read func(failure *knownFailure, value string) (reason string)
}

// fields are the lines of an entry, in their order.
var fields = []field{
	{"test", readTest},
	{"command", func(failure *knownFailure, value string) string { failure.Command = value; return "" }},
	{"seen", func(failure *knownFailure, value string) string { failure.Seen = value; return "" }},
	{"issue", readIssue},
}

var testForm = regexp.MustCompile(`^(\./\S+|\.) (Test\w+)$`)

func readTest(failure *knownFailure, value string) string {
	match := testForm.FindStringSubmatch(value)
	if match == nil {
		return fmt.Sprintf("want «./PACKAGE TestNAME», not %q", value)
	}
	failure.Package, failure.Test = match[1], match[2]
	return ""
}

func readIssue(failure *knownFailure, value string) string {
	issue, err := strconv.ParseUint(value, 10, 31)
	if err != nil || issue == 0 {
		return fmt.Sprintf("want a number above 0, not %q", value)
	}
	failure.Issue = int(issue)
	return ""
}

// parseList reads the list: entries of one line a field, parted by one empty line. Its error is a *listSyntaxError.
func parseList(text string) ([]knownFailure, error) {
	if text == "" {
		return nil, nil
	}
	lines := strings.Split(strings.TrimSuffix(text, "\n"), "\n")
	var list []knownFailure
	for first := 0; ; first += len(fields) + 1 {
		failure, err := parseEntry(lines, first)
		if err != nil {
			return nil, err
		}
		if isListed(list, failure) {
			reason := fmt.Sprintf("%s %s is listed twice", failure.Package, failure.Test)
			return nil, &listSyntaxError{Line: first + 1, Field: "test", Reason: reason}
		}
		list = append(list, failure)
		end := first + len(fields)
		if end == len(lines) {
			return list, nil
		}
		if lines[end] != "" {
			reason := fmt.Sprintf("want an empty line after an entry, not %q", lines[end])
			return nil, &listSyntaxError{Line: end + 1, Reason: reason}
		}
	}
}

// parseEntry reads the entry that begins at an index of the lines.
func parseEntry(lines []string, first int) (knownFailure, error) {
	var failure knownFailure
	for i, f := range fields {
		line := first + i
		if line >= len(lines) {
			return failure, &listSyntaxError{Line: line + 1, Field: f.key, Reason: "missing at the end of the list"}
		}
		value, ok := strings.CutPrefix(lines[line], f.key+": ")
		if !ok || value == "" || strings.TrimSpace(value) != value {
			reason := fmt.Sprintf("want «%s: VALUE», not %q", f.key, lines[line])
			return failure, &listSyntaxError{Line: line + 1, Field: f.key, Reason: reason}
		}
		if reason := f.read(&failure, value); reason != "" {
			return failure, &listSyntaxError{Line: line + 1, Field: f.key, Reason: reason}
		}
	}
	return failure, nil
}

// isListed says whether the list has the test of an entry.
func isListed(list []knownFailure, failure knownFailure) bool {
	for _, listed := range list {
		if listed.Package == failure.Package && listed.Test == failure.Test {
			return true
		}
	}
	return false
}

// skipPatterns is, for each package that has listed tests, the go test pattern that matches exactly these.
func skipPatterns(list []knownFailure) map[string]string {
	names := map[string][]string{}
	for _, failure := range list {
		names[failure.Package] = append(names[failure.Package], failure.Test)
	}
	patterns := map[string]string{}
	for pkg, tests := range names {
		patterns[pkg] = "^(" + strings.Join(tests, "|") + ")$"
	}
	return patterns
}
