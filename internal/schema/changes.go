package schema

import (
	"fmt"
	"maps"
	"slices"
)

// Change is a key whose value differs between two versions of a file.
type Change struct {
	Key        string // dotted name
	Reloadable bool   // a reload applies the change
}

// Changes returns the keys that were added, removed or changed between two lists of values, sorted by name.
func (t Table) Changes(before, after []Value) []Change {
	old, updated := valuesByName(before), valuesByName(after)
	names := maps.Clone(old)
	maps.Copy(names, updated)
	var changes []Change
	for _, name := range slices.Sorted(maps.Keys(names)) {
		if old[name] == updated[name] {
			continue
		}
		k, _ := t.find(name)
		changes = append(changes, Change{Key: name, Reloadable: k.Reloadable})
	}
	return changes
}

// valuesByName maps names to type and value as text, because lists and tables are not comparable.
func valuesByName(values []Value) map[string]string {
	byName := make(map[string]string, len(values))
	for _, v := range values {
		byName[v.Name] = fmt.Sprintf("%T %[1]v", v.Raw)
	}
	return byName
}
