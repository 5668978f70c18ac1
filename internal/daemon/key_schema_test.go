package daemon

import (
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
)

// fields are the names of all keys that a type reads from a file.
func fields(name string, t reflect.Type) (out []string) {
	if t.Name() == "Document" { // of a shard map: its reader checks it
		return []string{name}
	}
	switch t.Kind() {
	case reflect.Pointer:
		return fields(name, t.Elem())
	case reflect.Map:
		return fields(name+".*", t.Elem())
	case reflect.Slice:
		if t.Elem().Kind() == reflect.Struct {
			return fields(name+".*", t.Elem())
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
			out = append(out, fields(inner, f.Type)...)
		}
		return out
	}
	return []string{name}
}

// The schema has every key that the program reads and no other, and each default is valid.
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
			t.Errorf("the default of %s: %v", k.Name, faults)
		}
	}
	read := fields("", reflect.TypeFor[SearchConfig]())
	slices.Sort(names)
	slices.Sort(read)
	if !slices.Equal(names, read) {
		t.Errorf("schema %v\nread   %v", names, read)
	}
}

// docs/settings.md has the table that the schema generates; UPDATE_DOCS=1 writes it. The file that comes with the program,
// with every commented key in it too, is valid by the schema.
func TestConfigReferenceIsCurrent(t *testing.T) {
	path := filepath.Join("..", "..", "docs", "settings.md")
	page, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	const from, to = "<!-- keys -->\n", "<!-- end -->\n"
	before, rest, ok := strings.Cut(string(page), from)
	_, after, also := strings.Cut(rest, to)
	if !ok || !also {
		t.Fatal("the table has no place")
	}
	want := before + from + markdownReference(Keys) + to + after
	if os.Getenv("UPDATE_DOCS") != "" {
		err = os.WriteFile(path, []byte(want), 0o644)
	} else if want != string(page) {
		t.Error("docs/settings.md is not what the schema says: UPDATE_DOCS=1 go test ./internal/daemon writes it")
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
		t.Error(faults)
	}
}
