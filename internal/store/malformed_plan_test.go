package store

import (
	"errors"
	"testing"

	"linkpass/internal/config"
	"linkpass/internal/searchconfig"
	"linkpass/internal/shardmap"
)

// malformedPlan is a patch that adds an index with a plan that names no slices.
const malformedPlan = `{"indices":{"odd":{"class":"c","layout":{"version":2,"next_plan":5,` +
	`"slices":[{"id":1048576,"range":"0000000000000000-ffffffffffffffff","epoch":1,"holders":["a"]}],` +
	`"plans":[{"id":4,"kind":"move","step":"both_hold","at":2,"from":[],"to":[]}]}}}}`

// Guards against the crash of every leading coordinator by one settings document: it is rejected before it is in the
// log. Where the log of an earlier version holds it already, the store starts with it, refuses the step that panicked,
// takes other changes, and lets the plan be abandoned and the index be removed.
func TestStoreWithMalformedPlanStartsAndIsCorrected(t *testing.T) {
	c := newCluster(t)
	leader := c.patch(windowPatch(7))
	version := c.stores[leader].State().Version()
	_, err := c.stores[leader].PatchSettings(t.Context(), []byte(malformedPlan))
	if !errors.Is(err, searchconfig.ErrInvalid) || c.stores[leader].State().Version() != version {
		t.Errorf("patch with a malformed plan: error = %v, want ErrInvalid and no entry", err)
	}
	c.propose(config.Command{Kind: config.PatchSettings, Payload: []byte(malformedPlan)})
	for i := range c.stores {
		c.stop(i)
	}
	for i := range c.members {
		c.open(i, nil)
	}
	s := c.stores[c.patch(windowPatch(8))]
	if s.Settings().ShardMap("odd") == nil {
		t.Fatal("index odd is missing after the restart")
	}
	advance := shardmap.Command{Advance: &shardmap.Advance{Plan: 4, Step: shardmap.Switched}}
	if err := s.AdvanceShardMap(t.Context(), "odd", advance); !errors.Is(err, shardmap.ErrInvalidRequest) {
		t.Errorf("switch of the malformed plan: error = %v, want ErrInvalidRequest", err)
	}
	abandon := shardmap.Command{Abandon: &shardmap.Abandon{Plan: 4}}
	if err := s.AdvanceShardMap(t.Context(), "odd", abandon); err != nil {
		t.Errorf("abandoning the malformed plan: %v", err)
	}
	if open := s.Settings().ShardMap("odd").Plans(); len(open) > 0 {
		t.Errorf("open plans = %+v, want none", open)
	}
	c.patch(`{"indices":{"odd":null}}`)
}

// An entry whose application panics halts the FSM instead of ending the process, and does so again at the next start.
func TestFSMHaltsOnPanic(t *testing.T) {
	f := newFSM(nil) // the revision of no settings at all cannot be read
	data, initial := []byte(`{"revision":1,"search":{}}`), f.current.Load()
	if err, _ := applyData(f, data).(error); !errors.Is(err, errApplyPanicked) {
		t.Errorf("error = %v, want errApplyPanicked", err)
	}
	if err := f.haltedErr(); !errors.Is(err, errApplyPanicked) || f.current.Load() != initial {
		t.Errorf("cause of the halt = %v, want errApplyPanicked and the state before the entry", err)
	}
	if _, err := replayEntry(initial, data); !errors.Is(err, errApplyPanicked) {
		t.Errorf("replay: error = %v, want errApplyPanicked", err)
	}
}
