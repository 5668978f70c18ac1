package store

import "testing"

// A follower that was down for longer than the log is kept gets a snapshot while changes go on, and catches up.
func TestSnapshotInstalledOnLaggingFollowerUnderChanges(t *testing.T) {
	c := &cluster{t: t, dir: t.TempDir(), trailingLogs: 8}
	c.start()
	leader := c.patch(windowPatch(7))
	c.awaitWindow(7)
	lagging := (leader + 1) % 3
	c.stop(lagging)
	for i := range 40 {
		c.patch(windowPatch(100 + i))
	}
	for i, s := range c.stores {
		if i != lagging {
			c.compact(s, 139)
		}
	}
	c.open(lagging, nil)
	for i := range 40 {
		c.patch(windowPatch(200 + i))
	}
	c.awaitWindow(239)
	want, err := c.stores[0].State().Hash()
	if err != nil {
		t.Error(err)
	}
	for i, s := range c.stores {
		hash, err := s.State().Hash()
		if err != nil || hash != want {
			t.Errorf("n%d: state %s, %s at n0, %v", i, hash, want, err)
		}
	}
	if index := c.stores[lagging].raft.Stats()["last_snapshot_index"]; index == "0" {
		t.Errorf("no snapshot was installed: index %s", index)
	}
}

// compact waits until an instance has applied the change to a window, takes a snapshot there, and checks that its log
// no longer reaches back to the start. Any instance may lead by the time that a follower comes back.
func (c *cluster) compact(s *Store, window int) {
	c.t.Helper()
	c.eventually("the last change before the snapshot", func() bool {
		return s.Settings().MaxResultWindow() == window
	})
	if err := s.raft.Snapshot().Error(); err != nil {
		c.t.Fatal(err)
	}
	first, err := s.bolt.FirstIndex()
	if err != nil || first < 20 {
		c.t.Fatalf("the log begins at %d, %v: no snapshot is needed", first, err)
	}
}
