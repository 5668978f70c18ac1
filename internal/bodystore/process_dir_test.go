package bodystore

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"

	"linkpass/internal/metrics"
)

// If the directory can't be created, bodies are stored in memory.
func TestOpenStoresInMemoryWithoutUsableDirectory(t *testing.T) {
	file := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(file, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	s := Open(processDirConfig(filepath.Join(file, "none")))
	if s.log != nil {
		t.Error("store has a segment log in a directory that can't be created")
	}
	if _, err := storeBody(s, 0, randomBytes(1, 100<<10)); err != nil {
		t.Errorf("storing a body in memory: %v", err)
	}
	s.Close()
}

func processDirConfig(dir string) Config {
	return Config{Limits: smallLimits, Dir: dir, Counters: metrics.NewCounters(), Now: func() time.Duration { return 0 }}
}

// Open removes the directory of a process that has ended, but not that of a running one.
func TestOpenRemovesDirectoriesOfEndedProcesses(t *testing.T) {
	dir := t.TempDir()
	stale := filepath.Join(dir, processDirPrefix+"left")
	if err := os.MkdirAll(stale, 0o700); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"lock", "seg-00000001"} {
		if err := os.WriteFile(filepath.Join(stale, name), []byte("x"), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	first := Open(processDirConfig(dir))
	if _, err := os.Stat(stale); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("directory of an ended process: Stat: err = %v, want %v", err, os.ErrNotExist)
	}
	data := randomBytes(2, 400<<10)
	b := mustStore(t, first, data)
	second := Open(processDirConfig(dir))
	wantBody(t, b, data)
	second.Close()
	wantBody(t, b, data)
	first.Close()
	if remaining, _ := filepath.Glob(filepath.Join(dir, processDirPrefix+"*")); len(remaining) != 0 {
		t.Errorf("process directories after Close: %v, want none", remaining)
	}
}
