package settings

import (
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
	"testing"

	"linkpass/internal/routing"
)

// The golden files set every field. Otherwise a field's key could be renamed without a failing test.
func TestGoldenSettingsSetEveryField(t *testing.T) {
	set := goldenSettings()
	for _, v := range []any{set, goldenProgramSettings(), set.Tenants[0]} {
		value := reflect.ValueOf(v)
		for i := range value.NumField() {
			if value.Field(i).IsZero() {
				t.Errorf("%s.%s is zero in the golden settings", value.Type(), value.Type().Field(i).Name)
			}
		}
	}
	class := reflect.TypeFor[routing.Class]()
	for i := range class.NumField() {
		isSet := func(c routing.Class) bool { return !reflect.ValueOf(c).Field(i).IsZero() }
		if !slices.ContainsFunc(set.Classes, isSet) {
			t.Errorf("Class.%s is zero in every class of the golden settings", class.Field(i).Name)
		}
	}
}

// Every key of the golden object is read: renaming any of them changes the settings or leads to an error.
func TestPlatformSettingsGoldenEveryKeyRead(t *testing.T) {
	data := readGolden(t, "platform.json")
	var tree map[string]any
	if err := json.Unmarshal(data, &tree); err != nil {
		t.Fatal(err)
	}
	keys := 0
	forEachKey("", tree, func(path string, object map[string]any, key string) {
		keys++
		t.Run(path, func(t *testing.T) { requireKeyRead(t, tree, path, object, key) })
	})
	const minKeys = 60
	if want := strings.Count(string(data), `":`); keys != want || keys < minKeys {
		t.Errorf("visited %d keys, want %d and at least %d", keys, want, minKeys)
	}
}

// forEachKey calls visit for every key of every object in a decoded JSON value. The keys of an object are in sorted
// order.
func forEachKey(path string, v any, visit func(path string, object map[string]any, key string)) {
	switch v := v.(type) {
	case []any:
		for i, item := range v {
			forEachKey(fmt.Sprintf("%s[%d]", path, i), item, visit)
		}
	case map[string]any:
		for _, key := range slices.Sorted(maps.Keys(v)) {
			at := strings.TrimPrefix(path+"."+key, ".")
			visit(at, v, key)
			forEachKey(at, v[key], visit)
		}
	}
}

// requireKeyRead requires that renaming one key of the tree changes the settings or leads to an error.
func requireKeyRead(t *testing.T, tree map[string]any, path string, object map[string]any, key string) {
	t.Helper()
	value, renamed := object[key], "old_"+key
	delete(object, key)
	object[renamed] = value
	changed, err := json.Marshal(tree)
	delete(object, renamed)
	object[key] = value
	if err != nil {
		t.Fatal(err)
	}
	set, program, err := ParseJSON(changed)
	if value == false {
		return // a missing bool is read as false, so that the settings stay the same
	}
	if err == nil && reflect.DeepEqual(set, goldenSettings()) && reflect.DeepEqual(program, goldenProgramSettings()) {
		t.Errorf("renaming %s changes no setting and gives no error", path)
	}
}
