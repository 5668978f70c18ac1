package store

import "testing"

// A follower was stopped for so long that the log no longer holds the entries that it lacks. It must catch up by a
// snapshot while changes continue.
func TestSnapshotInstalledOnLaggingFollowerDuringChanges(t *testing.T) {
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
			t.Errorf("hash of the state at n%d = %s, error = %v; want %s, as at n0", i, hash, err, want)
		}
	}
	if index := c.stores[lagging].raft.Stats()["last_snapshot_index"]; index == "0" {
		t.Errorf("last_snapshot_index of the lagging follower = %s, want an installed snapshot", index)
	}
}

// compact waits until an instance has applied a max_result_window, takes a snapshot there, and checks that its log no
// longer holds the first entries. It is needed at every running instance, since any of them may be the leader when the
// follower restarts.
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
		c.t.Fatalf("first index of the log = %d, error = %v; want at least 20, to need a snapshot", first, err)
	}
}
