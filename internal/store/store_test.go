package store

import (
	"errors"
	"testing"

	"linkpass/internal/searchconfig"
)

// searchProtocolPatch sets the protocol of server s-1.
const searchProtocolPatch = `{"servers":{"s-1":{"protocol":"search"}}}`

// hasSearchProtocol reports whether searchProtocolPatch is applied at an instance.
func hasSearchProtocol(s *Store) bool {
	return s.Settings().Protocol("s-1") == searchconfig.ProtocolSearch
}

func TestStoreElectsReplicatesAndSurvivesLeaderLoss(t *testing.T) {
	c := newCluster(t)
	c.awaitWindow(50) // the configured settings apply until some are replicated
	leader := c.patch(windowPatch(7))
	c.awaitWindow(7)
	for i, s := range c.stores {
		if i == leader {
			continue
		}
		var notLeader *NotLeaderError
		c.eventually("a follower that names the leader", func() bool {
			_, err := s.PatchSettings(t.Context(), []byte(windowPatch(8)))
			return errors.As(err, &notLeader)
		})
		named := notLeader.Leader
		if _, ok := c.stores[leader].config.member(named.ID); !ok || named.HTTP == "" {
			t.Errorf("leader in NotLeaderError = %+v, want a member with an HTTP address", named)
		}
	}
	invalid := []byte(`{"servers.s-1.protocol":"telnet"}`)
	if _, err := c.stores[leader].PatchSettings(t.Context(), invalid); !errors.Is(err, searchconfig.ErrInvalid) {
		t.Errorf("invalid patch: error = %v, want searchconfig.ErrInvalid", err)
	}
	c.stop(leader)
	if next := c.patch(searchProtocolPatch); next == leader {
		t.Errorf("leader = %d, which is stopped; want another instance", next)
	}
	c.awaitWindow(7)
	c.open(leader, nil)
	c.eventually("the change made while the instance was down", func() bool {
		return hasSearchProtocol(c.stores[leader])
	})
}

func TestStoreRestoresSnapshotAndLogAfterFullRestart(t *testing.T) {
	c := newCluster(t)
	c.patch(windowPatch(9))
	c.awaitWindow(9)
	for i := range 3 {
		if err := c.stores[i].raft.Snapshot().Error(); err != nil {
			t.Fatal(err)
		}
	}
	c.patch(searchProtocolPatch) // applied after the snapshot, so that it is restored from the log
	c.restartAll()
	c.awaitWindow(9)
	c.eventually("the change from the log", func() bool {
		for _, s := range c.stores {
			if !hasSearchProtocol(s) {
				return false
			}
		}
		return true
	})
}

// Without a quorum, no change is committed and linearizable reads fail.
func TestPatchAndReadWithoutQuorumFail(t *testing.T) {
	c := newCluster(t)
	leader := c.patch(windowPatch(9))
	c.awaitWindow(9)
	for i := range 3 {
		if i != leader {
			c.stop(i)
		}
	}
	isolated := c.stores[leader]
	_, err := isolated.PatchSettings(t.Context(), []byte(windowPatch(10)))
	if !errors.Is(err, ErrNoQuorum) && !errors.Is(err, ErrNoLeader) {
		t.Errorf("patch without a quorum: error = %v, want ErrNoQuorum or ErrNoLeader", err)
	}
	c.eventually("the end of its leadership", func() bool {
		_, err := isolated.Read(t.Context())
		return errors.Is(err, ErrNoLeader)
	})
	if isolated.Settings().MaxResultWindow() != 9 {
		t.Errorf("max_result_window = %d, want 9: the change has no quorum", isolated.Settings().MaxResultWindow())
	}
}

func TestOpenRejectsInvalidConfig(t *testing.T) {
	for _, c := range []struct {
		name   string
		config Config
	}{
		{"empty", Config{}},
		{"not among the members", Config{ID: "a", Dir: t.TempDir()}},
		{"no directory", Config{ID: "a", Members: []Member{{ID: "a", Raft: "127.0.0.1:0"}}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			if s, err := Open(c.config); err == nil {
				t.Errorf("Open(%+v) succeeded, want an error", c.config)
				_ = s.Close()
			}
		})
	}
}
