package daemon

import (
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
)

// tomlKeys returns the names of all keys that a type reads from a file. name is the prefix of the names.
func tomlKeys(name string, t reflect.Type) (out []string) {
	if t.Name() == "Document" { // of a shard map; what reads it validates it
		return []string{name}
	}
	switch t.Kind() {
	case reflect.Pointer:
		return tomlKeys(name, t.Elem())
	case reflect.Map:
		return tomlKeys(name+".*", t.Elem())
	case reflect.Slice:
		if t.Elem().Kind() == reflect.Struct {
			return tomlKeys(name+".*", t.Elem())
		}
	case reflect.Struct:
		for i := range t.NumField() {
			f := t.Field(i)
			tag := f.Tag.Get("toml")
			if !f.IsExported() || tag == "-" {
				continue
			}
			inner := name
			if tag != "" {
				inner = strings.TrimPrefix(name+"."+tag, ".")
			}
			out = append(out, tomlKeys(inner, f.Type)...)
		}
		return out
	}
	return []string{name}
}

// The schema has exactly the keys that the program reads, and each default is valid.
func TestKeysMatchSearchConfig(t *testing.T) {
	var names []string
	for _, k := range Keys {
		names = append(names, k.Name)
		text := k.Default
		if text == "" || strings.Contains(k.Name, "*") {
			continue
		}
		if strings.Contains("string time address", string(k.Type)) {
			text = "\"" + text + "\""
		}
		if _, faults := Keys.Read("default", k.Name+" = "+text); len(faults) > 0 {
			t.Errorf("the default of %s is invalid: %v", k.Name, faults)
		}
	}
	read := tomlKeys("", reflect.TypeFor[SearchConfig]())
	slices.Sort(names)
	slices.Sort(read)
	if !slices.Equal(names, read) {
		t.Errorf("keys of the schema %v\nwant those that are read %v", names, read)
	}
}

// docs/settings.md has the table that is generated from the schema; UPDATE_DOCS=1 writes it. The shipped operators'
// file is valid by the schema, with the keys that are comments in it too.
func TestConfigReferenceIsCurrent(t *testing.T) {
	path := filepath.Join("..", "..", "docs", "settings.md")
	page, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	const from, to = "<!-- keys -->\n", "<!-- end -->\n"
	before, rest, ok := strings.Cut(string(page), from)
	_, after, hasEnd := strings.Cut(rest, to)
	if !ok || !hasEnd {
		t.Fatalf("docs/settings.md lacks the line %q or %q around the table", from, to)
	}
	want := before + from + markdownReference(Keys) + to + after
	if os.Getenv("UPDATE_DOCS") != "" {
		err = os.WriteFile(path, []byte(want), 0o644)
	} else if want != string(page) {
		t.Error("the table in docs/settings.md differs from the schema: UPDATE_DOCS=1 go test ./internal/daemon writes it")
	}
	text, readErr := os.ReadFile(filepath.Join("..", "..", DefaultSearchFile))
	if err != nil || readErr != nil {
		t.Fatal(err, readErr)
	}
	var lines []string
	for _, line := range strings.Split(string(text), "\n") {
		if bare := strings.TrimPrefix(line, "#"); bare != line && !strings.HasPrefix(bare, " ") {
			line = bare
		}
		lines = append(lines, line)
	}
	if _, faults := Keys.Read(DefaultSearchFile, strings.Join(lines, "\n")); len(faults) > 0 {
		t.Errorf("%s with the commented keys is invalid: %v", DefaultSearchFile, faults)
	}
}
