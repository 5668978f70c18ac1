package store

import (
	"context"
	"errors"
	"io"
	"os"
	"path/filepath"
	"sync"
	"testing"

	"linkpass/internal/config/rollback"
	"linkpass/internal/eventlog"
)

// reportNetwork delivers position reports between the instances of a cluster, unless it is partitioned.
type reportNetwork struct {
	mu          sync.Mutex        // guards the fields below
	stores      map[string]*Store // by member id; nil if the instance did not open
	partitioned bool              // no report is delivered
}

// deliver implements Config.ReportPosition.
func (n *reportNetwork) deliver(_ context.Context, m Member, r rollback.Report) error {
	s := n.receiver(m.ID)
	if s == nil {
		return errors.New("unreachable")
	}
	return s.ObservePosition(r)
}

// receiver returns the instance that a report reaches; nil if there is none.
func (n *reportNetwork) receiver(id string) *Store {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.partitioned {
		return nil
	}
	return n.stores[id]
}

func (n *reportNetwork) setPartitioned(partitioned bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned = partitioned
}

// open opens an instance that reports its position over this network.
func (n *reportNetwork) open(c *cluster, i int) (*Store, error) {
	id := c.members[i].ID
	s, err := Open(Config{
		ID:             id,
		Dir:            filepath.Join(c.dir, id),
		Members:        c.members,
		TimeScale:      testTimeScale,
		ReportPosition: n.deliver,
	})
	n.mu.Lock()
	defer n.mu.Unlock()
	if err != nil {
		s = nil
	}
	n.stores[id] = s
	c.stores[i] = s
	return s, err
}

// restart closes an instance and opens it again on the same disk; it requires both to succeed.
func (n *reportNetwork) restart(c *cluster, i int) {
	c.t.Helper()
	c.stop(i)
	if _, err := n.open(c, i); err != nil {
		c.t.Fatal(err)
	}
}

// restoreDisk replaces a data directory with an earlier copy of it.
func restoreDisk(t *testing.T, dir, image string) {
	t.Helper()
	if err := errors.Join(os.RemoveAll(dir), os.CopyFS(dir, os.DirFS(image))); err != nil {
		t.Fatal(err)
	}
}

// An instance whose disk was rolled back to an old image must not open; if no member can be reached when it starts, it
// must halt as soon as one of its reports reaches another member. A regular restart is not rejected, and the other
// members keep accepting changes.
func TestOpenRejectsRolledBackDisk(t *testing.T) {
	eventlog.SetOutput(io.Discard, false)
	t.Cleanup(func() { eventlog.SetOutput(os.Stderr, false) })
	c := newCluster(t)
	leader := c.patch(windowPatch(7))
	network := &reportNetwork{stores: map[string]*Store{}}
	for i := range 3 {
		network.restart(c, i)
	}
	c.patch(windowPatch(8))
	c.awaitWindow(8)

	rolledBack := (leader + 1) % 3
	dir := filepath.Join(c.dir, c.members[rolledBack].ID)
	image := filepath.Join(t.TempDir(), "image")
	c.stop(rolledBack)
	if err := os.CopyFS(image, os.DirFS(dir)); err != nil {
		t.Fatal(err)
	}
	network.restart(c, rolledBack)
	c.patch(windowPatch(9))
	c.awaitWindow(9)
	network.restart(c, rolledBack) // reports its latest position when it starts

	c.stop(rolledBack)
	restoreDisk(t, dir, image)
	if _, err := network.open(c, rolledBack); !errors.Is(err, rollback.ErrRolledBack) {
		t.Fatalf("open on a rolled-back disk: error = %v, want ErrRolledBack", err)
	}

	c.stop(rolledBack)
	restoreDisk(t, dir, image)
	network.setPartitioned(true) // no member receives the report of its start
	s, err := network.open(c, rolledBack)
	if err != nil {
		t.Fatal(err)
	}
	network.setPartitioned(false)
	c.eventually("the instance halts", func() bool {
		_, err := s.ReadWith(t.Context(), ReadOptions{Consistency: Stale, MaxAge: DefaultMaxAge})
		return errors.Is(err, rollback.ErrRolledBack)
	})
	_, err = s.PatchSettings(t.Context(), []byte(windowPatch(1)))
	if !errors.Is(err, rollback.ErrRolledBack) || s.IsLeader() {
		t.Errorf("patch at a halted instance: error = %v, want ErrRolledBack; leader: %t", err, s.IsLeader())
	}
	c.stop(rolledBack)
	c.patch(windowPatch(10))
}
