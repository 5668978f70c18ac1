package daemon

import (
	"fmt"
	"strings"
	"testing"

	"linkpass/internal/schema"
)

const referenceHeader = "| key | type | default | range | takes hold | |\n| --- | --- | --- | --- | --- | --- |\n"

// markdownReference returns the reference of the keys: a table with a row for each key.
func markdownReference(keys schema.Table) string {
	var b strings.Builder
	b.WriteString(referenceHeader)
	for _, k := range keys {
		b.WriteString(markdownRow(k))
	}
	return b.String()
}

func markdownRow(k schema.Key) string {
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

func TestMarkdownReferenceHasRowPerKey(t *testing.T) {
	for _, c := range []struct {
		name, want string
		key        schema.Key
	}{
		{"name and type alone", "| `a` | string |  |  | start |  |\n", schema.Key{Name: "a", Type: schema.String}},
		{
			"every column", "| `a.*.b` | integer, KiB | `2` | at least 1 | reload | of it |\n",
			schema.Key{Name: "a.*.b", Type: schema.Int, Unit: "KiB", Default: "2", Min: "1", Reloadable: true, Doc: "of it"},
		},
		{
			"values", "| `a` | string | `x` | x, y | start |  |\n",
			schema.Key{Name: "a", Type: schema.String, Default: "x", OneOf: []string{"x", "y"}},
		},
		{
			"range of a duration", "| `pace.wait` | time | `1s` | 10ms to 1m | reload |  |\n",
			schema.Key{Name: "pace.wait", Type: schema.Duration, Default: "1s", Min: "10ms", Max: "1m", Reloadable: true},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := markdownReference(schema.Table{c.key}); got != referenceHeader+c.want {
				t.Errorf("got  %swant %s", got, referenceHeader+c.want)
			}
		})
	}
}
