package schema

import (
	"fmt"
	"strings"
)

// Markdown is the reference of the table.
func (t Table) Markdown() string {
	var b strings.Builder
	b.WriteString("| key | type | default | range | takes hold | |\n| --- | --- | --- | --- | --- | --- |\n")
	for _, k := range t {
		def, hold := "", "start"
		if k.Default != "" {
			def = "`" + k.Default + "`"
		}
		if k.Reloadable {
			hold = "reload"
		}
		unit := string(k.Type)
		if k.Unit != "" {
			unit += ", " + k.Unit
		}
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s | %s |\n", k.Name, unit, def, k.Range(), hold, k.Doc)
	}
	return b.String()
}
