package store

import (
	"reflect"
	"testing"

	"linkpass/internal/config"
	"linkpass/internal/config/restriction"
)

func TestPendingRestrictionsSurviveRestart(t *testing.T) {
	m := newSingleMember(t)
	if got, err := m.store.LoadPending(); err != nil || got != nil {
		t.Errorf("LoadPending of a new store = %+v, error %v; want none", got, err)
	}
	want := []restriction.Request{
		restrictionRequest(1, "s-1", restriction.Draining),
		restrictionRequest(2, "s-2", restriction.Removed),
	}
	if err := m.store.SavePending(want); err != nil {
		t.Fatal(err)
	}
	m.restart()
	if got, err := m.store.LoadPending(); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("LoadPending after a restart = %+v, error %v; want %+v", got, err, want)
	}
}

func TestGoneServersSurviveRestart(t *testing.T) {
	m := newSingleMember(t)
	want := map[string]config.ServerSpec{"s-77": {Addr: "10.0.0.7:9000", Zone: "ebene", Cell: 3}}
	if err := m.store.SaveGone(want); err != nil {
		t.Fatal(err)
	}
	state, _, err := NewDiskReader(m.store.config).Read()
	if err != nil || !reflect.DeepEqual(state.Gone, want) {
		t.Errorf("read beside the store = %+v, error %v; want %+v", state.Gone, err, want)
	}
	m.restart()
	if got, err := m.store.LoadGone(); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("LoadGone after a restart = %+v, error %v; want %+v", got, err, want)
	}
}
