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

// Value is one value of a file.
type Value struct {
	Name string // dotted name of its key
	Raw  any    // as the TOML decoder returns it
	Line int    // counted from 1
}

// Read parses the text of a file into its values, sorted by name within each table, and checks each value against the
// table of keys. It returns all errors, or a single one if the text is not TOML. file is the name that errors show.
func (t Table) Read(file, text string) ([]Value, []Error) {
	var tree map[string]any
	if _, err := toml.Decode(text, &tree); err != nil {
		return nil, []Error{parseError(file, err)}
	}
	lines := ParseLineNumbers(text)
	var values []Value
	var errs []Error
	t.walk("", tree, func(name string, v any) {
		line := lines.Line(name)
		values = append(values, Value{Name: name, Raw: v, Line: line})
		if err := t.check(name, v); err != nil {
			errs = append(errs, Error{File: file, Line: line, Key: name, Err: err})
		}
	})
	return values, errs
}

// parseError converts an error of the TOML decoder. It takes only the message of a syntax error, whose full text would
// repeat the position.
func parseError(file string, err error) Error {
	var syntax toml.ParseError
	if errors.As(err, &syntax) {
		return Error{File: file, Line: syntax.Position.Line, Err: errors.New(syntax.Message)}
	}
	return Error{File: file, Line: 1, Err: err}
}

// check returns an error if there is no key of that dotted name, or if the value is not valid for it.
func (t Table) check(name string, v any) error {
	k, ok := t.find(name)
	if !ok {
		return fmt.Errorf("%w %s", ErrUnknownKey, name)
	}
	if err := k.check(v); err != nil {
		return fmt.Errorf("%s %w", name, err)
	}
	return nil
}

// walk calls visit for every value below a name, sorted by name within each table. An Opaque key is a single value,
// whatever it contains.
func (t Table) walk(name string, v any, visit func(name string, v any)) {
	if k, ok := t.find(name); ok && k.Type == Opaque {
		visit(name, v)
		return
	}
	switch v := v.(type) {
	case map[string]any:
		for _, key := range slices.Sorted(maps.Keys(v)) {
			t.walk(joinName(name, key), v[key], visit)
		}
	case []map[string]any:
		for i, inner := range v {
			t.walk(joinName(name, strconv.Itoa(i)), inner, visit)
		}
	default:
		visit(name, v)
	}
}

// joinName appends a segment to a dotted name, which may be empty.
func joinName(name, segment string) string {
	return strings.TrimPrefix(name+"."+segment, ".")
}
