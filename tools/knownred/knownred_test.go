package main

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// entry returns a well-formed entry of the list, without an empty line after it.
func entry(pkg, test string) string {
	return fmt.Sprintf("test: %s %s\ncommand: SEED=3 go test %s\nseen: 2 of 4 answers\nissue: 7\n", pkg, test, pkg)
}

func TestParseListReadsEveryEntry(t *testing.T) {
	failure := func(pkg, test string) knownFailure {
		return knownFailure{Package: pkg, Test: test, Command: "SEED=3 go test " + pkg, Seen: "2 of 4 answers", Issue: 7}
	}
	cases := []struct {
		name, text string
		want       []knownFailure
	}{
		{"empty list", "", nil},
		{"one entry", firstEntry, []knownFailure{failure("./a", "TestA")}},
		{"no line break at the end", strings.TrimSuffix(firstEntry, "\n"), []knownFailure{failure("./a", "TestA")}},
		{"same test name in two packages", firstEntry + "\n" + entry("./a/b", "TestA"),
			[]knownFailure{failure("./a", "TestA"), failure("./a/b", "TestA")}},
		{"five entries", firstEntry + "\n" + entry(".", "TestA") + "\n" + entry("./a", "TestB") + "\n" + entry("./b", "TestC") + "\n" + entry("./a", "TestD"),
			[]knownFailure{failure("./a", "TestA"), failure(".", "TestA"), failure("./a", "TestB"), failure("./b", "TestC"), failure("./a", "TestD")}},
		{"colons and signs in a value", "test: . TestA\ncommand: go test -run '^TestA$' . # seed: 9\nseen: got: 2, want: 4\nissue: 12\n",
			[]knownFailure{{Package: ".", Test: "TestA", Command: "go test -run '^TestA$' . # seed: 9", Seen: "got: 2, want: 4", Issue: 12}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got, err := parseList(c.text)
			if err != nil || !slices.Equal(got, c.want) {
				t.Errorf("got %+v, %v; want %+v", got, err, c.want)
			}
		})
	}
}

// firstEntry is the first entry of the lists in the cases.
var firstEntry = entry("./a", "TestA")

// changedEntry returns firstEntry with the first occurrence of from replaced by to.
func changedEntry(from, to string) string { return strings.Replace(firstEntry, from, to, 1) }

