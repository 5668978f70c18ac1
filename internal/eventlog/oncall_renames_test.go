package eventlog_test

import (
	"bytes"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"linkpass/internal/eventlog"
	"linkpass/internal/outcome"
)

// The table of renames in docs/oncall.md is between these lines and has this header.
const (
	renamesBegin  = "<!-- renames -->\n"
	renamesEnd    = "<!-- end -->\n"
	renamesHeader = "| kind | old name | new name |\n| --- | --- | --- |\n"
)

// renameRow is a row of the table of renames.
type renameRow struct{ kind, old, new string }

// readOncallPage returns docs/oncall.md in three parts: the text before the table of renames, the table, the text
// after it.
func readOncallPage(t *testing.T) (before, table, after string) {
	t.Helper()
	page, err := os.ReadFile(oncallPath())
	if err != nil {
		t.Fatal(err)
	}
	before, rest, begins := strings.Cut(string(page), renamesBegin)
	table, after, ends := strings.Cut(rest, renamesEnd)
	if !begins || !ends {
		t.Fatal("docs/oncall.md lacks the lines that mark the table of renames")
	}
	return before, table, after
}

func oncallPath() string { return filepath.Join("..", "..", "docs", "oncall.md") }

// readRenames returns the rows of the table of renames, as a reader of the page sees them.
func readRenames(t *testing.T) []renameRow {
	t.Helper()
	_, table, _ := readOncallPage(t)
	var rows []renameRow
	for line := range strings.Lines(strings.TrimPrefix(table, renamesHeader)) {
		cells := strings.Split(strings.Trim(strings.TrimSpace(line), "|"), " | ")
		if len(cells) != 3 {
			t.Fatalf("row has %d cells, want 3: %s", len(cells), line)
		}
		for i, c := range cells {
			cells[i] = strings.TrimSpace(c)
		}
		rows = append(rows, renameRow{cells[0], strings.Trim(cells[1], "`"), strings.Trim(cells[2], "`")})
	}
	return rows
}

// newName returns the new name that the table of renames has for an old name of that kind, or the old name if it has no
// row.
func newName(rows []renameRow, kind, old string) string {
	i := slices.IndexFunc(rows, func(r renameRow) bool { return r.kind == kind && r.old == old })
	if i < 0 {
		return old
	}
	return rows[i].new
}

// readLines returns the lines of a file under testdata.
func readLines(t *testing.T, file string) []string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", file))
	if err != nil {
		t.Fatal(err)
	}
	return strings.Split(strings.TrimSpace(string(text)), "\n")
}

// eventByName returns the registered event, nil if there is none.
func eventByName(name string) *eventlog.Event {
	for _, e := range eventlog.Events() {
		if e.Name == name {
			return e
		}
	}
	return nil
}

// sourceStrings returns every string literal of the program, except those of tests and of the registry of events.
func sourceStrings(t *testing.T) map[string]bool {
	t.Helper()
	literals := map[string]bool{}
	visit := func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.IsDir() {
			if slices.Contains([]string{"testdata", "eventlog"}, d.Name()) {
				return filepath.SkipDir
			}
			return nil
		}
		isSource := strings.HasSuffix(path, ".go") && !strings.HasSuffix(path, "_test.go")
		if !isSource {
			return nil
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		ast.Inspect(file, func(n ast.Node) bool {
			if lit, ok := n.(*ast.BasicLit); ok && lit.Kind == token.STRING {
				text, _ := strconv.Unquote(lit.Value) // cannot fail: the parser accepted the literal
				literals[text] = true
			}
			return true
		})
		return nil
	}
	for _, root := range []string{"internal", "cmd"} {
		if err := filepath.WalkDir(filepath.Join("..", "..", root), visit); err != nil {
			t.Fatal(err)
		}
	}
	return literals
}

