package schema

import (
	"fmt"
	"strings"
)

const markdownHeader = "| key | type | default | range | takes hold | |\n| --- | --- | --- | --- | --- | --- |\n"

// Markdown returns the reference of the keys, as a table of one row a key.
func (t Table) Markdown() string {
	var b strings.Builder
	b.WriteString(markdownHeader)
	for _, k := range t {
		b.WriteString(k.markdownRow())
	}
	return b.String()
}

func (k Key) markdownRow() string {
	typeAndUnit := string(k.Type)
	if k.Unit != "" {
		typeAndUnit += ", " + k.Unit
	}
	def := ""
	if k.Default != "" {
		def = "`" + k.Default + "`"
	}
	appliedBy := "start"
	if k.Reloadable {
		appliedBy = "reload"
	}
	return fmt.Sprintf("| `%s` | %s | %s | %s | %s | %s |\n", k.Name, typeAndUnit, def, k.Range(), appliedBy, k.Doc)
}
