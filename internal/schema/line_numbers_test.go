package schema

import "testing"

func TestParseLineNumbers(t *testing.T) {
	lines := ParseLineNumbers(`on = true
# on = false
on = false

[ share . "x" ]
part = 1
[[who]]
id = "a"
[[who]]
id = "b"
`)
	for _, c := range []struct {
		name string
		want int
	}{
		{"on", 1},
		{"share.x", 5},
		{"share.x.part", 6},
		{"share.x.kind", 5},
		{"who", 7},
		{"who.0.id", 8},
		{"who.1", 9},
		{"who.1.id", 10},
		{"who.1.id.first", 10},
		{"absent.key", 1},
		{"", 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := lines.Line(c.name); got != c.want {
				t.Errorf("Line(%q) = %d, want %d", c.name, got, c.want)
			}
		})
	}
}
