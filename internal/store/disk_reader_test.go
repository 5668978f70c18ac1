package store

import (
	"bytes"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"linkpass/internal/config"
	"linkpass/internal/config/restriction"
)

// requireRead requires that a reader of an open store's files sees its applied state and the given pending requests.
func requireRead(t *testing.T, r *DiskReader, s *Store, pending []restriction.Request) {
	t.Helper()
	got, _, err := r.Read()
	if err != nil {
		t.Fatal(err)
	}
	want, err := s.State().Hash()
	if err != nil {
		t.Fatal(err)
	}
	if hash, err := got.State.Hash(); err != nil || hash != want {
		t.Errorf("state read = version %d, hash %s, error %v; want version %d, hash %s",
			got.State.Version(), hash, err, s.State().Version(), want)
	}
	if !reflect.DeepEqual(got.Pending, pending) {
		t.Errorf("pending requests read = %+v, want %+v", got.Pending, pending)
	}
}

// Guards against a new process that does not know the state of the store while another process has it open: the files
// say all that was applied, also behind a snapshot, and all that is pending, and no copy is left behind.
func TestDiskReaderFollowsOpenStore(t *testing.T) {
	temp := t.TempDir()
	t.Setenv("TMPDIR", temp)
	c := &cluster{t: t, dir: t.TempDir(), trailingLogs: 4}
	c.start()
	s := c.stores[c.patch(windowPatch(3))]
	reader := NewDiskReader(s.config)
	requireRead(t, reader, s, nil)
	if _, changed, err := reader.Read(); changed || err != nil {
		t.Errorf("second read: changed = %v, error %v; want neither", changed, err)
	}
	pending := []restriction.Request{restrictionRequest(1, "s-1", restriction.Draining)}
	if err := s.SavePending(pending); err != nil {
		t.Fatal(err)
	}
	requireRead(t, reader, s, pending)
	for window := range 3 * (4 + 1) {
		c.patch(windowPatch(window + 10))
		if window%4 == 0 {
			requireRead(t, reader, s, pending)
		}
	}
	c.propose(config.Command{Kind: config.RestrictServer, Restriction: &pending[0]})
	if err := s.raft.Snapshot().Error(); err != nil {
		t.Fatal(err)
	}
	requireRead(t, reader, s, pending)
	requireRead(t, NewDiskReader(s.config), s, pending)
	if files, err := os.ReadDir(temp); err != nil || len(files) > 0 {
		t.Errorf("files left in TMPDIR: %v, error %v; want none", files, err)
	}
}

// Each read of a store that changes all the time is one of its states, and none is older than the one before.
func TestDiskReaderBesideWrites(t *testing.T) {
	m := newSingleMember(t)
	awaitLeader(t, m.store)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := range 60 {
			request := restrictionRequest(uint64(i+1), "s-1", restriction.Draining)
			if _, err := m.store.Propose(t.Context(), config.Command{Kind: config.RestrictServer, Restriction: &request}); err != nil {
				t.Error(err)
			}
		}
	}()
	reader, reads, version := NewDiskReader(m.store.config), 0, uint64(0)
	for running := true; running; {
		select {
		case <-done:
			running = false
		default:
		}
		state, changed, err := reader.Read()
		if err != nil || state.State.Version() < version {
			t.Fatalf("read after version %d: error %v, state %+v", version, err, state.State)
		}
		if changed {
			reads++
		}
		version = state.State.Version()
	}
	if version != m.store.State().Version() || reads < 2 {
		t.Errorf("%d reads ended at version %d, want several that end at %d", reads, version, m.store.State().Version())
	}
}

// An instance that has no files yet has the settings of its own file, and its files are read once they are there.
func TestDiskReaderBeforeFirstStart(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "none")
	reader := NewDiskReader(Config{Dir: dir})
	if state, changed, err := reader.Read(); err != nil || !changed || state.State.Version() != 0 {
		t.Errorf("read without files = %+v, changed %v, error %v; want the initial state", state, changed, err)
	}
	if _, changed, err := reader.Read(); err != nil || changed {
		t.Errorf("second read: changed = %v, error %v; want neither", changed, err)
	}
	m := newSingleMember(t)
	awaitLeader(t, m.store)
	reader.config.Dir = m.store.config.Dir
	deadline := time.Now().Add(time.Minute)
	for {
		_, changed, err := reader.Read()
		if err != nil {
			t.Fatal(err)
		}
		if changed {
			break
		}
		if time.Now().After(deadline) {
			t.Fatal("the files are there, and not read")
		}
	}
}

// Files that are damaged are an error, and not the end of the process that looks at them; they are read again once they
// change.
func TestDiskReaderRejectsDamagedLog(t *testing.T) {
	m := newSingleMember(t)
	awaitLeader(t, m.store)
	sound, err := os.ReadFile(filepath.Join(m.store.config.Dir, logFile))
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	reader := NewDiskReader(Config{Dir: dir})
	pages := len(sound) / os.Getpagesize()
	for page := range pages {
		damaged := bytes.Clone(sound)
		for i := range os.Getpagesize() {
			damaged[page*os.Getpagesize()+i] ^= 0x5a
		}
		for _, data := range [][]byte{damaged, sound[:page*os.Getpagesize()+1]} {
			if err := os.WriteFile(filepath.Join(dir, logFile), data, 0o600); err != nil {
				t.Fatal(err)
			}
			_, _, _ = reader.Read() // an error, or the state if it does not depend on the page
		}
	}
	if err := os.WriteFile(filepath.Join(dir, logFile), sound, 0o600); err != nil {
		t.Fatal(err)
	}
	reader = NewDiskReader(Config{Dir: dir})
	if state, _, err := reader.Read(); err != nil || state.State.Version() != m.store.State().Version() {
		t.Errorf("sound files: error %v, state %+v", err, state.State)
	}
}
