package eventlog

import (
	"fmt"
	"slices"
	"strings"
)

// Events returns all registered events, sorted by name.
func Events() []*Event {
	byName := func(a, b *Event) int { return strings.Compare(a.Name, b.Name) }
	return slices.SortedFunc(slices.Values(registry), byName)
}

// MarkdownTable returns the table of all events in Markdown, for docs/oncall.md.
func MarkdownTable() string {
	var b strings.Builder
	b.WriteString("| line | component, level | what it means | what to do |\n| --- | --- | --- | --- |\n")
	for _, e := range Events() {
		line := strings.TrimSpace("event=" + e.Name + " " + strings.Join(e.Fields, " "))
		fmt.Fprintf(&b, "| `%s` | %s, %s | %s | %s |\n", line, e.Component, e.Level, e.Meaning, e.Action)
	}
	return b.String()
}

// MarkdownRenames returns a row (kind, old name, new name) for each event and field that this release renames, for the
// table in docs/oncall.md.
func MarkdownRenames() string {
	var names, fields strings.Builder
	for _, e := range Events() {
		if e.FormerName != "" {
			fmt.Fprintf(&names, "| event | `event=%s` | `event=%s` |\n", e.FormerName, e.Name)
		}
		for _, f := range e.FormerFields {
			fmt.Fprintf(&fields, "| field of `event=%s` | `%s=` | `%s=` |\n", e.Name, f.Old, f.New)
		}
	}
	return names.String() + fields.String()
}
