package store

import (
	"bytes"
	"errors"
	"fmt"
	"testing"

	"linkpass/internal/config"
	"linkpass/internal/config/restriction"
	"linkpass/internal/searchconfig"
)

// A change that is too large, or one too many, is refused and changes nothing; orders on servers go on.
func TestChangeOverLimitIsRejected(t *testing.T) {
	c := newCluster(t)
	s := c.stores[c.patch(windowPatch(7))]
	big := config.Command{Kind: config.SetMemberAddress, Server: "n9", Payload: bytes.Repeat([]byte("x"), MaxCommandBytes)}
	if _, err := s.Propose(big); !errors.Is(err, ErrTooLarge) {
		t.Errorf("an entry over the bound: %v", err)
	}
	s.limiter.SetLimit(0)
	for s.limiter.Allow() {
	}
	_, change := s.PatchSettings([]byte(windowPatch(8)))
	_, update := s.UpdateSettings(func(now *searchconfig.Config) (*searchconfig.Config, error) { return now.Patch([]byte(windowPatch(8))) })
	_, command := s.Propose(config.Command{Kind: config.SetServerWeight, Server: "s-1", Weight: 2})
	for _, err := range []error{change, update, command} {
		if !errors.Is(err, ErrBusy) {
			t.Errorf("one too many: %v", err)
		}
	}
	order := restriction.Request{ID: restriction.ID{Origin: restriction.Origin{Instance: "n0", Incarnation: 1}, Seq: 1}, Server: "s-1", Level: restriction.Removed, Force: true}
	if r, err := s.Propose(config.Command{Kind: config.RestrictServer, Restriction: &order}); err != nil || r.Reason != config.Applied {
		t.Errorf("an order: %+v %v", r, err)
	}
	if w := s.Settings().MaxResultWindow(); w != 7 {
		t.Errorf("window %d", w)
	}
}

// A follower that was away for longer than the log is kept gets the snapshot while changes go on, and has all of them.
func TestSnapshotInstalledOnLaggingFollowerUnderChanges(t *testing.T) {
	c := &cluster{t: t, dir: t.TempDir(), trailingLogs: 8}
	c.start()
	leader := c.patch(windowPatch(7))
	c.awaitWindow(7)
	away := (leader + 1) % 3
	c.stop(away)
	for i := range 40 {
		c.patch(windowPatch(100 + i))
	}
	if err := c.stores[leader].raft.Snapshot().Error(); err != nil {
		t.Fatal(err)
	}
	first, err := c.stores[leader].bolt.FirstIndex()
	if err != nil || first < 20 {
		t.Fatalf("the log begins at %d, %v: no snapshot is needed", first, err)
	}
	c.open(away, nil)
	for i := range 40 {
		c.patch(windowPatch(200 + i))
	}
	c.awaitWindow(239)
	hash := ""
	for i, s := range c.stores {
		h, err := s.State().Hash()
		if hash == "" {
			hash = h
		}
		if err != nil || h != hash {
			t.Errorf("n%d: %s, %s elsewhere, %v", i, h, hash, err)
		}
	}
	if n := c.stores[away].raft.Stats()["last_snapshot_index"]; n == "0" {
		t.Error(fmt.Sprint("no snapshot came: ", n))
	}
}