// malformedLists have one malformed line each. The error must have its line and field.
var malformedLists = []struct {
	name, text string
	line       int
	field      string
}{
	{"same test twice", firstEntry + "\n" + firstEntry, 6, "test"},
	{"same test twice, not in turn", firstEntry + "\n" + entry("./b", "TestB") + "\n" + firstEntry, 11, "test"},
	{"empty line alone", "\n", 1, "test"},
	{"empty line first", "\n" + firstEntry, 1, "test"},
	{"empty line at the end", firstEntry + "\n", 6, "test"},
	{"two empty lines between entries", firstEntry + "\n\n" + entry("./b", "TestB"), 6, "test"},
	{"no empty line between entries", firstEntry + entry("./b", "TestB"), 5, ""},
	{"space in place of the empty line", firstEntry + " \n" + entry("./b", "TestB"), 5, ""},
	{"remark before an entry", "# a remark\n" + firstEntry, 1, "test"},
	{"remark after an entry", firstEntry + "# a remark\n", 5, ""},
	{"further field", firstEntry + "owner: me\n", 5, ""},
	{"field given twice", changedEntry("seen: ", "command: "), 3, "seen"},
	{"fields in another order", changedEntry("test: ./a TestA\ncommand: SEED=3 go test ./a\n", "command: SEED=3 go test ./a\ntest: ./a TestA\n"), 1, "test"},
	{"form of the release before", "./a TestA: it is so (issue 7)\n", 1, "test"},
	{"no test", changedEntry("test: ./a TestA\n", ""), 1, "test"},
	{"no package", changedEntry("./a TestA", "TestA"), 1, "test"},
	{"package without ./", changedEntry("./a TestA", "a TestA"), 1, "test"},
	{"no test name", changedEntry("./a TestA", "./a"), 1, "test"},
	{"benchmark", changedEntry("TestA", "BenchmarkA"), 1, "test"},
	{"two tests in one entry", changedEntry("TestA", "TestA|TestB"), 1, "test"},
	{"pattern for a test name", changedEntry("TestA", "Test.*"), 1, "test"},
	{"no command", changedEntry("command: SEED=3 go test ./a\n", ""), 2, "command"},
	{"empty command", changedEntry("SEED=3 go test ./a", ""), 2, "command"},
	{"space for a command", changedEntry("SEED=3 go test ./a", " "), 2, "command"},
	{"no seen", changedEntry("seen: 2 of 4 answers\n", ""), 3, "seen"},
	{"empty seen", changedEntry("2 of 4 answers", ""), 3, "seen"},
	{"seen on two lines", changedEntry("2 of 4", "2\nof 4"), 4, "issue"},
	{"space at the end of seen", changedEntry("answers", "answers "), 3, "seen"},
	{"no space after the colon", changedEntry("seen: ", "seen:"), 3, "seen"},
	{"line ends of another system", strings.ReplaceAll(firstEntry, "\n", "\r\n"), 1, "test"},
	{"no issue", changedEntry("issue: 7\n", ""), 4, "issue"},
	{"no issue before a next entry", changedEntry("issue: 7\n", "") + "\n" + entry("./b", "TestB"), 4, "issue"},
	{"empty issue", changedEntry("issue: 7", "issue: "), 4, "issue"},
	{"issue in words", changedEntry("issue: 7", "issue: seven"), 4, "issue"},
	{"issue with a sign", changedEntry("issue: 7", "issue: +7"), 4, "issue"},
	{"issue of 0", changedEntry("issue: 7", "issue: 0"), 4, "issue"},
	{"issue of a second entry", firstEntry + "\n" + strings.Replace(entry("./b", "TestB"), "7", "-7", 1), 9, "issue"},
}

func TestParseListRejectsMalformedLine(t *testing.T) {
	for _, c := range malformedLists {
		t.Run(c.name, func(t *testing.T) {
			list, err := parseList(c.text)
			var syntax *listSyntaxError
			if !errors.As(err, &syntax) {
				t.Fatalf("got %+v, %v; want a listSyntaxError", list, err)
			}
			if syntax.Line != c.line || syntax.Field != c.field || syntax.Reason == "" {
				t.Errorf("error %v; want line %d, field %q and a reason", err, c.line, c.field)
			}
		})
	}
}

func TestListSyntaxErrorNamesLineAndField(t *testing.T) {
	cases := []struct{ name, text, want string }{
		{"field missing at the end", "test: ./a TestA\n", "line 2: command: missing at the end of the list"},
		{"another field", "test: ./a TestA\nissue: 7\n", "line 2: command: want «command: VALUE», not \"issue: 7\""},
		{"malformed test", "test: TestA\n", "line 1: test: want «./PACKAGE TestNAME», not \"TestA\""},
		{"malformed issue", strings.Replace(entry("./a", "TestA"), "7", "seven", 1), "line 4: issue: want a number above 0, not \"seven\""},
		{"same test twice", entry("./a", "TestA") + "\n" + entry("./a", "TestA"), "line 6: test: ./a TestA is listed twice"},
		{"line after an entry", entry("./a", "TestA") + "more", "line 5: want an empty line after an entry, not \"more\""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if _, err := parseList(c.text); err == nil || err.Error() != c.want {
				t.Errorf("got %v, want %s", err, c.want)
			}
		})
	}
}

// testModule is a Go module in a temporary directory, in which the go command can run.
type testModule struct{ dir string }

func newTestModule(t *testing.T) testModule {
	t.Helper()
	m := testModule{dir: t.TempDir()}
	m.write(t, "go.mod", "module x\n\ngo 1.26.0\n")
	return m
}

