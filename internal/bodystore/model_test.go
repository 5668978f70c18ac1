package bodystore

import (
	"bytes"
	"errors"
	"os"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"pgregory.net/rapid"

	"linkpass/internal/bodystore/tier"
	"linkpass/internal/metrics"
	_ "linkpass/internal/testrand"
)

// modelRef is a reference to a body, with the data that it should read as.
type modelRef struct {
	body    *Body
	data    []byte
	evicted atomic.Bool
}

// storeModel applies random events to a store and keeps a list of the references to its bodies.
type storeModel struct {
	t     *rapid.T
	cfg   Config
	fs    *faultyFS
	store *Store
	refs  []*modelRef
	seen  map[string]int // number of events by kind, in all runs
}

// After any sequence of arrivals, shared bodies, moves, disk faults, crashes and releases, each body reads as it was
// written, or its eviction has been reported.
func TestStoreAgreesWithModel(t *testing.T) {
	seen := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		dir, err := os.MkdirTemp("", "bodies")
		if err != nil {
			t.Fatal(err)
		}
		defer os.RemoveAll(dir)
		var now atomic.Int64
		m := newStoreModel(t, dir, &now, seen)
		defer func() { m.store.Close() }()
		for range rapid.IntRange(5, 40).Draw(t, "events") {
			now.Add(int64(time.Second))
			if m.randomEvent() {
				waitForMoves(m.store)
				m.check()
			}
		}
		m.releaseAll()
	})
	if seen["rejected"] == 0 || seen["evicted"] == 0 || seen["read"] == 0 || seen["crash"] == 0 {
		t.Errorf("events seen: %v, want at least one each of rejected, evicted, read, crash", seen)
	}
}

func newStoreModel(t *rapid.T, dir string, now *atomic.Int64, seen map[string]int) *storeModel {
	fs := newFaultyFS()
	cfg := Config{
		Limits: tier.Limits{Memory: 40 << 10, Files: 120 << 10, MaxMemoryBodySize: 24 << 10,
			Classes: []tier.ClassLimits{{GuaranteedBytes: 8 << 10}, {}}},
		Classes: []string{"lookup", "table"}, Dir: dir, FS: fs, Counters: metrics.NewCounters(),
		Now: func() time.Duration { return time.Duration(now.Load()) },
	}
	return &storeModel{t: t, cfg: cfg, fs: fs, store: Open(cfg), seen: seen}
}

// randomEvent applies a random event. It returns false if a body was rejected.
func (m *storeModel) randomEvent() bool {
	var ref *modelRef
	if len(m.refs) > 0 {
		ref = rapid.SampledFrom(m.refs).Draw(m.t, "ref")
	}
	switch kind := rapid.IntRange(0, 9).Draw(m.t, "event"); {
	case kind <= 2 || ref == nil:
		return m.add()
	case kind == 3:
		ref.body.MarkSent()
	case kind == 4:
		ref.body.MarkPending()
	case kind == 5:
		ref.body.Release()
		i := slices.Index(m.refs, ref)
		m.refs = slices.Delete(m.refs, i, i+1)
	case kind == 6:
		m.fs.capacity.Store(rapid.SampledFrom([]int64{-1, 0, 30 << 10}).Draw(m.t, "capacity"))
	case kind == 7:
		m.store.compactSparsest()
	case kind == 9 && rapid.IntRange(0, 2).Draw(m.t, "crash") == 0:
		m.crash()
	case kind == 8:
		m.fs.corruptReads.Store(rapid.IntRange(0, 3).Draw(m.t, "corrupt") == 0)
	}
	return true
}

func (m *storeModel) add() bool {
	data := randomBytes(uint64(rapid.IntRange(1, 6).Draw(m.t, "content")), rapid.IntRange(1, 50<<10).Draw(m.t, "size"))
	b, err := storeBody(m.store, rapid.IntRange(0, 1).Draw(m.t, "class"), data)
	if errors.Is(err, ErrNoCapacity) {
		m.seen["rejected"]++
		return false
	}
	ref := &modelRef{body: b, data: data}
	b.OnEvicted(func() { ref.evicted.Store(true) })
	m.refs = append(m.refs, ref)
	return true
}

// crash ends the store as SIGKILL would and opens another one on the same directory, as the next process does.
func (m *storeModel) crash() {
	m.t.Helper()
	crash(m.store)
	stale := m.store.dir
	m.store, m.refs = Open(m.cfg), nil
	m.seen["crash"]++
	if _, err := os.Stat(stale); !errors.Is(err, os.ErrNotExist) || m.store.log == nil {
		m.t.Fatalf("directory of the crashed process: Stat: err = %v, want %v; new store uses files: %t, want true",
			err, os.ErrNotExist, m.store.log != nil)
	}
}

// check reads all bodies and checks the limits of memory and files.
func (m *storeModel) check() {
	m.t.Helper()
	for _, ref := range m.refs {
		got, err := readBody(ref.body)
		switch {
		case err == nil && !bytes.Equal(got, ref.data):
			m.t.Fatalf("read %d bytes that differ from the %d bytes stored", len(got), len(ref.data))
		case err != nil && !ref.evicted.Load():
			m.t.Fatalf("body can't be read (%v), but OnEvicted was not called", err)
		case err == nil && ref.evicted.Load():
			m.t.Fatal("body can be read, but OnEvicted was called")
		case err != nil:
			m.seen["evicted"]++
		default:
			m.seen["read"]++
		}
	}
	if totals := m.store.Totals(); totals.Memory > 50<<10 || totals.Files > 120<<10 {
		m.t.Fatalf("totals = %+v, want at most %d bytes in memory and %d in files", totals, 50<<10, 120<<10)
	}
}

func (m *storeModel) releaseAll() {
	m.t.Helper()
	for _, ref := range m.refs {
		ref.body.Release()
	}
	if totals := m.store.Totals(); totals.Bodies != 0 || totals.Memory != 0 || totals.Files != 0 {
		m.t.Fatalf("totals after all bodies were released = %+v, want 0 bodies and bytes", totals)
	}
}
