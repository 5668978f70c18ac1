package config

import (
	"slices"
	"testing"

	"linkpass/internal/searchconfig"
	"linkpass/internal/shardmap"
)

// malformedDocument returns a patch that adds an index of two slices with one open plan at a step, whose old and new
// slices are given as JSON.
func malformedDocument(step, from, to string) []byte {
	const low, high = `"range":"0000000000000000-7fffffffffffffff"`, `"range":"8000000000000000-ffffffffffffffff"`
	return []byte(`{"indices":{"odd":{"class":"c","layout":{"version":3,"next_slice":1048590,"next_plan":9,"slices":[` +
		`{"id":1048576,` + low + `,"epoch":1,"holders":["a"]},{"id":1048577,` + high + `,"epoch":1,"holders":["b"]}],` +
		`"plans":[{"id":4,"kind":"move","step":"` + step + `","at":2,"from":[` + from + `],"to":[` + to + `]}]}}}}`)
}

const (
	lowHalf   = `{"id":1048576,"range":"0000000000000000-7fffffffffffffff","epoch":1,"holders":["a"]}`
	newWhole  = `{"id":1048580,"range":"0000000000000000-ffffffffffffffff","epoch":0,"holders":["a","b"]}`
	newMiddle = `{"id":1048581,"range":"1000000000000000-2000000000000000","epoch":0,"holders":["a"]}`
)

// advanceOdd returns the command that takes plan 4 of index odd to a step, with all replicas complete.
func advanceOdd(step shardmap.PlanStep) Command {
	complete := map[shardmap.ShardID][]string{1048580: {"a", "b"}, 1048581: {"a"}}
	return Command{Kind: AdvanceShardMap, Index: "odd", ShardMapCommand: &shardmap.Command{
		Advance: &shardmap.Advance{Plan: 4, Step: step, Replicas: complete},
	}}
}

// malformedPlanLogs returns logs, by name, that instances of earlier versions could write and apply. Each follows the
// first settings document.
func malformedPlanLogs() map[string][]Command {
	patch := func(payload []byte) Command { return Command{Kind: PatchSettings, Payload: payload} }
	abandon := Command{Kind: AdvanceShardMap, Index: "odd", ShardMapCommand: &shardmap.Command{
		Abandon: &shardmap.Abandon{Plan: 4, Reason: "malformed"},
	}}
	other := patch([]byte(`{"servers":{"s-1":{"protocol":"search"}}}`))
	remove := patch([]byte(`{"indices":{"odd":null}}`))
	return map[string][]Command{
		"no slices": {
			patch(malformedDocument("planned", "", "")), advanceOdd(shardmap.Copying), advanceOdd(shardmap.Replicated),
			other, abandon, remove,
		},
		"no slices, switched": {
			patch(malformedDocument("switched", "", "")), other, advanceOdd(shardmap.Retired), remove,
		},
		"no old slices": {
			patch(malformedDocument("copying", "", newMiddle)), advanceOdd(shardmap.Replicated), abandon, other,
		},
		"no new slices": {
			patch(malformedDocument("both_hold", lowHalf, "")), advanceOdd(shardmap.Switched), abandon,
		},
		"new slices beyond the old ones": {
			patch(malformedDocument("both_hold", lowHalf, newWhole)), advanceOdd(shardmap.Switched), other,
			advanceOdd(shardmap.Retired), remove, other,
		},
	}
}