func (m testModule) write(t *testing.T, name, text string) {
	t.Helper()
	path := filepath.Join(m.dir, name)
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		t.Fatal(err)
	}
}

// addTest adds a test function to a package, in a separate file.
func (m testModule) addTest(t *testing.T, pkg, name, body string) {
	t.Helper()
	text := "package x\n\nimport \"testing\"\n\nfunc " + name + "(t *testing.T) { " + body + " }\n"
	m.write(t, pkg+"/"+strings.ToLower(name)+"_test.go", text)
}

// runList writes the list to the module, runs the module's tests and returns what run prints.
func (m testModule) runList(t *testing.T, list string) (printed string, err error) {
	t.Helper()
	m.write(t, listFile, list)
	var out bytes.Buffer
	err = run(m.dir, []string{"-count=1"}, &out)
	return out.String(), err
}

// Listed tests run and are printed, but do not affect the result. Every other test does, including a test of the same
// name in another package.
func TestRunIgnoresOnlyListedFailures(t *testing.T) {
	m := newTestModule(t)
	m.addTest(t, "a", "TestRed", `panic("t")`)
	m.addTest(t, "a", "TestGreen", "")
	m.addTest(t, "b", "TestRed", "")
	cases := []struct {
		name, list, prints string
		passes             bool
	}{
		{"failure that is not listed", "", "FAIL\tx/a", false},
		{"failure that is listed", entry("./a", "TestRed"), "known red: ./a TestRed fails, as known: 2 of 4 answers (issue 7)\n", true},
		{"listed test that passes", entry("./a", "TestRed") + "\n" + entry("./b", "TestRed"), "./b TestRed passes now", true},
		{"test of the same name listed elsewhere", entry("./b", "TestRed"), "FAIL\tx/a", false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			printed, err := m.runList(t, c.list)
			if (err == nil) != c.passes || !strings.Contains(printed, c.prints) {
				t.Errorf("error %v, want none: %t; want %q in the output\n%s", err, c.passes, c.prints, printed)
			}
		})
	}
}

// The list has more than three entries: their number is not limited.
func TestRunPrintsEveryListedTest(t *testing.T) {
	m := newTestModule(t)
	var list []string
	for _, name := range []string{"TestA", "TestB", "TestC", "TestD", "TestE"} {
		m.addTest(t, "a", name, "t.Fail()")
		list = append(list, entry("./a", name))
	}
	printed, err := m.runList(t, strings.Join(list, "\n"))
	if err != nil || strings.Count(printed, "known red: ./a Test") != len(list) {
		t.Errorf("error %v, want none and %d listed tests in the output\n%s", err, len(list), printed)
	}
}

func TestRunFailsOnUnlistedFailureBesideListedOne(t *testing.T) {
	m := newTestModule(t)
	m.addTest(t, "a", "TestRed", "t.Fail()")
	m.addTest(t, "a", "TestOther", "t.Fail()")
	if printed, err := m.runList(t, entry("./a", "TestRed")); err == nil {
		t.Errorf("run returned no error for a failure that is not listed\n%s", printed)
	}
}

func TestRunRejectsInvalidList(t *testing.T) {
	m := newTestModule(t)
	m.addTest(t, "a", "TestRed", "t.Fail()")
	cases := []struct {
		name, list string
		want       any // the type of the error
	}{
		{"test that does not exist", entry("./a", "TestRed") + "\n" + entry("./a", "TestNone"), new(*missingTestError)},
		{"prefix of a test's name", entry("./a", "TestRe"), new(*missingTestError)},
		{"package that does not exist", entry("./none", "TestRed"), new(*missingTestError)},
		{"malformed entry", "TestRed\n", new(*listSyntaxError)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			printed, err := m.runList(t, c.list)
			if !errors.As(err, c.want) || !strings.HasPrefix(err.Error(), listFile+": ") {
				t.Errorf("error %v, want one of type %T that begins with the file's name\n%s", err, c.want, printed)
			}
		})
	}
}
