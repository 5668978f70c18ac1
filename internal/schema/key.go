package schema

import "strings"

// Type is the type of a key's value. Its text appears in the reference of the keys and in errors.
type Type string

// The types that a key can have.
const (
	String      Type = "string"
	Bool        Type = "bool"
	Int         Type = "integer"
	Float       Type = "number"
	Duration    Type = "time"    // a string such as "1.5s"
	Address     Type = "address" // host:port
	StringList  Type = "list of strings"
	IntList     Type = "list of integers"
	StringLists Type = "list of lists of strings"
	Opaque      Type = "document" // not checked here, nor are the keys below it
)

// Key describes one key of a file.
type Key struct {
	Name       string // dotted; a segment * matches any name, or an index in an array of tables
	Type       Type
	Default    string   // as written in the file, without quotes; "": none, or described in Doc
	Min, Max   string   // bounds for Int, Float and Duration, inclusive; "": no bound
	OneOf      []string // allowed values; empty: all
	Unit       string   // for the reference; "": none
	Reloadable bool     // a reload applies a new value; other keys need a restart
	Doc        string   // description in the reference
}

// Range describes the allowed values, "" if all are allowed.
func (k Key) Range() string {
	switch {
	case len(k.OneOf) > 0:
		return strings.Join(k.OneOf, ", ")
	case k.Min != "" && k.Max != "":
		return k.Min + " to " + k.Max
	case k.Min != "":
		return "at least " + k.Min
	case k.Max != "":
		return "at most " + k.Max
	}
	return ""
}

// matches reports whether the segments are those of this key's name, or of a name below it if the key is Opaque.
func (k Key) matches(segments []string) bool {
	pattern := strings.Split(k.Name, ".")
	if len(segments) < len(pattern) {
		return false
	}
	if len(segments) > len(pattern) && k.Type != Opaque {
		return false
	}
	for i, p := range pattern {
		if p != "*" && p != segments[i] {
			return false
		}
	}
	return true
}
