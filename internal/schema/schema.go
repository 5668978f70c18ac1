// Package schema knows the keys of a TOML file: their types, defaults, ranges and units, in one table. It reads a text
// against the table and tells all that is wrong with it, each with its line.
package schema

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
)

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

// Table is the keys of a file.
type Table []Key

// Error is what is wrong at one line.
type Error struct {
	File string
	Line int
	Err  error
}

// Error is the place and the reason.
func (f Error) Error() string { return fmt.Sprintf("%s:%d: %s", f.File, f.Line, f.Err) }

// Unwrap is the reason.
func (f Error) Unwrap() error { return f.Err }

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

// check tells what is wrong with a value.
func (k Key) check(v any) error {
	wrong := fmt.Errorf("is %s, not a value of type %s", word(v), k.Type)
	switch k.Type {
	case Opaque:
		return nil
	case Bool:
		if _, ok := v.(bool); !ok {
			return wrong
		}
		return nil
	case Int, Float:
		n, ok := v.(int64)
		f, isFloat := v.(float64)
		if !ok && !(isFloat && k.Type == Float) {
			return wrong
		}
		if ok {
			f = float64(n)
		}
		return k.within(f, func(s string) float64 { b, _ := strconv.ParseFloat(s, 64); return b })
	case Strings, Ints, Sets:
		return k.list(v, wrong)
	}
	s, ok := v.(string)
	if !ok {
		if _, number := v.(int64); number && k.Type == Duration {
			return fmt.Errorf("is the number %v: a time has a unit, such as \"%vs\"", v, v)
		}
		return wrong
	}
	return k.text(s)
}

// text checks what stands as a string.
func (k Key) text(s string) error {
	switch {
	case s == "":
		return nil // as if it were not there
	case k.Type == Duration:
		d, err := time.ParseDuration(s)
		if err != nil {
			return fmt.Errorf("%q is no time such as \"1.5s\"", s)
		}
		return k.within(float64(d), func(s string) float64 { b, _ := time.ParseDuration(s); return float64(b) })
	case k.Type == Address:
		host, port, ok := strings.Cut(s, ":")
		if i := strings.LastIndex(s, ":"); ok {
			host, port = s[:i], s[i+1:]
		}
		if n, err := strconv.ParseUint(port, 10, 16); !ok || err != nil || host == "" && n == 0 {
			return fmt.Errorf("%q is no address such as \"127.0.0.1:9200\"", s)
		}
	case len(k.OneOf) > 0 && !slices.Contains(k.OneOf, s):
		return fmt.Errorf("%q is none of %s", s, strings.Join(k.OneOf, ", "))
	}
	return nil
}

func (k Key) list(v any, wrong error) error {
	all, ok := v.([]any)
	if !ok {
		return wrong
	}
	for _, e := range all {
		_, isString := e.(string)
		_, isInt := e.(int64)
		set, isList := e.([]any)
		fits := k.Type == Strings && isString || k.Type == Ints && isInt ||
			k.Type == Sets && isList && !slices.ContainsFunc(set, func(m any) bool { _, ok := m.(string); return !ok })
		if !fits {
			return wrong
		}
	}
	return nil
}

func (k Key) within(f float64, read func(string) float64) error {
	if k.Min != "" && f < read(k.Min) || k.Max != "" && f > read(k.Max) {
		return fmt.Errorf("is out of its range, %s", k.Range())
	}
	return nil
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

func word(v any) string {
	switch v := v.(type) {
	case string:
		return strconv.Quote(v)
	case []any, []map[string]any:
		return "a list"
	case map[string]any:
		return "a table"
	}
	return fmt.Sprint(v)
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

// Markdown is the reference of the table.
func (t Table) Markdown() string {
	var b strings.Builder
	b.WriteString("| key | type | default | range | takes hold | |\n| --- | --- | --- | --- | --- | --- |\n")
	for _, k := range t {
		def, hold := "", "start"
		if k.Default != "" {
			def = "`" + k.Default + "`"
		}
		if k.Reloadable {
			hold = "reload"
		}
		unit := string(k.Type)
		if k.Unit != "" {
			unit += ", " + k.Unit
		}
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s | %s |\n", k.Name, unit, def, k.Range(), hold, k.Doc)
	}
	return b.String()
}
