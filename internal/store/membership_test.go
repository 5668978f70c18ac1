package store

import (
	"errors"
	"fmt"
	"net"
	"path/filepath"
	"testing"
)

// A fourth instance joins while changes go on, learns, and votes once it has caught up; a dead member is replaced; what
// would lose the majority is refused; and an old id cannot come back at another address.
func TestMembershipChangesUnderChanges(t *testing.T) {
	c := newCluster(t)
	leader := c.patch(windowPatch(7))
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	m := Member{ID: "n3", Raft: ln.Addr().String(), HTTP: "http-3"}
	join := Config{ID: m.ID, Dir: filepath.Join(c.dir, m.ID), Members: []Member{m}, Join: true, TimeScale: testTimeScale, Listener: ln}
	fourth, err := Open(join)
	if err != nil {
		t.Fatal(err)
	}
	c.members, c.stores = append(c.members, m), append(c.stores, fourth)
	caught := func(_ Member, version uint64) error {
		if v := fourth.State().Version(); v < version {
			return fmt.Errorf("version %d of %d", v, version)
		}
		return nil
	}
	s := c.stores[leader]
	if err := s.PromoteLearner("n3", caught); !errors.Is(err, ErrUnknownMember) {
		t.Errorf("a stranger votes: %v", err)
	}
	for range 2 { // asked again after a lost answer
		if err := s.AddLearner(m); err != nil {
			t.Fatal(err)
		}
	}
	if err := s.AddLearner(Member{"n3", "127.0.0.1:1", "x"}); !errors.Is(err, ErrUnknownMember) {
		t.Errorf("the same id at another address: %v", err)
	}
	if err := s.PromoteLearner("n3", func(Member, uint64) error { return errors.New("far behind") }); !errors.Is(err, ErrLearnerBehind) {
		t.Errorf("one that is behind votes: %v", err)
	}
	c.eventually("the learner caught up", func() bool { return s.PromoteLearner("n3", caught) == nil })
	c.patch(windowPatch(8))
	c.awaitWindow(8)
	voters := func() (n int) {
		peers, err := s.MemberStatuses()
		if err != nil {
			t.Fatal(err)
		}
		for _, p := range peers {
			if p.Voter && p.HTTP != "" {
				n++
			}
		}
		return n
	}
	if n := voters(); n != 4 {
		t.Errorf("%d voters", n)
	}
	dead := (leader + 1) % 3
	c.stop(dead)
	c.eventually("the dead member is taken away", func() bool { return s.RemoveMember(t.Context(), c.members[dead].ID) == nil })
	if n := voters(); n != 3 {
		t.Errorf("%d voters after one was replaced", n)
	}
	c.stop((leader + 2) % 3)
	if err := s.RemoveMember(t.Context(), "n3"); !errors.Is(err, ErrQuorumAtRisk) {
		t.Errorf("the majority was given away: %v", err)
	}
	c.patch(windowPatch(9)) // two of three still are one
	if fourth.Settings().MaxResultWindow() == 9 {
		return
	}
	c.eventually("the change at the fourth", func() bool { return fourth.Settings().MaxResultWindow() == 9 })
}
