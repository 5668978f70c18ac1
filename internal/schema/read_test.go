package schema

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	_ "linkpass/internal/testrand"
)

// fileLine is a line that drawFile may put in a file: its section, its text and its key. Read reports an error for it
// unless it is valid.
type fileLine struct {
	section, text, key string
	valid              bool
}

// fileLines are grouped by section, as drawFile writes each header once.
var fileLines = []fileLine{
	{"", `listen = "127.0.0.1:9"`, "listen", true},
	{"", `listen = "here"`, "listen", false},
	{"", `listen = ":0"`, "listen", false},
	{"", `on = false`, "on", true},
	{"", `on = "yes"`, "on", false},
	{"", `sets = [["a"], []]`, "sets", true},
	{"", `sets = [["a", 1]]`, "sets", false},
	{"", `names = ["a"]`, "names", true},
	{"", `names = [["a"]]`, "names", false},
	{"", `names = "a"`, "names", false},
	{"pace", `wait = "10ms"`, "pace.wait", true},
	{"pace", `wait = "9ms"`, "pace.wait", false},
	{"pace", `wait = "1m1ns"`, "pace.wait", false},
	{"pace", `wait = 5`, "pace.wait", false},
	{"pace", `moves = 9`, "pace.moves", true},
	{"pace", `moves = 0`, "pace.moves", false},
	{"pace", `moves = 1.5`, "pace.moves", false},
	{"pace", `speed = 1`, "pace.speed", false},
	{"share.x", `part = 1`, "share.x.part", true},
	{"share.x", `part = 1.01`, "share.x.part", false},
	{"share.x", `kind = "b"`, "share.x.kind", true},
	{"share.x", `kind = "c"`, "share.x.kind", false},
	{"share.x.y", `part = 1`, "share.x.y.part", false},
	{"[who]", `id = "n"`, "who.0.id", true},
	{"[who]", `id = 1`, "who.0.id", false},
	{"rest", `what = { ever = 1 }`, "rest", true},
}

// One call of Read reports every error of a file with its line, and no other error.
func TestReadReportsEveryErrorAtItsLine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text, want := drawFile(t)
		_, errs := table.Read("f.toml", text)
		if len(errs) != len(want) {
			t.Fatalf("errors = %v, want %v in\n%s", errs, want, text)
		}
		for _, err := range errs {
			if got := positionAndKey(err); !want[got] {
				t.Fatalf("error %v is not one of %v in\n%s", err, want, text)
			}
			if got := fmt.Sprintf("%s:%d: %s", err.File, err.Line, err.Key); !want[got] {
				t.Fatalf("error fields %s are not one of %v in\n%s", got, want, text)
			}
		}
	})
}

// drawFile returns the text of a file with some of the lines, each key at most once, and the position and key of each
// error in it.
func drawFile(t *rapid.T) (text string, want map[string]bool) {
	var b strings.Builder
	want = map[string]bool{}
	seen := map[string]bool{}
	section, number := "", 0
	for _, l := range fileLines {
		if seen[l.key] || !rapid.Bool().Draw(t, l.text) {
			continue
		}
		seen[l.key] = true
		if l.section != section {
			section = l.section
			fmt.Fprintf(&b, "# more\n[%s]\n", section)
			number += 2
		}
		fmt.Fprintln(&b, l.text)
		number++
		if !l.valid {
			want[fmt.Sprintf("f.toml:%d: %s", number, l.key)] = true
		}
	}
	return b.String(), want
}

// positionAndKey returns the part "file:line: key" of an error's text.
func positionAndKey(err Error) string {
	text := strings.Replace(err.Error(), "unknown key ", "", 1)
	text, _, _ = strings.Cut(text, " is ")
	keyStart := strings.LastIndex(text, ": ") + len(": ")
	key, _, _ := strings.Cut(text[keyStart:], " ")
	return text[:keyStart] + key
}

// A text that is not TOML gives one error with its line, and never a panic.
func TestReadReportsOneErrorForInvalidTOML(t *testing.T) {
	_, errs := table.Read("f", "on = true\n[pace\nwait = 5")
	if len(errs) != 1 || errs[0].Line < 2 {
		t.Errorf("errors = %v, want one at line 2 or later", errs)
	}
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.StringOf(rapid.SampledFrom([]rune("[]{}=.,\"'#\\\n ab1"))).Draw(t, "text")
		table.Read("f", text)
	})
}

func TestReadAcceptsEmptyStrings(t *testing.T) {
	_, errs := table.Read("f", "listen = \"\"\n[pace]\nwait = \"\"\n[share.x]\nkind = \"\"")
	if len(errs) != 0 {
		t.Errorf("errors = %v, want none", errs)
	}
}
