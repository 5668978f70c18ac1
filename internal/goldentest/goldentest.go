// Package goldentest compares bytes and values with golden files under testdata/wire of the package under test. It is
// for tests only. The golden files hold the deployed wire format, so that a renamed field or tag fails a test.
//
// Tests only read golden files. `go test PACKAGE -update` rewrites them after a deliberate change of the format.
package goldentest

import (
	"bytes"
	"encoding"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"
)

var update = flag.Bool("update", false, "rewrite the golden files under testdata/wire")

// Read returns the contents of a golden file. It ends the test if the file can't be read.
func Read(t testing.TB, name string) []byte {
	t.Helper()
	data, err := os.ReadFile(goldenPath(name))
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// Bytes compares got with a golden file byte for byte. With -update it writes the file first.
func Bytes(t testing.TB, name string, got []byte) {
	t.Helper()
	if *update {
		writeGolden(t, name, got)
	}
	if want := Read(t, name); !bytes.Equal(got, want) {
		t.Errorf("%s differs:\ngot  %q\nwant %q", name, got, want)
	}
}

// JSON checks the JSON form of value in both directions: encoding value gives the golden file's bytes, and decoding the
// file, with unknown keys rejected, gives a value equal to it. Every field of value must be set, so that every tag is
// checked.
func JSON[T any](t testing.TB, name string, value T) {
	t.Helper()
	if fields := UnsetFields(value); len(fields) > 0 {
		t.Errorf("%s: fields not set: %s", name, strings.Join(fields, ", "))
	}
	Encodes(t, name, value)
	Decodes(t, name, value)
}

// Encodes checks that encoding value as JSON gives the golden file's bytes.
func Encodes(t testing.TB, name string, value any) {
	t.Helper()
	data, err := json.Marshal(value)
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	Bytes(t, name, data)
}

// Decodes checks that decoding the golden file, with unknown keys rejected, gives a value equal to want. It does not
// check the case of keys, which encoding/json ignores; Encodes does.
func Decodes[T any](t testing.TB, name string, want T) {
	t.Helper()
	data := Read(t, name)
	var got T
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(&got); err != nil {
		t.Errorf("%s: %v", name, err)
		return
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("%s decoded differs:\ngot  %+v\nwant %+v", name, got, want)
	}
}

func goldenPath(name string) string { return filepath.Join("testdata", "wire", name) }

func writeGolden(t testing.TB, name string, data []byte) {
	t.Helper()
	if err := os.MkdirAll(filepath.Dir(goldenPath(name)), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(goldenPath(name), data, 0o644); err != nil {
		t.Fatal(err)
	}
}

// UnsetFields returns the exported fields of value, at any depth, that have their zero value. A field of the elements of
// a list or map counts as set if at least one element has it set. Fields tagged "-" are skipped, as they are not encoded.
func UnsetFields(value any) []string {
	var out []string
	unset("", reflect.ValueOf(value), map[reflect.Type]bool{}, func(field string) { out = append(out, field) })
	return out
}

// unset reports the unset fields of v, which is the field of that name. Types that encode themselves are not searched.
// enclosing holds the struct types of the values around v.
func unset(name string, v reflect.Value, enclosing map[reflect.Type]bool, report func(string)) {
	if !v.IsValid() || v.IsZero() {
		report(name)
		return
	}
	switch v.Interface().(type) {
	case time.Time, encoding.TextMarshaler, json.Marshaler:
		return
	}
	switch v.Kind() {
	case reflect.Pointer, reflect.Interface:
		unset(name, v.Elem(), enclosing, report)
	case reflect.Struct:
		if enclosing[v.Type()] { // recursive type: its fields are checked in the outermost value
			return
		}
		enclosing[v.Type()] = true
		for i := range v.NumField() {
			f := v.Type().Field(i)
			if f.IsExported() && f.Tag.Get("json") != "-" {
				unset(strings.TrimPrefix(name+"."+f.Name, "."), v.Field(i), enclosing, report)
			}
		}
		delete(enclosing, v.Type())
	case reflect.Slice, reflect.Array:
		unsetInElements(name, v.Len(), v.Index, enclosing, report)
	case reflect.Map:
		keys := v.MapKeys()
		unsetInElements(name, len(keys), func(i int) reflect.Value { return v.MapIndex(keys[i]) }, enclosing, report)
	}
}

// unsetInElements reports the fields that none of the n elements of a list or map has set. at returns the i-th element.
func unsetInElements(name string, n int, at func(int) reflect.Value, enclosing map[reflect.Type]bool, report func(string)) {
	if n == 0 {
		report(name)
		return
	}
	if k := at(0).Kind(); k != reflect.Struct && k != reflect.Pointer && k != reflect.Slice && k != reflect.Map {
		return
	}
	missing := map[string]int{}
	for i := range n {
		unset(fmt.Sprintf("%s[]", name), at(i), enclosing, func(field string) { missing[field]++ })
	}
	for field, count := range missing {
		if count == n {
			report(field)
		}
	}
}
