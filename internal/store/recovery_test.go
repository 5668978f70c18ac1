package store

import (
	"errors"
	"path/filepath"
	"testing"

	"linkpass/internal/searchconfig"
)

// A majority that is lost for good: recovery is refused while the instance runs and while another member answers, and then
// brings back alone all that this instance holds; others may join it again.
func TestRecoverAfterQuorumLoss(t *testing.T) {
	c := newCluster(t)
	leader := c.patch(windowPatch(7))
	c.patch(`{"servers":{"s-1":{"protocol":"search"}}}`)
	c.awaitWindow(7)
	left := (leader + 1) % 3
	c.eventually("all of it at the one that is left", func() bool { return c.stores[left].Settings().Protocol("s-1") == searchconfig.ProtocolSearch })
	want, err := c.stores[left].State().Hash()
	if err != nil {
		t.Fatal(err)
	}
	conf := Config{ID: c.members[left].ID, Dir: filepath.Join(c.dir, c.members[left].ID), Members: c.members}
	if _, err := Recover(t.Context(), conf, true); !errors.Is(err, ErrRecoveryRefused) {
		t.Errorf("while it runs: %v", err)
	}
	c.stop(left)
	if _, err := Recover(t.Context(), conf, false); !errors.Is(err, ErrRecoveryRefused) {
		t.Errorf("while others answer: %v", err)
	}
	c.stop(leader)
	c.stop((leader + 2) % 3)
	r, err := Recover(t.Context(), conf, false)
	if err != nil || r.Hash != want || len(r.Dropped) != 2 {
		t.Fatalf("%+v %v, want %s", r, err, want)
	}
	c.open(left, nil)
	c.patch(windowPatch(9)) // it leads alone
	if s := c.stores[left]; s.Settings().MaxResultWindow() != 9 || s.Settings().Protocol("s-1") != searchconfig.ProtocolSearch {
		t.Errorf("%+v", s.Settings())
	}
	if peers, err := c.stores[left].MemberStatuses(); err != nil || len(peers) != 1 {
		t.Errorf("%v %v", peers, err)
	}
	if _, err := Recover(t.Context(), Config{ID: "x", Dir: t.TempDir(), Members: []Member{{ID: "x", Raft: "127.0.0.1:1"}}}, true); !errors.Is(err, ErrRecoveryRefused) {
		t.Errorf("from nothing: %v", err)
	}
}
