package store

import (
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
	stores       []*Store // nil: stopped
	trailingLogs int
}

// testTimeScale keeps Raft's timeouts short enough for a test; nothing is asserted on them.
const testTimeScale = 0.2

func newCluster(t testing.TB) *cluster {
	c := &cluster{t: t, dir: t.TempDir()}
	c.start()
	return c
}

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

func (c *cluster) open(i int, ln net.Listener) {
	c.t.Helper()
	s, err := Open(Config{
		ID:              c.members[i].ID,
		Dir:             filepath.Join(c.dir, c.members[i].ID),
		Members:         c.members,
		TimeScale:       testTimeScale,
		TrailingLogs:    c.trailingLogs,
		Listener:        ln,
		InitialSettings: &searchconfig.Config{Search: searchconfig.Defaults{MaxResultWindow: 50}},
	})
	if err != nil {
		c.t.Fatal(err)
	}
	c.stores[i] = s
}

func (c *cluster) stop(i int) {
	if s := c.stores[i]; s != nil {
		c.stores[i] = nil
		if err := s.Close(); err != nil {
			c.t.Error(err)
		}
	}
}

// eventually polls until a condition is true.
func (c *cluster) eventually(what string, condition func() bool) {
	c.t.Helper()
	eventually(c.t, what, condition)
}

// pollInterval is the time between two checks of a condition that a test waits for.
const pollInterval = 5 * time.Millisecond

// eventually polls until a condition is true; the test's own deadline is the only limit.
func eventually(t testing.TB, what string, condition func() bool) {
	t.Helper()
	for !condition() {
		if t.Context().Err() != nil {
			t.Fatal(what)
		}
		time.Sleep(pollInterval)
	}
}

// patch applies a patch at the leader, and returns the leader.
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

// awaitWindow waits until every running instance has applied a result window.
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

func windowPatch(n int) string { return fmt.Sprintf(`{"search.max_result_window":%d}`, n) }
