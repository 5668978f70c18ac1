package schema

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	_ "linkpass/internal/seeded"
)

// Lines of a file, each as it may stand and whether it is right; sections in their order.
type line struct {
	section, text, key string
	sound              bool
}

var lines = []line{
	{"", `listen = "127.0.0.1:9"`, "listen", true}, {"", `listen = "here"`, "listen", false}, {"", `listen = ":0"`, "listen", false},
	{"", `on = false`, "on", true}, {"", `on = "yes"`, "on", false}, {"", `sets = [["a"], []]`, "sets", true}, {"", `sets = [["a", 1]]`, "sets", false},
	{"", `names = ["a"]`, "names", true}, {"", `names = [["a"]]`, "names", false}, {"", `names = "a"`, "names", false},
	{"pace", `wait = "10ms"`, "pace.wait", true}, {"pace", `wait = "9ms"`, "pace.wait", false}, {"pace", `wait = "1m1ns"`, "pace.wait", false},
	{"pace", `wait = 5`, "pace.wait", false}, {"pace", `moves = 9`, "pace.moves", true}, {"pace", `moves = 0`, "pace.moves", false},
	{"pace", `moves = 1.5`, "pace.moves", false}, {"pace", `speed = 1`, "pace.speed", false},
	{"share.x", `part = 1`, "share.x.part", true}, {"share.x", `part = 1.01`, "share.x.part", false}, {"share.x", `kind = "b"`, "share.x.kind", true},
	{"share.x", `kind = "c"`, "share.x.kind", false}, {"share.x.y", `part = 1`, "share.x.y.part", false},
	{"[who]", `id = "n"`, "who.0.id", true}, {"[who]", `id = 1`, "who.0.id", false},
	{"rest", `what = { ever = 1 }`, "rest", true},
}

// Whatever is wrong is told, all of it at once, each at its line; and nothing else is.
func TestReadReportsEveryErrorAtItsLine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var text strings.Builder
		want := map[string]bool{}
		section, at := "", 0
		seen := map[string]bool{}
		for _, l := range lines { // in order of their sections
			if seen[l.key] || !rapid.Bool().Draw(t, l.text) {
				continue
			}
			seen[l.key] = true
			if l.section != section {
				section = l.section
				fmt.Fprintf(&text, "# more\n[%s]\n", section)
				at += 2
			}
			fmt.Fprintln(&text, l.text)
			if at++; !l.sound {
				want[fmt.Sprintf("f.toml:%d: ", at)+l.key] = true
			}
		}
		_, faults := table.Read("f.toml", text.String())
		if len(faults) != len(want) {
			t.Fatalf("%v, want %v in\n%s", faults, want, &text)
		}
		for _, f := range faults {
			place, _, _ := strings.Cut(strings.Replace(f.Error(), "unknown key ", "", 1), " is ")
			if name, _, _ := strings.Cut(place[strings.LastIndex(place, ": ")+2:], " "); !want[place[:strings.LastIndex(place, ": ")+2]+name] {
				t.Fatalf("%v is none of %v in\n%s", f, want, &text)
			}
		}
	})
}

// A text that is no TOML has one fault, with its line, and never a panic.
func TestReadInvalidTOML(t *testing.T) {
	if _, faults := table.Read("f", "on = true\n[pace\nwait = 5"); len(faults) != 1 || faults[0].Line < 2 {
		t.Error(faults)
	}
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.StringOf(rapid.SampledFrom([]rune("[]{}=.,\"'#\\\n ab1"))).Draw(t, "text")
		table.Read("f", text)
	})
}
