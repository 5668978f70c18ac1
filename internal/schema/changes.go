package schema

import (
	"fmt"
	"maps"
	"slices"
)

// Change is a key whose value differs between two texts.
type Change struct {
	Key        string
	Reloadable bool
}

// Changes are the keys that differ between two lists of leaves, by name.
func (t Table) Changes(before, after []Value) (out []Change) {
	index := func(list []Value) map[string]string {
		m := map[string]string{}
		for _, v := range list {
			m[v.Name] = fmt.Sprintf("%T %[1]v", v.Any)
		}
		return m
	}
	a, b := index(before), index(after)
	names := slices.Collect(maps.Keys(a))
	for name := range b {
		if _, ok := a[name]; !ok {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		if a[name] != b[name] {
			k, _ := t.find(name)
			out = append(out, Change{name, k.Reloadable})
		}
	}
	return out
}
