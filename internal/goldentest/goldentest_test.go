package goldentest

import (
	"reflect"
	"slices"
	"testing"
)

type inner struct{ A, B int }

type outer struct {
	Name  string
	List  []inner
	Map   map[string]inner
	Skip  int `json:"-"`
	Again *outer
}

func TestUnsetFields(t *testing.T) {
	set := outer{Name: "n", List: []inner{{A: 1}, {B: 2}}, Map: map[string]inner{"k": {1, 2}}, Again: &outer{Name: "x"}}
	for _, c := range []struct {
		name   string
		change func(*outer)
		want   []string
	}{
		{"all set", func(*outer) {}, nil},
		{"scalar", func(o *outer) { o.Name = "" }, []string{"Name"}},
		{"empty list", func(o *outer) { o.List = []inner{} }, []string{"List"}},
		{"field of all elements", func(o *outer) { o.List = []inner{{A: 1}, {A: 2}} }, []string{"List[].B"}},
		{"field of map values", func(o *outer) { o.Map = map[string]inner{"k": {B: 1}} }, []string{"Map[].A"}},
		{"nil pointer", func(o *outer) { o.Again = nil }, []string{"Again"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			v := set
			c.change(&v)
			got := UnsetFields(v)
			slices.Sort(got)
			if !reflect.DeepEqual(got, c.want) {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}
