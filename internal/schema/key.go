package schema

import "strings"

// Type is what a key holds.
type Type string

// The types.
const (
	String   Type = "string"
	Bool     Type = "bool"
	Int      Type = "integer"
	Float    Type = "number"
	Duration Type = "time"    // a string such as "1.5s"
	Address  Type = "address" // host:port
	Strings  Type = "list of strings"
	Ints     Type = "list of integers"
	Sets     Type = "list of lists of strings"
	Opaque   Type = "document" // checked by who reads it
)

// Key is one key. A step of its name that is * stands for any name, or for a place in an array of tables.
type Key struct {
	Name       string
	Type       Type
	Default    string // as it would stand in the file, without quotes; "": none, or as Doc says
	Min, Max   string // for Int, Float and Duration; "": no bound
	OneOf      []string
	Unit       string
	Reloadable bool // takes hold with a reload; others wait for a start
	Doc        string
}

// Range words the bounds; "": there are none.
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
