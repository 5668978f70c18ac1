package store

import (
	"errors"
	"testing"

	"linkpass/internal/searchconfig"
)

func TestStoreElectsReplicatesAndSurvivesLeaderLoss(t *testing.T) {
	c := newCluster(t)
	c.awaitWindow(50) // what the files say holds until something is replicated
	leader := c.patch(windowPatch(7))
	c.awaitWindow(7)
	for i, s := range c.stores {
		if i == leader {
			continue
		}
		var other *NotLeader
		c.eventually("a follower that names the leader", func() bool {
			_, err := s.PatchSettings([]byte(windowPatch(8)))
			return errors.As(err, &other)
		})
		if _, ok := c.stores[leader].config.member(other.Leader.ID); !ok || other.Leader.HTTP == "" {
			t.Errorf("named %+v", other.Leader)
		}
	}
	if _, err := c.stores[leader].PatchSettings([]byte(`{"servers.s-1.protocol":"telnet"}`)); !errors.Is(err, searchconfig.ErrInvalid) {
		t.Errorf("an unusable change: %v", err)
	}
	c.stop(leader)
	if next := c.patch(`{"servers":{"s-1":{"protocol":"search"}}}`); next == leader {
		t.Error("a stopped instance leads")
	}
	c.awaitWindow(7)
	c.open(leader, nil) // comes back from its own disk and catches up
	c.eventually("the change made while it was away", func() bool { return c.stores[leader].Settings().Protocol("s-1") == searchconfig.ProtocolSearch })
}

func TestStoreRestoresSnapshotAndLogAfterFullRestart(t *testing.T) {
	c := newCluster(t)
	c.patch(windowPatch(9))
	c.awaitWindow(9)
	for i := range 3 {
		if err := c.stores[i].raft.Snapshot().Error(); err != nil { // one part from a snapshot ...
			t.Fatal(err)
		}
	}
	c.patch(`{"servers":{"s-1":{"protocol":"search"}}}`) // ... and one from the log
	for i := range 3 {
		c.stop(i)
	}
	for i := range 3 {
		c.open(i, nil)
	}
	c.awaitWindow(9)
	c.eventually("the change from the log", func() bool {
		for _, s := range c.stores {
			if s.Settings().Protocol("s-1") != searchconfig.ProtocolSearch {
				return false
			}
		}
		return true
	})
}

// Without a majority nothing is taken and nothing is read as if it were confirmed.
func TestPatchAndReadWithoutQuorumFail(t *testing.T) {
	c := newCluster(t)
	leader := c.patch(windowPatch(9))
	c.awaitWindow(9)
	for i := range 3 {
		if i != leader {
			c.stop(i)
		}
	}
	last := c.stores[leader]
	_, err := last.PatchSettings([]byte(windowPatch(10)))
	if !errors.Is(err, ErrNoQuorum) && !errors.Is(err, ErrNoLeader) {
		t.Errorf("a change without a majority: %v", err)
	}
	c.eventually("the end of its lead", func() bool {
		_, err := last.Read()
		return errors.Is(err, ErrNoLeader)
	})
	if last.Settings().MaxResultWindow() != 9 {
		t.Error("an unconfirmed change is in force")
	}
}

func TestOpenRejectsInvalidConfig(t *testing.T) {
	for _, c := range []Config{{}, {ID: "a", Dir: t.TempDir()}, {ID: "a", Members: []Member{{ID: "a", Raft: "127.0.0.1:0"}}}} {
		if s, err := Open(c); err == nil {
			t.Errorf("opened %+v", c)
			_ = s.Close()
		}
	}
}
