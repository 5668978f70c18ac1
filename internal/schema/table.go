// Package schema describes the keys of a TOML file in one table: type, default, range, unit and whether a reload
// applies them. From the table it parses and checks a file, reporting every error at once with its line, compares two
// versions of a file, and writes the reference of the keys.
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

// Table lists the keys of a file. Where several patterns match a name, the first counts.
type Table []Key

// find returns the key that matches a dotted name.
func (t Table) find(name string) (Key, bool) {
	segments := strings.Split(name, ".")
	for _, k := range t {
		if k.matches(segments) {
			return k, true
		}
	}
	return Key{}, false
}

// MustKey returns the key that matches a name. It panics where there is none: names are constants of the program.
func (t Table) MustKey(name string) Key {
	k, ok := t.find(name)
	if !ok {
		panic("schema: no key " + name)
	}
	return k
}

// Duration returns the value of a key of type Duration, given as text; its default where the text is empty.
func (t Table) Duration(name, text string) time.Duration {
	d, _ := time.ParseDuration(cmp.Or(text, t.MustKey(name).Default)) // Read has checked the text
	return d
}

// Int returns the value of a key of type Int; its default where the value is 0.
func (t Table) Int(name string, n int64) int64 {
	def, _ := strconv.ParseInt(t.MustKey(name).Default, 10, 64)
	return cmp.Or(n, def)
}
