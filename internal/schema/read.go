package schema

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/BurntSushi/toml"
)

// Value is a leaf of a file.
type Value struct {
	Name string
	Any  any
	Line int
}

// Read takes a text apart into its leaves by name and checks each against the table. A text that is no TOML
// has one fault.
func (t Table) Read(file, text string) ([]Value, []Error) {
	var tree map[string]any
	if _, err := toml.Decode(text, &tree); err != nil {
		var syntax toml.ParseError
		if errors.As(err, &syntax) {
			return nil, []Error{{file, syntax.Position.Line, errors.New(syntax.Message)}}
		}
		return nil, []Error{{file, 1, err}}
	}
	lines := ParseLineNumbers(text)
	var leaves []Value
	var faults []Error
	t.walk("", tree, func(name string, v any) {
		line := lines.Of(name)
		leaves = append(leaves, Value{name, v, line})
		k, ok := t.find(name)
		if !ok {
			faults = append(faults, Error{file, line, fmt.Errorf("unknown key %s", name)})
		} else if err := k.check(v); err != nil {
			faults = append(faults, Error{file, line, fmt.Errorf("%s %w", name, err)})
		}
	})
	return leaves, faults
}

// walk calls f with the leaves under a name, in order.
func (t Table) walk(name string, v any, f func(string, any)) {
	join := func(step string) string { return strings.TrimPrefix(name+"."+step, ".") }
	if k, ok := t.find(name); ok && k.Type == Opaque {
		f(name, v)
		return
	}
	switch v := v.(type) {
	case map[string]any:
		for _, key := range slices.Sorted(maps.Keys(v)) {
			t.walk(join(key), v[key], f)
		}
	case []map[string]any:
		for i, inner := range v {
			t.walk(join(strconv.Itoa(i)), inner, f)
		}
	default:
		f(name, v)
	}
}
