package store

import (
	"errors"
	"path/filepath"
	"testing"

	"linkpass/internal/searchconfig"
)

// Recovery is refused while the instance is running and while another member accepts connections. Otherwise it makes
// the instance the only member, with the complete state that the instance had.
func TestRecoverAfterQuorumLoss(t *testing.T) {
	c := newCluster(t)
	leader := c.patch(windowPatch(7))
	c.patch(`{"servers":{"s-1":{"protocol":"search"}}}`)
	c.awaitWindow(7)
	survivor := (leader + 1) % 3
	c.eventually("all changes at the survivor", func() bool {
		return c.stores[survivor].Settings().Protocol("s-1") == searchconfig.ProtocolSearch
	})
	want, err := c.stores[survivor].State().Hash()
	if err != nil {
		t.Fatal(err)
	}
	conf := Config{
		ID:      c.members[survivor].ID,
		Dir:     filepath.Join(c.dir, c.members[survivor].ID),
		Members: c.members,
	}
	if _, err := Recover(t.Context(), conf, true); !errors.Is(err, ErrRecoveryRefused) {
		t.Errorf("while the instance is running: error = %v, want ErrRecoveryRefused", err)
	}
	c.stop(survivor)
	if _, err := Recover(t.Context(), conf, false); !errors.Is(err, ErrRecoveryRefused) {
		t.Errorf("while other members are running: error = %v, want ErrRecoveryRefused", err)
	}
	c.stop(leader)
	c.stop((leader + 2) % 3)
	r, err := Recover(t.Context(), conf, false)
	if err != nil || r.Hash != want || len(r.Dropped) != 2 {
		t.Fatalf("result = %+v, error = %v; want hash %s and 2 dropped members", r, err, want)
	}
	c.open(survivor, nil)
	c.patch(windowPatch(9)) // its own vote alone is a quorum
	s := c.stores[survivor]
	if s.Settings().MaxResultWindow() != 9 || s.Settings().Protocol("s-1") != searchconfig.ProtocolSearch {
		t.Errorf("settings after recovery = %+v, want max_result_window 9 and protocol search of s-1", s.Settings())
	}
	if members, err := s.MemberStatuses(); err != nil || len(members) != 1 {
		t.Errorf("members after recovery = %v, error = %v; want 1 member", members, err)
	}
}

func TestRecoverWithoutStateIsRefused(t *testing.T) {
	conf := Config{ID: "x", Dir: t.TempDir(), Members: []Member{{ID: "x", Raft: "127.0.0.1:1"}}}
	if _, err := Recover(t.Context(), conf, true); !errors.Is(err, ErrRecoveryRefused) {
		t.Errorf("error = %v, want ErrRecoveryRefused", err)
	}
}
