package eventlog

import (
	"fmt"
	"strings"
)

// MarkdownTable is the table of all events in Markdown, as docs/oncall.md has it.
func MarkdownTable() string {
	var b strings.Builder
	b.WriteString("| line | part, level | what it means | what to do |\n| --- | --- | --- | --- |\n")
	for _, k := range Events() {
		line := strings.TrimSpace("event=" + k.Name + " " + strings.Join(k.Fields, " "))
		fmt.Fprintf(&b, "| `%s` | %s, %s | %s | %s |\n", line, k.Component, k.Level, k.Meaning, k.Action)
	}
	return b.String()
}
