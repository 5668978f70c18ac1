package main

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
)

// knownFailure is an entry of the list: a test that fails because of a real fault that is not fixed yet.
type knownFailure struct {
	Package string // as go test takes it, "." or "./internal/x"
	Test    string // the name of one test function
	Command string // command that showed the failure, with its seed
	Seen    string // result of that command
	Issue   int    // number of the open issue, above 0
}

// listSyntaxError reports a malformed line of the list.
type listSyntaxError struct {
	Line   int    // counted from 1
	Field  string // field that was expected in the line; empty between two entries
	Reason string
}

func (e *listSyntaxError) Error() string {
	if e.Field == "" {
		return fmt.Sprintf("line %d: %s", e.Line, e.Reason)
	}
	return fmt.Sprintf("line %d: %s: %s", e.Line, e.Field, e.Reason)
}

// field is a line of an entry: its key, and the function that reads its value into the entry. The function returns the
// reason why it rejects a value, "" if it accepts it.
type field struct {
	key  string
	read func(failure *knownFailure, value string) (reason string)
}

// fields are the lines of an entry, in order.
var fields = []field{
	{"test", readTest},
	{"command", func(failure *knownFailure, value string) string { failure.Command = value; return "" }},
	{"seen", func(failure *knownFailure, value string) string { failure.Seen = value; return "" }},
	{"issue", readIssue},
}

var testValuePattern = regexp.MustCompile(`^(\./\S+|\.) (Test\w+)$`)

func readTest(failure *knownFailure, value string) string {
	match := testValuePattern.FindStringSubmatch(value)
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

// parseList reads the list. An entry has one line per field; one empty line separates two entries. An error is a
// *listSyntaxError.
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

// parseEntry reads the entry that begins at lines[first]. An error is a *listSyntaxError.
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

// isListed reports whether the list has an entry for the same test.
func isListed(list []knownFailure, failure knownFailure) bool {
	for _, listed := range list {
		if listed.Package == failure.Package && listed.Test == failure.Test {
			return true
		}
	}
	return false
}

// skipPatterns returns, for each package with listed tests, the go test pattern that matches exactly those tests.
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
