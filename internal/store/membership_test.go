package store

import (
	"errors"
	"fmt"
	"net"
	"path/filepath"
	"testing"
)

// join starts a fourth instance that waits to be added.
func (c *cluster) join() (Member, *Store) {
	c.t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		c.t.Fatal(err)
	}
	m := Member{ID: "n3", Raft: ln.Addr().String(), HTTP: "http-3"}
	s, err := Open(Config{
		ID:        m.ID,
		Dir:       filepath.Join(c.dir, m.ID),
		Members:   []Member{m},
		Join:      true,
		TimeScale: testTimeScale,
		Listener:  ln,
	})
	if err != nil {
		c.t.Fatal(err)
	}
	c.members = append(c.members, m)
	c.stores = append(c.stores, s)
	return m, s
}

// requireVoters checks the number of voters with a known HTTP address.
func requireVoters(t *testing.T, s *Store, want int) {
	t.Helper()
	members, err := s.MemberStatuses()
	if err != nil {
		t.Fatal(err)
	}
	voters := 0
	for _, m := range members {
		if m.Voter && m.HTTP != "" {
			voters++
		}
	}
	if voters != want {
		t.Errorf("%d voters, want %d: %+v", voters, want, members)
	}
}

// A fourth instance joins while changes go on, learns, and votes once it has caught up; a dead member is removed; a
// removal that would lose the quorum is rejected; an id can't be reused at another address.
func TestMembershipChangesUnderChanges(t *testing.T) {
	c := newCluster(t)
	leader := c.patch(windowPatch(7))
	s := c.stores[leader]
	m, joined := c.join()
	caughtUp := func(_ Member, version uint64) error {
		if v := joined.State().Version(); v < version {
			return fmt.Errorf("version %d of %d", v, version)
		}
		return nil
	}
	farBehind := func(Member, uint64) error { return errors.New("far behind") }

	if err := s.PromoteLearner(t.Context(), m.ID, caughtUp); !errors.Is(err, ErrUnknownMember) {
		t.Errorf("promotion of an unknown member: %v", err)
	}
	for range 2 { // the second is a retry after a lost response
		if err := s.AddLearner(t.Context(), m); err != nil {
			t.Fatal(err)
		}
	}
	elsewhere := Member{ID: m.ID, Raft: "127.0.0.1:1", HTTP: "x"}
	if err := s.AddLearner(t.Context(), elsewhere); !errors.Is(err, ErrUnknownMember) {
		t.Errorf("the same id at another address: %v", err)
	}
	if err := s.PromoteLearner(t.Context(), m.ID, farBehind); !errors.Is(err, ErrLearnerBehind) {
		t.Errorf("promotion of a learner that is behind: %v", err)
	}
	c.eventually("the learner has caught up", func() bool {
		return s.PromoteLearner(t.Context(), m.ID, caughtUp) == nil
	})
	c.patch(windowPatch(8))
	c.awaitWindow(8)
	requireVoters(t, s, 4)

	dead := (leader + 1) % 3
	c.stop(dead)
	c.eventually("the dead member is removed", func() bool {
		return s.RemoveMember(t.Context(), c.members[dead].ID) == nil
	})
	requireVoters(t, s, 3)

	c.stop((leader + 2) % 3)
	if err := s.RemoveMember(t.Context(), m.ID); !errors.Is(err, ErrQuorumAtRisk) {
		t.Errorf("removal that loses the quorum: %v", err)
	}
	c.patch(windowPatch(9)) // two of three voters are a quorum
	c.eventually("the change at the fourth instance", func() bool {
		return joined.Settings().MaxResultWindow() == 9
	})
}
