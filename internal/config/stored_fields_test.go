package config

import (
	"encoding/json"
	"reflect"
	"strings"
	"testing"

	"linkpass/internal/config/restriction"
	"linkpass/internal/searchconfig"
	"linkpass/internal/shardmap"
)

// setFields holds the indices of the fields that are not zero, by struct type.
type setFields map[reflect.Type]map[int]bool

// markSetFields records which fields of each struct type are not zero in a value.
func markSetFields(v reflect.Value, set setFields) {
	switch v.Kind() {
	case reflect.Pointer:
		if !v.IsNil() {
			markSetFields(v.Elem(), set)
		}
	case reflect.Slice:
		for i := range v.Len() {
			markSetFields(v.Index(i), set)
		}
	case reflect.Map:
		for it := v.MapRange(); it.Next(); {
			markSetFields(it.Value(), set)
		}
	case reflect.Struct:
		t := v.Type()
		if !strings.HasPrefix(t.PkgPath(), "linkpass/") {
			return
		}
		if set[t] == nil {
			set[t] = map[int]bool{}
		}
		for i := range v.NumField() {
			if !t.Field(i).IsExported() {
				continue
			}
			if f := v.Field(i); !f.IsZero() {
				set[t][i] = true
				markSetFields(f, set)
			}
		}
	}
}

// fixtureFields returns the fields that are set in at least one fixture.
func fixtureFields(t *testing.T) setFields {
	t.Helper()
	set := setFields{}
	for name := range storedCommands() {
		c, err := Decode(readFixture(t, "entry_"+name+".cbor", nil))
		if err != nil {
			t.Fatal(err)
		}
		markSetFields(reflect.ValueOf(c), set)
	}
	var d snapshotDocument
	if err := decMode.Unmarshal(readFixture(t, "snapshot.cbor", nil)[1:], &d); err != nil {
		t.Fatal(err)
	}
	markSetFields(reflect.ValueOf(d), set)
	for _, text := range [][]byte{d.Settings, []byte(storedDocument)} {
		var c searchconfig.Config
		if err := json.Unmarshal(text, &c); err != nil {
			t.Fatal(err)
		}
		markSetFields(reflect.ValueOf(c), set)
	}
	return set
}

// storedTypes lists a value of each type of stored record.
var storedTypes = []any{
	Command{},
	ServerSpec{},
	Result{},
	Server{},
	RejectedRestriction{},
	clientSession{},
	snapshotDocument{},
	restriction.Origin{},
	restriction.ID{},
	restriction.Request{},
	restriction.Interval{},
	shardmap.Command{},
	shardmap.PlanRequest{},
	shardmap.Advance{},
	shardmap.Abandon{},
	shardmap.Document{},
	shardmap.Plan{},
	shardmap.Shard{},
	searchconfig.Config{},
	searchconfig.Defaults{},
	searchconfig.Index{},
	searchconfig.InitialSharding{},
	searchconfig.Server{},
}

// If a field were zero in all fixtures, a change of its stored form would not be detected.
func TestStoredFixturesSetEveryField(t *testing.T) {
	set := fixtureFields(t)
	for typ, fields := range set {
		for i := range typ.NumField() {
			if f := typ.Field(i); f.IsExported() && !fields[i] {
				t.Errorf("%s.%s is zero in all fixtures", typ, f.Name)
			}
		}
	}
	for _, v := range storedTypes {
		if set[reflect.TypeOf(v)] == nil {
			t.Errorf("%T is in no fixture", v)
		}
	}
}
