package store

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/hashicorp/raft"

	"linkpass/internal/config"
	"linkpass/internal/config/restriction"
	"linkpass/internal/searchconfig"
)

// readyLimit is the time in which a restarted coordinator must be ready on a short day of the standing test.
const readyLimit = 6 * time.Second

// drainServer commits the drain of a server.
func (c *cluster) drainServer(id string) {
	c.t.Helper()
	request := restrictionRequest(1, id, restriction.Draining)
	c.propose(config.Command{Kind: config.RestrictServer, Restriction: &request})
}

// Guards against a restarted instance that forgets what it had applied until a leader tells it: without a quorum that
// never happens. What it knew is in force at once, and reads that need more fail honestly.
func TestRestartWithoutQuorumRestoresAppliedState(t *testing.T) {
	for _, withSnapshot := range []bool{false, true} {
		t.Run(fmt.Sprint("snapshot ", withSnapshot), func(t *testing.T) {
			c := newCluster(t)
			c.patch(windowPatch(7))
			if withSnapshot {
				c.awaitWindow(7)
				for _, s := range c.stores {
					if err := s.raft.Snapshot().Error(); err != nil {
						t.Fatal(err)
					}
				}
			}
			c.drainServer("s-1")
			c.patch(windowPatch(8))
			c.awaitWindow(8)
			for i := range c.stores {
				c.stop(i)
			}
			c.open(0, nil)
			s := c.stores[0]
			if got := s.State().Restriction("s-1"); got != restriction.Draining {
				t.Errorf("restriction right after the start = %s, want %s", got, restriction.Draining)
			}
			if got := s.Settings().MaxResultWindow(); got != 8 {
				t.Errorf("max_result_window right after the start = %d, want 8", got)
			}
			if _, err := s.CaughtUpSettings(); !errors.Is(err, ErrNotCaughtUp) {
				t.Errorf("CaughtUpSettings without a quorum: error = %v, want ErrNotCaughtUp", err)
			}
			got := readAll(t.Context(), s, time.Minute)
			if !errors.Is(got.stale, ErrStale) || got.linearizable == nil || got.lease == nil {
				t.Errorf("errors without a quorum = %+v, want one for each read but the local one", got)
			}
			began := time.Now()
			c.stop(0)
			if took := time.Since(began); took > quorumTimeout {
				t.Errorf("Close took %s while the instance was catching up, want at most %s", took, quorumTimeout)
			}
		})
	}
}

// Guards against a follower that counts as caught up in the middle of catching up: the changes that it missed come in
// several messages, and heartbeats come before them.
func TestRestartedFollowerServesOnlyLatestSettings(t *testing.T) {
	for _, asksLeader := range []bool{false, true} {
		t.Run(fmt.Sprint("asks leader ", asksLeader), func(t *testing.T) {
			c := newCluster(t)
			leader := c.patch(windowPatch(7))
			c.awaitWindow(7)
			if asksLeader {
				c.leaderVersion = func(ctx context.Context, _ Member) (uint64, error) {
					return c.stores[leader].ConfirmedVersion(ctx)
				}
			}
			c.restartWithMissedChanges((leader + 1) % len(c.stores))
		})
	}
}

// restartWithMissedChanges restarts a follower several times, each time with more missed changes than one message has,
// and checks that it has the last of them as soon as it has caught up.
func (c *cluster) restartWithMissedChanges(victim int) {
	const missed = 3*maxAppendEntries + 1
	t := c.t
	t.Helper()
	for round := range restarts {
		c.stop(victim)
		last := 100*(round+1) + missed
		for n := last - missed + 1; n <= last; n++ {
			c.patch(windowPatch(n))
		}
		c.open(victim, nil)
		s := c.stores[victim]
		if got := s.Settings().MaxResultWindow(); got == storedWindow {
			t.Fatalf("max_result_window right after the start = %d, that of the file", got)
		}
		for s.CaughtUp() != nil && t.Context().Err() == nil {
			settings, err := s.ReadWith(t.Context(), ReadOptions{Consistency: Stale, MaxAge: time.Minute})
			if err == nil && settings.MaxResultWindow() != last {
				t.Fatalf("stale read before catching up = %d, want an error or %d", settings.MaxResultWindow(), last)
			}
		}
		settings, err := s.CaughtUpSettings()
		if err != nil || settings.MaxResultWindow() != last {
			t.Fatalf("round %d: settings once caught up = %+v, error %v; want max_result_window %d",
				round, settings, err, last)
		}
	}
}

// An instance that starts without state on disk serves its file at once; one that joins a running store does not.
func TestFirstStartCountsAsCaughtUpUnlessItJoins(t *testing.T) {
	m := newSingleMember(t)
	if err := m.store.CaughtUp(); err != nil {
		t.Errorf("first start: %v, want no error", err)
	}
	config := m.config
	config.ID = "n1"
	config.Join = true
	config.Dir = t.TempDir()
	config.Members = []Member{{ID: "n1", Raft: "127.0.0.1:0", HTTP: "http-1"}}
	joining, err := Open(config)
	if err != nil {
		t.Fatal(err)
	}
	defer mustClose(t, joining)
	if err := joining.CaughtUp(); !errors.Is(err, ErrNotCaughtUp) {
		t.Errorf("joining instance: error = %v, want ErrNotCaughtUp", err)
	}
}

