package schema

import (
	"fmt"
	"testing"
	"time"
)

var table = Table{
	{Name: "listen", Type: Address},
	{Name: "on", Type: Bool, Default: "true", Reloadable: true},
	{Name: "pace.wait", Type: Duration, Default: "1s", Min: "10ms", Max: "1m", Reloadable: true},
	{Name: "pace.moves", Type: Int, Default: "4", Min: "1", Max: "9"},
	{Name: "share.*.part", Type: Float, Min: "0", Max: "1"},
	{Name: "share.*.kind", Type: String, OneOf: []string{"a", "b"}},
	{Name: "who.*.id", Type: String},
	{Name: "sets", Type: StringLists},
	{Name: "names", Type: StringList},
	{Name: "rest", Type: Opaque},
}

func TestTableDefaultsAndChanges(t *testing.T) {
	t.Run("default of a duration", func(t *testing.T) {
		if got := table.Duration("pace.wait", ""); got != time.Second {
			t.Errorf("Duration = %v, want 1s", got)
		}
	})
	t.Run("duration set", func(t *testing.T) {
		if got := table.Duration("pace.wait", "2s"); got != 2*time.Second {
			t.Errorf("Duration = %v, want 2s", got)
		}
	})
	t.Run("default of an integer", func(t *testing.T) {
		if got := table.Int("pace.moves", 0); got != 4 {
			t.Errorf("Int = %d, want 4", got)
		}
	})
	t.Run("integer set", func(t *testing.T) {
		if got := table.Int("pace.moves", 7); got != 7 {
			t.Errorf("Int = %d, want 7", got)
		}
	})
	t.Run("changes", func(t *testing.T) {
		before, _ := table.Read("a", "on = true\nnames = [\"a\"]\n[pace]\nmoves = 2")
		after, _ := table.Read("b", "names = [\"a\"]\n[pace]\nmoves = 3\nwait = \"2s\"")
		got := fmt.Sprint(table.Changes(before, after))
		if got != "[{on true} {pace.moves false} {pace.wait true}]" {
			t.Errorf("Changes = %s, want on, pace.moves and pace.wait, all but pace.moves reloadable", got)
		}
	})
}

func TestMustKeyPanicsForUnknownKey(t *testing.T) {
	if k := table.MustKey("share.x.kind"); k.Name != "share.*.kind" {
		t.Errorf("MustKey = %+v, want the key share.*.kind", k)
	}
	defer func() {
		if got := recover(); got != "schema: no key share.x" {
			t.Errorf("panic = %v, want schema: no key share.x", got)
		}
	}()
	table.MustKey("share.x")
}
