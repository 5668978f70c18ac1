package store

import (
	"path/filepath"
	"testing"
	"time"
)

// confirmedTerm waits until an instance leads and returns its term.
func confirmedTerm(t *testing.T, s *Store) (term uint64) {
	t.Helper()
	eventually(t, "a confirmed leader", func() bool {
		leader, err := s.ConfirmLeader(t.Context())
		term = leader.Term
		return err == nil
	})
	return term
}

// The terms of leaders, by which servers order what leaders send them, never go back: neither by a restart nor by the
// recovery of a member that was behind the lost majority, nor in a store that is bootstrapped anew in place of another.
func TestTermsNeverGoBack(t *testing.T) {
	c := newCluster(t)
	leader := c.patch(windowPatch(7))
	c.awaitWindow(7)
	survivor := (leader + 1) % 3
	c.stop(survivor)
	c.patch(windowPatch(8)) // the others go on, and elect another leader below
	c.stop(leader)
	c.open(leader, nil)
	c.patch(windowPatch(9))
	var highest uint64
	for i, s := range c.stores {
		if i != survivor {
			highest = max(highest, s.raft.CurrentTerm())
			c.stop(i)
		}
	}
	conf := Config{ID: c.members[survivor].ID, Dir: filepath.Join(c.dir, c.members[survivor].ID), Members: c.members}
	if _, err := Recover(t.Context(), conf, false); err != nil {
		t.Fatal(err)
	}
	c.open(survivor, nil)
	recovered := confirmedTerm(t, c.stores[survivor])
	if recovered <= highest {
		t.Errorf("term after the recovery = %d, want one above %d, that of the lost majority", recovered, highest)
	}
	c.stop(survivor)
	c.open(survivor, nil)
	if term := confirmedTerm(t, c.stores[survivor]); term <= recovered {
		t.Errorf("term after a restart = %d, want one above %d", term, recovered)
	} else {
		recovered = term
	}
	anew := newSingleMember(t)
	if term := confirmedTerm(t, anew.store); term <= recovered {
		t.Errorf("term of a new store = %d, want one above %d", term, recovered)
	}
}

func TestTermFloorGrowsWithTime(t *testing.T) {
	now := time.Date(2026, 12, 4, 13, 0, 0, 0, time.UTC)
	if a, b := termFloor(now), termFloor(now.Add(time.Millisecond)); b-a != termsPerMillisecond {
		t.Errorf("floors = %d, %d; want them %d apart", a, b, termsPerMillisecond)
	}
	const maxJSONInteger = 1 << 53 // readers of JSON may hold numbers as floating point
	if floor := termFloor(now.AddDate(100, 0, 0)); floor >= maxJSONInteger {
		t.Errorf("floor in 100 years = %d, want it below %d", floor, uint64(maxJSONInteger))
	}
}
