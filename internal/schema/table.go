// Package schema describes the keys of a TOML file in one table: type, default, range, unit and whether a reload
// applies a new value. With the table it parses and checks a file, compares two versions of a file, and describes the
// keys for their reference. It reports all errors of a file at once, each with its line.
//
// The package neither opens files nor decodes them into structs, and it does not check keys against each other; its
// callers do.
package schema

import (
	"cmp"
	"strconv"
	"strings"
	"time"
)

// Table lists the keys of a file. If the names of several keys match a name in the file, the first one applies.
type Table []Key

// find returns the first key that matches a dotted name, and whether there is one.
func (t Table) find(name string) (Key, bool) {
	segments := strings.Split(name, ".")
	for _, k := range t {
		if k.matches(segments) {
			return k, true
		}
	}
	return Key{}, false
}

// MustKey returns the key that matches a dotted name. It panics if there is none, because callers pass constants.
func (t Table) MustKey(name string) Key {
	k, ok := t.find(name)
	if !ok {
		panic("schema: no key " + name)
	}
	return k
}

// Duration converts the text of a key of type Duration. An empty text gives the key's default. The text must have
// passed Read; an invalid one gives 0.
func (t Table) Duration(name, text string) time.Duration {
	d, _ := time.ParseDuration(cmp.Or(text, t.MustKey(name).Default)) // Read has checked the text, so there is no error
	return d
}

// Int returns n, the value of a key of type Int, or the key's default if n is 0.
func (t Table) Int(name string, n int64) int64 {
	def, _ := strconv.ParseInt(t.MustKey(name).Default, 10, 64)
	return cmp.Or(n, def)
}
