package store

import (
	"errors"
	"fmt"
	"net"
	"path/filepath"
	"testing"
)

// join starts a fourth instance, n3, which waits until the other members add it.
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

// requireVoters requires the number of voters that have an HTTP address.
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
		t.Errorf("number of voters = %d, want %d; members: %+v", voters, want, members)
	}
}

// While settings change, a fourth instance is added as a learner, becomes a voter after it has caught up, and a stopped
// member is removed. A removal that would lose the quorum is rejected, as is an id that is in use at another address.
func TestMembershipChangesDuringSettingsChanges(t *testing.T) {
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
		t.Errorf("promotion of an unknown member: error = %v, want ErrUnknownMember", err)
	}
	for range 2 { // the second call is a retry, as after a lost response
		if err := s.AddLearner(t.Context(), m); err != nil {
			t.Fatal(err)
		}
	}
	atOtherAddress := Member{ID: m.ID, Raft: "127.0.0.1:1", HTTP: "x"}
	if err := s.AddLearner(t.Context(), atOtherAddress); !errors.Is(err, ErrUnknownMember) {
		t.Errorf("same id at another address: error = %v, want ErrUnknownMember", err)
	}
	if err := s.PromoteLearner(t.Context(), m.ID, farBehind); !errors.Is(err, ErrLearnerBehind) {
		t.Errorf("promotion of a learner that is behind: error = %v, want ErrLearnerBehind", err)
	}
	c.eventually("the learner has caught up", func() bool {
		return s.PromoteLearner(t.Context(), m.ID, caughtUp) == nil
	})
	c.patch(windowPatch(8))
	c.awaitWindow(8)
	requireVoters(t, s, 4)
	// The instance that joined has itself alone in its file, and broadcasts its drains to all members.
	requireVoters(t, joined, 4)

	stopped := (leader + 1) % 3
	c.stop(stopped)
	c.eventually("the stopped member is removed", func() bool {
		return s.RemoveMember(t.Context(), c.members[stopped].ID) == nil
	})
	requireVoters(t, s, 3)

	c.stop((leader + 2) % 3)
	if err := s.RemoveMember(t.Context(), m.ID); !errors.Is(err, ErrQuorumAtRisk) {
		t.Errorf("removal that would lose the quorum: error = %v, want ErrQuorumAtRisk", err)
	}
	c.patch(windowPatch(9)) // two of three voters form a quorum
	c.eventually("the change at the fourth instance", func() bool {
		return joined.Settings().MaxResultWindow() == 9
	})
}