// A start stays fast with a log that is as long as it gets between two snapshots, and longer than the Raft library's
// queue of entries to apply (2048).
func TestStartWithLongLogIsFast(t *testing.T) {
	const entries = 3000
	m := newSingleMember(t)
	awaitLeader(t, m.store)
	var last raft.ApplyFuture
	for i := range entries {
		data, err := config.Encode(config.Command{Kind: config.PatchSettings, Payload: []byte(windowPatch(i + 1))})
		if err != nil {
			t.Fatal(err)
		}
		if i == 0 {
			if _, err := m.store.PatchSettings(t.Context(), []byte(windowPatch(7))); err != nil {
				t.Fatal(err)
			}
		}
		last = m.store.raft.Apply(data, quorumTimeout)
	}
	if err := last.Error(); err != nil {
		t.Fatal(err)
	}
	mustClose(t, m.store)
	began := time.Now()
	m.open()
	if took := time.Since(began); took > readyLimit {
		t.Errorf("Open took %s, want at most %s", took, readyLimit)
	}
	if got := m.store.Settings().MaxResultWindow(); got != entries {
		t.Errorf("max_result_window right after the start = %d, want %d", got, entries)
	}
}

// A snapshot that is taken while the log is replayed has the state of its own index, not the later one that was
// restored at the start.
func TestSnapshotDuringReplayHasAppliedState(t *testing.T) {
	f := newFSM(&searchconfig.Config{})
	document := func(revision, window int) []byte {
		return fmt.Appendf(nil, `{"revision":%d,"search":{"max_result_window":%d}}`, revision, window)
	}
	later := newFSM(&searchconfig.Config{})
	requireSettingsApplied(t, later, document(1, 5))
	requireSettingsApplied(t, later, document(2, 6))
	f.setRestored(restoredState{state: later.current.Load(), index: 2})
	requireSettingsApplied(t, f, document(1, 5))
	if got := f.current.Load().Settings().MaxResultWindow(); got != 6 {
		t.Errorf("max_result_window seen by readers during the replay = %d, want the restored 6", got)
	}
	captured, err := f.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if got := captured.(snapshot).state.Settings().MaxResultWindow(); got != 5 {
		t.Errorf("max_result_window in the snapshot = %d, want 5, that of the entries passed so far", got)
	}
}

// An instance that has missed nothing has caught up as soon as the leader says so, even if the leader sends it no log.
// Only a leader with a quorum may say so.
func TestRestartedFollowerTrustsOnlyConfirmedLeader(t *testing.T) {
	c := newCluster(t)
	leader := c.patch(windowPatch(7))
	c.awaitWindow(7)
	follower := (leader + 1) % len(c.stores)
	if _, err := c.stores[follower].ConfirmedVersion(t.Context()); err == nil {
		t.Error("ConfirmedVersion at a follower succeeded, want an error")
	}
	version, err := c.stores[leader].ConfirmedVersion(t.Context())
	if want := c.stores[leader].State().Version(); err != nil || version != want {
		t.Errorf("ConfirmedVersion at the leader = %d, error %v; want %d", version, err, want)
	}
	s := c.stores[follower]
	for _, answer := range []struct {
		version uint64
		err     error
		want    bool
	}{{version, nil, true}, {version + 1, nil, false}, {0, nil, false}, {version, ErrNoQuorum, false}} {
		s.config.LeaderVersion = func(context.Context, Member) (uint64, error) { return answer.version, answer.err }
		if got := s.matchesLeader(t.Context()); got != answer.want {
			t.Errorf("matchesLeader after the answer %+v = %t", answer, got)
		}
	}
	for i := range c.stores {
		if i != leader {
			c.stop(i)
		}
	}
	c.eventually("an error of a leader without a quorum", func() bool {
		_, err := c.stores[leader].ConfirmedVersion(t.Context())
		return err != nil
	})
}

// Guards against an instance that answers searches from its file because its directory is empty, while the others have
// settings in common for long: it counts as caught up only with their state. One whose peers are new too starts at once.
func TestFoundingMemberThatStartsLateWaitsForState(t *testing.T) {
	c := newCluster(t)
	for i, s := range c.stores {
		if err := s.CaughtUp(); err != nil {
			t.Errorf("member %d of a new store: %v", i, err)
		}
	}
	leader := c.patch(windowPatch(7))
	late := (leader + 1) % len(c.stores)
	c.stop(late)
	if err := os.RemoveAll(filepath.Join(c.dir, c.members[late].ID)); err != nil { // as if it had never run
		t.Fatal(err)
	}
	c.open(late, nil)
	for {
		settings, err := c.stores[late].CaughtUpSettings()
		if err == nil {
			if window := settings.MaxResultWindow(); window != 7 {
				t.Errorf("max_result_window = %d as soon as the instance has caught up, want 7", window)
			}
			return
		}
		if !errors.Is(err, ErrNotCaughtUp) || t.Context().Err() != nil {
			t.Fatal(err)
		}
		time.Sleep(pollInterval)
	}
}
