package schema

import (
	"strconv"
	"strings"
)

// LineNumbers are the lines on which names stand.
type LineNumbers map[string]int

// ParseLineNumbers finds where a TOML text names its sections and keys. A text that is no TOML may lead to wrong lines, never
// to a panic.
func ParseLineNumbers(text string) LineNumbers {
	at := LineNumbers{}
	section := ""
	arrays := map[string]int{}
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "[") && !strings.Contains(line, "=") {
			inner, _, _ := strings.Cut(strings.Trim(strings.TrimLeft(line, "["), " "), "]")
			section = plain(inner)
			if strings.HasPrefix(line, "[[") {
				n := arrays[section]
				arrays[section]++
				at.note(section, i+1)
				section += "." + strconv.Itoa(n)
			}
			at.note(section, i+1)
			continue
		}
		if name, _, ok := strings.Cut(line, "="); ok && !strings.HasPrefix(line, "#") {
			at.note(strings.TrimPrefix(section+"."+plain(name), "."), i+1)
		}
	}
	return at
}

// note keeps the first line of a name.
func (p LineNumbers) note(name string, line int) {
	if _, ok := p[name]; !ok {
		p[name] = line
	}
}

// plain is a dotted name without quotes and blanks.
func plain(name string) string {
	steps := strings.Split(name, ".")
	for i, s := range steps {
		steps[i] = strings.Trim(strings.TrimSpace(s), `"'`)
	}
	return strings.Join(steps, ".")
}

// Of is the line of a name, or of the nearest that it lies under; 1 where none is known.
func (p LineNumbers) Of(name string) int {
	for ; name != ""; name = name[:max(0, strings.LastIndex(name, "."))] {
		if line, ok := p[name]; ok {
			return line
		}
	}
	return 1
}
