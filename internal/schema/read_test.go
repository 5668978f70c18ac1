package schema

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	_ "linkpass/internal/testrand"
)

// fileLine is a line that a file may have. Only a valid one is read without an error.
type fileLine struct {
	section, text, key string
	valid              bool
}

// fileLines are sorted by section.
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

// Every error is reported at once, each at its line, and nothing else is.
func TestReadReportsEveryErrorAtItsLine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text, want := drawFile(t)
		_, errs := table.Read("f.toml", text)
		if len(errs) != len(want) {
			t.Fatalf("%v, want %v in\n%s", errs, want, text)
		}
		for _, err := range errs {
			if got := positionAndKey(err); !want[got] {
				t.Fatalf("%v is none of %v in\n%s", err, want, text)
			}
			if got := fmt.Sprintf("%s:%d: %s", err.File, err.Line, err.Key); !want[got] {
				t.Fatalf("fields %s are none of %v in\n%s", got, want, text)
			}
		}
	})
}

// drawFile returns a file of some of the lines, each key at most once, and position and key of the errors in it.
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

// positionAndKey cuts "file:line: key" out of the text of an error.
func positionAndKey(err Error) string {
	text := strings.Replace(err.Error(), "unknown key ", "", 1)
	text, _, _ = strings.Cut(text, " is ")
	keyStart := strings.LastIndex(text, ": ") + len(": ")
	key, _, _ := strings.Cut(text[keyStart:], " ")
	return text[:keyStart] + key
}

// A text that is not TOML has one error, with its line, and never leads to a panic.
func TestReadInvalidTOML(t *testing.T) {
	_, errs := table.Read("f", "on = true\n[pace\nwait = 5")
	if len(errs) != 1 || errs[0].Line < 2 {
		t.Error(errs)
	}
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.StringOf(rapid.SampledFrom([]rune("[]{}=.,\"'#\\\n ab1"))).Draw(t, "text")
		table.Read("f", text)
	})
}

func TestReadAcceptsEmptyStrings(t *testing.T) {
	_, errs := table.Read("f", "listen = \"\"\n[pace]\nwait = \"\"\n[share.x]\nkind = \"\"")
	if len(errs) != 0 {
		t.Error(errs)
	}
}
