package store

import (
	"context"
	"errors"
	"fmt"
	"net"
	"path/filepath"
	"testing"
	"time"

	"linkpass/internal/searchconfig"
)

// cluster is a store of three instances on the loopback interface.
type cluster struct {
	t            testing.TB
	dir          string
	members      []Member
	stores       []*Store // by index of the member; nil if the instance is stopped
	trailingLogs int      // Config.TrailingLogs of each instance
	// leaderVersion is Config.LeaderVersion of the instances that are opened from now on.
	leaderVersion func(context.Context, Member) (uint64, error)
}

// memberVersion returns the version of a member's state, as an HTTP call does.
func (c *cluster) memberVersion(_ context.Context, m Member) (uint64, error) {
	for i, s := range c.stores {
		if s != nil && c.members[i].ID == m.ID {
			return s.State().Version(), nil
		}
	}
	return 0, errors.New("not running")
}

// testTimeScale shortens Raft's timeouts so that tests take less time. No test asserts on these timeouts.
const testTimeScale = 0.2

// newCluster starts a cluster, which is stopped when the test ends.
func newCluster(t testing.TB) *cluster {
	c := &cluster{t: t, dir: t.TempDir()}
	c.start()
	return c
}

// start opens three instances on listeners of their own.
func (c *cluster) start() {
	t := c.t
	c.stores = make([]*Store, 3)
	listeners := make([]net.Listener, 3)
	for i := range 3 {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners[i] = ln
		c.members = append(c.members, Member{
			ID:   fmt.Sprint("n", i),
			Raft: ln.Addr().String(),
			HTTP: fmt.Sprint("http-", i),
		})
	}
	for i, ln := range listeners {
		c.open(i, ln)
	}
	t.Cleanup(func() {
		for i := range c.stores {
			c.stop(i)
		}
	})
}

// open opens an instance. A nil listener means a new one on the member's address.
func (c *cluster) open(i int, ln net.Listener) {
	c.t.Helper()
	s, err := Open(Config{
		ID:              c.members[i].ID,
		Dir:             filepath.Join(c.dir, c.members[i].ID),
		Members:         c.members,
		TimeScale:       testTimeScale,
		TrailingLogs:    c.trailingLogs,
		Listener:        ln,
		LeaderVersion:   c.leaderVersion,
		MemberVersion:   c.memberVersion,
		InitialSettings: &searchconfig.Config{Search: searchconfig.Defaults{MaxResultWindow: 50}},
	})
	if err != nil {
		c.t.Fatal(err)
	}
	c.stores[i] = s
}

// stop closes an instance if it is running.
func (c *cluster) stop(i int) {
	if s := c.stores[i]; s != nil {
		c.stores[i] = nil
		if err := s.Close(); err != nil {
			c.t.Error(err)
		}
	}
}

// eventually polls until a condition is true; the description is for the failure message.
func (c *cluster) eventually(description string, condition func() bool) {
	c.t.Helper()
	eventually(c.t, description, condition)
}

// pollInterval is the time between two checks of a condition.
const pollInterval = 5 * time.Millisecond

// eventually polls until a condition is true; the description is for the failure message. The only limit is the end of
// the test's context.
func eventually(t testing.TB, description string, condition func() bool) {
	t.Helper()
	for !condition() {
		if t.Context().Err() != nil {
			t.Fatalf("test ended before the condition was true: %s", description)
		}
		time.Sleep(pollInterval)
	}
}

// patch applies a patch to the settings at the leader, and returns the leader's index. It retries until an instance
// accepts the patch.
func (c *cluster) patch(patch string) (leader int) {
	c.t.Helper()
	c.eventually("a leader that accepts "+patch, func() bool {
		for i, s := range c.stores {
			if s == nil {
				continue
			}
			if _, err := s.PatchSettings(c.t.Context(), []byte(patch)); err == nil {
				leader = i
				return true
			}
		}
		return false
	})
	return leader
}

// awaitWindow waits until every running instance has applied a max_result_window.
func (c *cluster) awaitWindow(window int) {
	c.t.Helper()
	c.eventually(fmt.Sprint("window ", window, " at every instance"), func() bool {
		for _, s := range c.stores {
			if s != nil && s.Settings().MaxResultWindow() != window {
				return false
			}
		}
		return true
	})
}

// windowPatch is a patch that sets max_result_window.
func windowPatch(n int) string { return fmt.Sprintf(`{"search.max_result_window":%d}`, n) }
