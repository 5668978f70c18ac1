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

// reportNetwork carries reports between the instances of a cluster, unless it is cut.
type reportNetwork struct {
	mu          sync.Mutex
	stores      map[string]*Store
	partitioned bool
}

func (g *reportNetwork) deliver(_ context.Context, m Member, r rollback.Report) error {
	g.mu.Lock()
	s := g.stores[m.ID]
	if g.partitioned {
		s = nil
	}
	g.mu.Unlock()
	if s == nil {
		return errors.New("out of reach")
	}
	return s.ObservePosition(r)
}

func (g *reportNetwork) setPartitioned(cut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.partitioned = cut
}

func (g *reportNetwork) open(c *cluster, i int) (*Store, error) {
	id := c.members[i].ID
	s, err := Open(Config{ID: id, Dir: filepath.Join(c.dir, id), Members: c.members, TimeScale: testTimeScale, ReportPosition: g.deliver})
	g.mu.Lock()
	defer g.mu.Unlock()
	if err != nil {
		s = nil
	}
	g.stores[id], c.stores[i] = s, s
	return s, err
}

// An instance whose disk was put back to an old image is refused at its start, or ends its part as soon as it is heard; an
// honest restart is not, and the others go on meanwhile.
func TestOpenRejectsRolledBackDisk(t *testing.T) {
	eventlog.SetOutput(io.Discard, false)
	t.Cleanup(func() { eventlog.SetOutput(os.Stderr, false) })
	c := newCluster(t)
	leader := c.patch(windowPatch(7))
	g, victim := &reportNetwork{stores: map[string]*Store{}}, (leader+1)%3
	restart := func(i int) {
		t.Helper()
		c.stop(i)
		if _, err := g.open(c, i); err != nil {
			t.Fatal(err)
		}
	}
	for i := range 3 {
		restart(i)
	}
	c.patch(windowPatch(8))
	c.awaitWindow(8)
	dir, image := filepath.Join(c.dir, c.members[victim].ID), filepath.Join(t.TempDir(), "image")
	back := func() {
		t.Helper()
		c.stop(victim)
		if err := errors.Join(os.RemoveAll(dir), os.CopyFS(dir, os.DirFS(image))); err != nil {
			t.Fatal(err)
		}
	}
	c.stop(victim)
	if err := os.CopyFS(image, os.DirFS(dir)); err != nil {
		t.Fatal(err)
	}
	restart(victim)
	c.patch(windowPatch(9))
	c.awaitWindow(9)
	restart(victim) // all that it holds is told at once
	back()
	if _, err := g.open(c, victim); !errors.Is(err, rollback.ErrRolledBack) {
		t.Fatalf("an old disk was opened: %v", err)
	}
	back()
	g.setPartitioned(true) // nobody hears of it as it starts
	s, err := g.open(c, victim)
	if err != nil {
		t.Fatal(err)
	}
	g.setPartitioned(false)
	c.eventually("its part to end", func() bool {
		_, err := s.ReadWith(ReadOptions{Consistency: Stale, MaxAge: DefaultMaxAge})
		return errors.Is(err, rollback.ErrRolledBack)
	})
	if _, err := s.PatchSettings([]byte(windowPatch(1))); !errors.Is(err, rollback.ErrRolledBack) || s.IsLeader() {
		t.Errorf("it goes on: %v", err)
	}
	c.stop(victim)
	c.patch(windowPatch(10))
}
