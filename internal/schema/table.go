// Package schema knows the keys of a TOML file: their types, defaults, ranges and units, in one table. It reads a text
// against the table and tells all that is wrong with it, each with its line.
package schema

import (
	"cmp"
	"strconv"
	"strings"
	"time"
)

// Table is the keys of a file.
type Table []Key

// find is the key that a dotted name falls under.
func (t Table) find(name string) (Key, bool) {
	steps := strings.Split(name, ".")
	for _, k := range t {
		pattern := strings.Split(k.Name, ".")
		opaque := k.Type == Opaque && len(steps) > len(pattern)
		if len(pattern) != len(steps) && !opaque {
			continue
		}
		if match(pattern, steps) {
			return k, true
		}
	}
	return Key{}, false
}

func match(pattern, steps []string) bool {
	for i, p := range pattern {
		if p != "*" && p != steps[i] {
			return false
		}
	}
	return true
}

// MustKey is the key of that very name; one that is not in the table is a fault of the program.
func (t Table) MustKey(name string) Key {
	k, ok := t.find(name)
	if !ok {
		panic("schema: no key " + name)
	}
	return k
}

// Duration is what a key of type Duration holds: the text, or the default where that is empty.
func (t Table) Duration(name, text string) time.Duration {
	d, _ := time.ParseDuration(cmp.Or(text, t.MustKey(name).Default)) // checked when it was read
	return d
}

// Int is what a key of type Int holds: the number, or the default where that is 0.
func (t Table) Int(name string, n int64) int64 {
	def, _ := strconv.ParseInt(t.MustKey(name).Default, 10, 64)
	return cmp.Or(n, def)
}
