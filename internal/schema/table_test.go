package schema

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

var table = Table{
	{Name: "listen", Type: Address}, {Name: "on", Type: Bool, Default: "true", Reloadable: true},
	{Name: "pace.wait", Type: Duration, Default: "1s", Min: "10ms", Max: "1m", Reloadable: true},
	{Name: "pace.moves", Type: Int, Default: "4", Min: "1", Max: "9"},
	{Name: "share.*.part", Type: Float, Min: "0", Max: "1"}, {Name: "share.*.kind", Type: String, OneOf: []string{"a", "b"}},
	{Name: "who.*.id", Type: String}, {Name: "sets", Type: Sets}, {Name: "names", Type: Strings}, {Name: "rest", Type: Opaque},
}

func TestDefaultsAndChanges(t *testing.T) {
	if table.Duration("pace.wait", "") != time.Second || table.Duration("pace.wait", "2s") != 2*time.Second || table.Int("pace.moves", 0) != 4 || table.Int("pace.moves", 7) != 7 {
		t.Error("a default does not hold, or holds where a value is set")
	}
	before, _ := table.Read("a", "on = true\nnames = [\"a\"]\n[pace]\nmoves = 2")
	after, _ := table.Read("b", "names = [\"a\"]\n[pace]\nmoves = 3\nwait = \"2s\"")
	if got := fmt.Sprint(table.Changes(before, after)); got != "[{on true} {pace.moves false} {pace.wait true}]" {
		t.Error(got)
	}
	if md := table.Markdown(); !strings.Contains(md, "| `pace.wait` | time | `1s` | 10ms to 1m | reload |") {
		t.Error(md)
	}
}
