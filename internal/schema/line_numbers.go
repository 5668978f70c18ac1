package schema

import (
	"strconv"
	"strings"
)

// LineNumbers maps the dotted names of sections and keys to their lines, counted from 1.
type LineNumbers map[string]int

// ParseLineNumbers finds the lines of the sections and keys of a TOML text, which the TOML decoder does not report.
// It looks at one line at a time: a text that is not TOML, or has a string of several lines, may give wrong line
// numbers, but never a panic.
func ParseLineNumbers(text string) LineNumbers {
	lines := LineNumbers{}
	section := ""
	tables := map[string]int{} // number of tables seen so far in each array of tables
	for i, line := range strings.Split(text, "\n") {
		number := i + 1
		line = strings.TrimSpace(line)
		if isHeader(line) {
			section = headerName(line)
			if strings.HasPrefix(line, "[[") {
				lines.add(section, number)
				index := tables[section]
				tables[section]++
				section += "." + strconv.Itoa(index)
			}
			lines.add(section, number)
			continue
		}
		if key, _, ok := strings.Cut(line, "="); ok && !strings.HasPrefix(line, "#") {
			lines.add(joinName(section, normalizeName(key)), number)
		}
	}
	return lines
}

// Line returns the line of a name, or that of the nearest section or key above it in the name, or 1 if there is
// neither.
func (l LineNumbers) Line(name string) int {
	for name != "" {
		if line, ok := l[name]; ok {
			return line
		}
		name = parentName(name)
	}
	return 1
}

// add sets the line of a name, unless an earlier line has set it.
func (l LineNumbers) add(name string, line int) {
	if _, ok := l[name]; !ok {
		l[name] = line
	}
}

// isHeader reports whether a line starts a table. A line that begins with [ and has an = belongs to a list of several
// lines.
func isHeader(line string) bool {
	return strings.HasPrefix(line, "[") && !strings.Contains(line, "=")
}

// headerName returns the name in a line such as [name] or [[name]].
func headerName(line string) string {
	inner := strings.Trim(strings.TrimLeft(line, "["), " ")
	name, _, _ := strings.Cut(inner, "]")
	return normalizeName(name)
}

// normalizeName removes quotes and blanks around the segments of a dotted name.
func normalizeName(name string) string {
	segments := strings.Split(name, ".")
	for i, s := range segments {
		segments[i] = strings.Trim(strings.TrimSpace(s), `"'`)
	}
	return strings.Join(segments, ".")
}

// parentName returns a dotted name without its last segment, "" for a name of one segment.
func parentName(name string) string {
	return name[:max(0, strings.LastIndex(name, "."))]
}