// The page has a row for each registered rename of an event, field, counter or outcome, and no other row. UPDATE_DOCS=1
// writes the table.
func TestOncallRenameTableMatchesRegistries(t *testing.T) {
	before, table, after := readOncallPage(t)
	want := renamesHeader + eventlog.MarkdownRenames() + markdownCounterRenames() + markdownOutcomeRenames()
	if os.Getenv("UPDATE_DOCS") != "" {
		page := before + renamesBegin + want + renamesEnd + after
		if err := os.WriteFile(oncallPath(), []byte(page), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	if table != want {
		t.Errorf("docs/oncall.md differs from the registered renames "+
			"(UPDATE_DOCS=1 go test ./internal/eventlog writes them)\ngot\n%s\nwant\n%s", table, want)
	}
}

// The program uses every new name in the table and none of the old ones, and no old name has two rows of one kind.
func TestRenameTableHasPresentNames(t *testing.T) {
	literals := sourceStrings(t)
	seen := map[renameRow]bool{}
	for _, row := range readRenames(t) {
		t.Run(row.kind+" "+row.old, func(t *testing.T) {
			key := renameRow{kind: row.kind, old: row.old}
			if seen[key] {
				t.Errorf("%s %s has a second row", row.kind, row.old)
			}
			seen[key] = true
			if row.old == row.new {
				t.Errorf("old and new name are both %s", row.old)
			}
			checkRow(t, row, literals)
		})
	}
}

func checkRow(t *testing.T, row renameRow, literals map[string]bool) {
	t.Helper()
	event, isField := strings.CutPrefix(row.kind, "field of ")
	switch {
	case row.kind == "event":
		if eventByName(strings.TrimPrefix(row.new, "event=")) == nil {
			t.Errorf("new name %s is not registered", row.new)
		}
		if eventByName(strings.TrimPrefix(row.old, "event=")) != nil {
			t.Errorf("old name %s is still registered", row.old)
		}
	case isField:
		e := eventByName(strings.TrimPrefix(strings.Trim(event, "`"), "event="))
		if e == nil {
			t.Fatalf("%s is not registered", event)
		}
		if !slices.Contains(e.Fields, strings.TrimSuffix(row.new, "=")) {
			t.Errorf("%s has no field %s", event, row.new)
		}
		if slices.Contains(e.Fields, strings.TrimSuffix(row.old, "=")) {
			t.Errorf("%s still has a field %s", event, row.old)
		}
	case row.kind == "counter" || row.kind == "counters that begin with":
		if !literals[row.new] {
			t.Errorf("no source file has the new counter name %s", row.new)
		}
		if literals[row.old] {
			t.Errorf("a source file still has the old counter name %s", row.old)
		}
	case row.kind == "outcome":
		checkOutcomeRow(t, row)
	default:
		t.Errorf("row has the unknown kind %q", row.kind)
	}
}

// Alerts written for the previous release match event=NAME, or a field of that line. testdata/former_events.txt has
// all events of that release with their fields. The table of renames leads from each of them to the present line and
// fields.
func TestFormerEventLinesFoundByRenameTable(t *testing.T) {
	rows := readRenames(t)
	found := map[string]bool{}
	for _, former := range readLines(t, "former_events.txt") {
		words := strings.Fields(former)
		t.Run(words[0], func(t *testing.T) {
			pattern := newName(rows, "event", "event="+words[0])
			e := eventByName(strings.TrimPrefix(pattern, "event="))
			if e == nil {
				t.Fatalf("the table leads to %s, which is not registered", pattern)
			}
			found[e.Name] = true
			var fields []string
			for _, field := range words[1:] {
				fields = append(fields, strings.TrimSuffix(newName(rows, "field of `"+pattern+"`", field+"="), "="))
			}
			if !slices.Equal(fields, e.Fields) {
				t.Errorf("the table leads to the fields %v, want the line's fields %v", fields, e.Fields)
			}
			if line := textLine(e); !strings.Contains(line+" ", " "+pattern+" ") {
				t.Errorf("line = %q, want it to contain %s", line, pattern)
			}
		})
	}
	for _, e := range eventlog.Events() {
		if e.FormerName != "" && !found[e.Name] {
			t.Errorf("event=%s has the former name %s, which the previous release did not log", e.Name, e.FormerName)
		}
	}
}

// textLine returns the line that the event writes as text, without the line break.
func textLine(e *eventlog.Event) string {
	var out bytes.Buffer
	eventlog.SetOutput(&out, false)
	defer eventlog.SetOutput(os.Stderr, false)
	values := make([]any, len(e.Fields))
	for i := range values {
		values[i] = i
	}
	e.Log(values...)
	return strings.TrimSuffix(out.String(), "\n")
}

// checkOutcomeRow checks that the new name is that of an outcome. The old name must no longer be in use, unless another
// outcome has taken it over and has a row that says so.
func checkOutcomeRow(t *testing.T, row renameRow) {
	t.Helper()
	names := map[string]bool{}
	for o := range outcome.Count {
		names[outcome.Outcome(o).String()] = true
	}
	if !names[row.new] {
		t.Errorf("new name %s is not that of an outcome", row.new)
	}
	reused := slices.ContainsFunc(outcomeRenames, func(r outcomeRename) bool { return r.New == row.old })
	if names[row.old] && !reused {
		t.Errorf("old name %s is still that of an outcome", row.old)
	}
}

// The table of renames leads from every outcome of the previous release to the same outcome's present name.
func TestFormerOutcomesFoundByRenameTable(t *testing.T) {
	former := readLines(t, "former_outcomes.txt")
	if len(former) != outcome.Count {
		t.Errorf("former outcomes = %d, want %d", len(former), outcome.Count)
	}
	rows := readRenames(t)
	for i, old := range former {
		if got, want := newName(rows, "outcome", old), outcome.Outcome(i).String(); got != want {
			t.Errorf("the table leads from %s to %s, want %s", old, got, want)
		}
	}
}

// testdata/former_counters.txt has the counter names and prefixes of the previous release. Each is still in use, or the
// table of renames leads to a name that is.
func TestFormerCountersFoundByRenameTable(t *testing.T) {
	rows, literals := readRenames(t), sourceStrings(t)
	former := readLines(t, "former_counters.txt")
	for _, old := range former {
		t.Run(old, func(t *testing.T) {
			name := newName(rows, "counter", old)
			if strings.HasSuffix(old, "_") {
				name = newName(rows, "counters that begin with", old)
			}
			if !literals[name] {
				t.Errorf("the table leads to %s, which no source file has", name)
			}
		})
	}
	for _, r := range counterRenames {
		if !slices.Contains(former, r.Old) || r.IsPrefix != strings.HasSuffix(r.Old, "_") {
			t.Errorf("%+v: not a counter of the previous release, or IsPrefix is wrong", r)
		}
	}
}
