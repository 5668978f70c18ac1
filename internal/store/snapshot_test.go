package store

import (
	"fmt"
	"testing"
)

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
