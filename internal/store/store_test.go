package store

import (
	"errors"
	"fmt"
	"net"
	"path/filepath"
	"testing"
	"time"

	"github.com/hashicorp/raft"

	"linkpass/internal/catalog"
)

// cluster is three instances on the loopback.
type cluster struct {
	t       *testing.T
	dir     string
	members []Member
	stores  []*Store // nil: down
}

// pace keeps Raft's own limits short enough for a test; nothing is asserted on them.
const pace = 0.2

func newCluster(t *testing.T) *cluster {
	c := &cluster{t: t, dir: t.TempDir(), stores: make([]*Store, 3)}
	listeners := make([]net.Listener, 3)
	for i := range 3 {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners[i] = ln
		c.members = append(c.members, Member{ID: fmt.Sprint("n", i), Raft: ln.Addr().String(), HTTP: fmt.Sprint("http-", i)})
	}
	for i, ln := range listeners {
		c.open(i, ln)
	}
	t.Cleanup(func() {
		for i := range c.stores {
			c.stop(i)
		}
	})
	return c
}

func (c *cluster) open(i int, ln net.Listener) {
	c.t.Helper()
	s, err := Open(Config{ID: c.members[i].ID, Dir: filepath.Join(c.dir, c.members[i].ID), Members: c.members, Pace: pace,
		Listener: ln, Initial: &catalog.Catalog{Search: catalog.Defaults{MaxResultWindow: 50}}})
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

// until asks again until something holds; the test's own time limit is the only one.
func (c *cluster) until(what string, holds func() bool) {
	c.t.Helper()
	for !holds() {
		if c.t.Context().Err() != nil {
			c.t.Fatal(what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// change puts a patch through whoever leads.
func (c *cluster) change(patch string) (leader int) {
	c.t.Helper()
	c.until("a leader that takes "+patch, func() bool {
		for i, s := range c.stores {
			if s == nil {
				continue
			}
			if _, err := s.Change([]byte(patch)); err == nil {
				leader = i
				return true
			}
		}
		return false
	})
	return leader
}

// everywhere waits until each instance that is up has a window.
func (c *cluster) everywhere(window int) {
	c.t.Helper()
	c.until(fmt.Sprint("window ", window, " everywhere"), func() bool {
		for _, s := range c.stores {
			if s != nil && s.Current().Window() != window {
				return false
			}
		}
		return true
	})
}

func window(n int) string { return fmt.Sprintf(`{"search.max_result_window":%d}`, n) }

func TestElectionReplicationAndLeaderLoss(t *testing.T) {
	c := newCluster(t)
	c.everywhere(50) // what the files say holds until something is replicated
	leader := c.change(window(7))
	c.everywhere(7)
	for i, s := range c.stores {
		if i == leader {
			continue
		}
		var other *NotLeader
		c.until("a follower that names the leader", func() bool {
			_, err := s.Change([]byte(window(8)))
			return errors.As(err, &other)
		})
		if _, ok := c.stores[leader].config.member(other.Leader.ID); !ok || other.Leader.HTTP == "" {
			t.Errorf("named %+v", other.Leader)
		}
	}
	if _, err := c.stores[leader].Change([]byte(`{"servers.s-1.protocol":"telnet"}`)); !errors.Is(err, catalog.ErrInvalid) {
		t.Errorf("an unusable change: %v", err)
	}
	c.stop(leader)
	if next := c.change(`{"servers":{"s-1":{"protocol":"search"}}}`); next == leader {
		t.Error("a stopped instance leads")
	}
	c.everywhere(7)
	c.open(leader, nil) // comes back from its own disk and catches up
	c.until("the change made while it was away", func() bool { return c.stores[leader].Current().Protocol("s-1") == catalog.Search })
}

func TestAllRestartFromDisk(t *testing.T) {
	c := newCluster(t)
	c.change(window(9))
	c.everywhere(9)
	for i := range 3 {
		if err := c.stores[i].raft.Snapshot().Error(); err != nil { // one part from a snapshot ...
			t.Fatal(err)
		}
	}
	c.change(`{"servers":{"s-1":{"protocol":"search"}}}`) // ... and one from the log
	for i := range 3 {
		c.stop(i)
	}
	for i := range 3 {
		c.open(i, nil)
	}
	c.everywhere(9)
	c.until("the change from the log", func() bool {
		for _, s := range c.stores {
			if s.Current().Protocol("s-1") != catalog.Search {
				return false
			}
		}
		return true
	})
}

// Without a majority nothing is taken and nothing is read as if it were confirmed.
func TestNoQuorumFailsClearly(t *testing.T) {
	c := newCluster(t)
	leader := c.change(window(9))
	c.everywhere(9)
	for i := range 3 {
		if i != leader {
			c.stop(i)
		}
	}
	last := c.stores[leader]
	_, err := last.Change([]byte(window(10)))
	if !errors.Is(err, ErrNoQuorum) && !errors.Is(err, ErrNoLeader) {
		t.Errorf("a change without a majority: %v", err)
	}
	c.until("the end of its lead", func() bool {
		_, err := last.Read()
		return errors.Is(err, ErrNoLeader)
	})
	if last.Current().Window() != 9 {
		t.Error("an unconfirmed change is in force")
	}
}

func TestBadConfigurations(t *testing.T) {
	for _, c := range []Config{{}, {ID: "a", Dir: t.TempDir()}, {ID: "a", Members: []Member{{ID: "a", Raft: "127.0.0.1:0"}}}} {
		if s, err := Open(c); err == nil {
			t.Errorf("opened %+v", c)
			_ = s.Close()
		}
	}
}

// Two changes made on one document: the log holds both, and the second finds that another came first.
func TestAChangeIsACompareAndSet(t *testing.T) {
	m := &machine{}
	m.current.Store(&catalog.Catalog{})
	apply := func(text string) any { return m.Apply(&raft.Log{Data: []byte(text)}) }
	if err := apply(`{"revision":1,"search":{"max_result_window":5}}`); err != nil {
		t.Fatal(err)
	}
	if err, _ := apply(`{"revision":1,"search":{"max_result_window":9}}`).(error); !errors.Is(err, ErrConflict) {
		t.Errorf("the same revision twice: %v", err)
	}
	if err, _ := apply(`{"revision":3,"search":{}}`).(error); !errors.Is(err, ErrConflict) {
		t.Errorf("a revision left out: %v", err)
	}
	if err := apply(`{"search":{"max_result_window":7}}`); err != nil { // of a program before revisions
		t.Errorf("an old entry: %v", err)
	}
	if got := m.current.Load(); got.Window() != 7 {
		t.Errorf("holds %+v", got)
	}
}
