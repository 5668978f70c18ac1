package schema

import (
	"errors"
	"slices"
	"testing"
)

// The error texts appear in the bodies of HTTP responses, so they are compared word for word. A case without a kind
// is an error of the TOML parser.
func TestReadErrorText(t *testing.T) {
	table := append(slices.Clone(table),
		Key{Name: "low", Type: Int, Min: "2"},
		Key{Name: "high", Type: Float, Max: "2.5"},
		Key{Name: "ints", Type: IntList},
	)
	for _, c := range []struct {
		name, text, want string
		key              string
		kind             error
	}{
		{
			"syntax", "on = true\nwait = ",
			"f:2: unexpected EOF; expected value", "", nil,
		},
		{
			"unknown key", "[pace]\nspeed = 1",
			"f:2: unknown key pace.speed", "pace.speed", ErrUnknownKey,
		},
		{
			"unknown key under a leaf", "[on]\nx = 1",
			"f:2: unknown key on.x", "on.x", ErrUnknownKey,
		},
		{
			"bool", "on = 1.5",
			"f:1: on is 1.5, not a value of type bool", "on", ErrWrongType,
		},
		{
			"integer", "[pace]\nmoves = 1.5",
			"f:2: pace.moves is 1.5, not a value of type integer", "pace.moves", ErrWrongType,
		},
		{
			"number", "[share.x]\npart = \"1\"",
			`f:2: share.x.part is "1", not a value of type number`, "share.x.part", ErrWrongType,
		},
		{
			"string", "[[who]]\nid = true",
			"f:2: who.0.id is true, not a value of type string", "who.0.id", ErrWrongType,
		},
		{
			"address of another type", "listen = 5",
			"f:1: listen is 5, not a value of type address", "listen", ErrWrongType,
		},
		{
			"address without a port", "listen = \"a\"",
			`f:1: listen "a" is no address such as "127.0.0.1:9200"`, "listen", ErrInvalidAddress,
		},
		{
			"address with port 0 alone", "listen = \":0\"",
			`f:1: listen ":0" is no address such as "127.0.0.1:9200"`, "listen", ErrInvalidAddress,
		},
		{
			"time without a unit", "[pace]\nwait = 5",
			`f:2: pace.wait is the number 5: a time needs a unit, such as "5s"`, "pace.wait", ErrMissingUnit,
		},
		{
			"time of another type", "[pace]\nwait = 1.5",
			"f:2: pace.wait is 1.5, not a value of type time", "pace.wait", ErrWrongType,
		},
		{
			"no time", "[pace]\nwait = \"soon\"",
			`f:2: pace.wait "soon" is no time such as "1.5s"`, "pace.wait", ErrInvalidDuration,
		},
		{
			"time out of range", "[pace]\nwait = \"9ms\"",
			"f:2: pace.wait is out of its range, 10ms to 1m", "pace.wait", ErrOutOfRange,
		},
		{
			"integer out of range", "[pace]\nmoves = 10",
			"f:2: pace.moves is out of its range, 1 to 9", "pace.moves", ErrOutOfRange,
		},
		{
			"below the minimum", "low = 1",
			"f:1: low is out of its range, at least 2", "low", ErrOutOfRange,
		},
		{
			"above the maximum", "high = 3",
			"f:1: high is out of its range, at most 2.5", "high", ErrOutOfRange,
		},
		{
			"none of the values", "[share.x]\nkind = \"c\"",
			`f:2: share.x.kind "c" is none of a, b`, "share.x.kind", ErrNotAllowed,
		},
		{
			"no list of strings", "names = \"a\"",
			`f:1: names is "a", not a value of type list of strings`, "names", ErrWrongType,
		},
		{
			"list of others than strings", "names = [1]",
			"f:1: names is a list, not a value of type list of strings", "names", ErrWrongType,
		},
		{
			"list of others than integers", "ints = [1.5]",
			"f:1: ints is a list, not a value of type list of integers", "ints", ErrWrongType,
		},
		{
			"list of lists of others", "sets = [[1]]",
			"f:1: sets is a list, not a value of type list of lists of strings", "sets", ErrWrongType,
		},
		{
			"table in a list", "names = [{ a = 1 }]",
			"f:1: names is a list, not a value of type list of strings", "names", ErrWrongType,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, errs := table.Read("f", c.text)
			if len(errs) != 1 {
				t.Fatalf("errors = %v, want one", errs)
			}
			if got := errs[0].Error(); got != c.want {
				t.Errorf("got  %s\nwant %s", got, c.want)
			}
			if got := errs[0].Key; got != c.key {
				t.Errorf("Key = %q, want %q", got, c.key)
			}
			if c.kind != nil && !errors.Is(errs[0], c.kind) {
				t.Errorf("error %v does not wrap %q", errs[0], c.kind)
			}
		})
	}
}