// Which commands are applied, and to which state, must not depend on the version of the program: members of two versions
// run side by side during an upgrade. The hashes were written by the version before plans were checked in proposals.
func TestMalformedPlansApplyAsInEarlierVersions(t *testing.T) {
	recorded := map[string][]string{
		"new slices beyond the old ones": {
			" df0f947c6d7346855df2ec8c2625b535",
			" cba61cc955e84ef01228e490ce5e6832",
			" e5c02041e7932c7421b454f3b7f6ce98",
			" b83a421f7c97c208d289c7172599adfa",
			" 44d77180ddfc8116668437ca46c71c56",
			" a7e805d31648c3b3c08bec4ed0fc2fd2",
		},
		"no new slices": {
			" 0083aeb5285c964b6d54daebc949e843",
			"another change came first ee16274a5dccf9fd6b0b803769ca598e",
			" 5aacabaabc2642f0a037fbd249acfd09",
		},
		"no old slices": {
			" 5653f84f00d93f1255166a8a56fff608",
			" a746fe812a9bf9d030b84992e0a7fb85",
			" 1bbdcaaac966556aa2e21f773ffab583",
			" affc8f48a4310f63b0b815d1c82ff305",
		},
		"no slices": {
			" 87c14257bfeb4bf1dd9ed21d182c78ab",
			" d11e94d52cb763f04fc51958d1251acc",
			" 91e72447288c239f552c5c4e98bee315",
			" 53edadc71a250f3b7ab1071adda9cf44",
			" a741b0acb464137ab8e8ec3d1ae58af7",
			" a7e805d31648c3b3c08bec4ed0fc2fd2",
		},
		"no slices, switched": {
			" ade20cd7cc8c4c0a38a7a1bbfea6d772",
			" 1a08450aafc24e1da27802234697eb56",
			" b58127bbaa81496a3db5729e31108bb7",
			" 9a0ac646ad1c1cb587515b01ffba8531",
		},
	}
	for name, commands := range malformedPlanLogs() {
		t.Run(name, func(t *testing.T) {
			s, r := initializedState(t), Result{}
			var hashes []string
			for i, c := range commands {
				s, r = s.Apply(c)
				hash, err := s.Hash()
				if err != nil {
					t.Fatal(err)
				}
				hashes = append(hashes, string(r.Reason)+" "+hash)
				requireRestorable(t, s, i)
			}
			if !slices.Equal(hashes, recorded[name]) {
				t.Errorf("states %q\nwant   %q", hashes, recorded[name])
			}
		})
	}
}

// requireRestorable requires that a state can be restored from its snapshot, with the same hash.
func requireRestorable(t *testing.T, s *State, step int) {
	t.Helper()
	restored, err := Restore(mustSnapshot(t, s))
	if err != nil {
		t.Fatalf("command %d: restore: %v", step, err)
	}
	want, err := s.Hash()
	if err != nil {
		t.Fatal(err)
	}
	if got, err := restored.Hash(); err != nil || got != want {
		t.Errorf("command %d: hash of the restored state = %s, error %v, want %s", step, got, err, want)
	}
}

// A command that panicked in earlier versions is rejected, and changes nothing but the version.
func TestMalformedPlanIsNeverCarriedOut(t *testing.T) {
	for name, command := range map[string]Command{
		"switch": advanceOdd(shardmap.Switched),
		"another plan": {Kind: AdvanceShardMap, Index: "odd", ShardMapCommand: &shardmap.Command{
			Request: &shardmap.PlanRequest{Kind: shardmap.Split, Shards: []shardmap.ShardID{1048576}, Pieces: 2},
		}},
	} {
		t.Run(name, func(t *testing.T) {
			s, r := initializedState(t).Apply(Command{Kind: PatchSettings, Payload: malformedDocument("both_hold", "", "")})
			if r.Reason != Applied {
				t.Fatalf("document: result = %+v, want Applied", r)
			}
			before := s.Settings()
			s, r = s.Apply(command)
			if r.Reason != Conflict || s.Settings() != before {
				t.Errorf("result = %+v, want a conflict that changes no settings", r)
			}
		})
	}
}

// The document of a proposal with a malformed plan is rejected before it is in the log, whereas other changes of
// settings that hold such a plan are accepted, as is the removal of its index.
func TestProposalsOfMalformedPlansAreRejected(t *testing.T) {
	sound := initializedState(t).Settings()
	held, err := sound.Patch(malformedDocument("planned", "", ""))
	if err != nil {
		t.Fatal(err)
	}
	held.Revision = 1 // as in the store
	for name, c := range map[string]struct {
		current  *searchconfig.Config
		patch    []byte
		rejected bool
	}{
		"no slices":            {sound, malformedDocument("planned", "", ""), true},
		"no old slices":        {sound, malformedDocument("planned", "", newMiddle), true},
		"no new slices":        {sound, malformedDocument("planned", lowHalf, ""), true},
		"beyond the old ones":  {sound, malformedDocument("planned", lowHalf, newWhole), true},
		"unknown step":         {sound, malformedDocument("soon", "", ""), true},
		"ended step":           {sound, malformedDocument("retired", "", ""), true},
		"another setting":      {held, []byte(`{"search.max_result_window":5}`), false},
		"removal of the index": {held, []byte(`{"indices.odd":null}`), false},
	} {
		t.Run(name, func(t *testing.T) {
			next, err := c.current.Patch(c.patch)
			if err != nil {
				t.Fatal(err)
			}
			if err := next.CheckProposal(c.current, 0); (err != nil) != c.rejected {
				t.Errorf("error = %v, want one: %v", err, c.rejected)
			}
		})
	}
}
