package event

import (
	"fmt"
	"strings"
)

// Table is the table of all events in Markdown, as docs/oncall.md has it.
func Table() string {
	var b strings.Builder
	b.WriteString("| line | part, level | what it means | what to do |\n| --- | --- | --- | --- |\n")
	for _, k := range Kinds() {
		line := strings.TrimSpace("event=" + k.Name + " " + strings.Join(k.Fields, " "))
		fmt.Fprintf(&b, "| `%s` | %s, %s | %s | %s |\n", line, k.Part, k.Level, k.Means, k.Do)
	}
	return b.String()
}
