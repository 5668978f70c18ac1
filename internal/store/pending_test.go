package store

import (
	"reflect"
	"testing"

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
