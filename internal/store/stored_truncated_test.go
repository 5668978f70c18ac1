package store

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"
	"go.etcd.io/bbolt"

	"linkpass/internal/config"
	"linkpass/internal/searchconfig"
)

// snapshotStates returns the paths of the snapshots' state files in a data directory, oldest first.
func snapshotStates(t *testing.T, dir string) []string {
	t.Helper()
	list, err := filepath.Glob(filepath.Join(dir, storedSnapshotsDir, "*", storedStateFile))
	if err != nil {
		t.Fatal(err)
	}
	slices.Sort(list)
	return list
}

// truncationPoints returns the sizes in bytes to which a file of the given size is truncated.
func truncationPoints(size int) []int { return []int{0, 1, size / 4, size / 2, size - 1} }

// The newest snapshot is truncated: the store restores the complete state from the previous snapshot and the log.
func TestStoredSnapshotTruncatedFallsBackToEarlier(t *testing.T) {
	discardEvents(t)
	size := len(mustRead(t, snapshotStates(t, copyFixture(t, "snapshots"))[1]))
	for _, at := range truncationPoints(size) {
		t.Run(fmt.Sprint(at, " of ", size), func(t *testing.T) {
			dir := copyFixture(t, "snapshots")
			if err := os.Truncate(snapshotStates(t, dir)[1], int64(at)); err != nil {
				t.Fatal(err)
			}
			s := mustOpenStored(t, dir, 0)
			defer mustClose(t, s)
			requireGolden(t, "snapshots_state.json", indentedJSON(t, readState(t, s)))
		})
	}
}

// All snapshots are truncated: the store does not open.
func TestStoredSnapshotsAllTruncatedIsError(t *testing.T) {
	discardEvents(t)
	for _, name := range []string{"snapshots", "compacted", "documents_snapshot"} {
		for _, at := range truncationPoints(len(mustRead(t, snapshotStates(t, copyFixture(t, name))[0]))) {
			t.Run(fmt.Sprint(name, " at ", at), func(t *testing.T) {
				dir := copyFixture(t, name)
				for _, path := range snapshotStates(t, dir) {
					if err := os.Truncate(path, int64(at)); err != nil {
						t.Fatal(err)
					}
				}
				s, err := openStored(t, dir, 0)
				if err == nil {
					mustClose(t, s)
				}
				if err == nil || !strings.Contains(err.Error(), "failed to load any existing snapshots") {
					t.Errorf("error = %v, want \"failed to load any existing snapshots\"", err)
				}
			})
		}
	}
}

func mustRead(t *testing.T, path string) []byte {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// lastCommand returns the last command of a log, and deletes the entries after it.
func lastCommand(t *testing.T, bolt *raftboltdb.BoltStore) (l raft.Log) {
	t.Helper()
	last, err := bolt.LastIndex()
	if err != nil {
		t.Fatal(err)
	}
	for i := last; ; i-- {
		if err := bolt.GetLog(i, &l); err != nil {
			t.Fatal(err)
		}
		if l.Type == raft.LogCommand {
			if i < last {
				if err := bolt.DeleteRange(i+1, last); err != nil {
					t.Fatal(err)
				}
			}
			return l
		}
	}
}

// lastCommandData returns the encoded last command of a fixture's log.
func lastCommandData(t *testing.T, fixture string) []byte {
	t.Helper()
	bolt, err := raftboltdb.New(raftboltdb.Options{Path: filepath.Join(copyFixture(t, fixture), storedLogFile)})
	if err != nil {
		t.Fatal(err)
	}
	l := lastCommand(t, bolt)
	if err := bolt.Close(); err != nil {
		t.Fatal(err)
	}
	return l.Data
}

// The last command of the log is truncated: the instance halts, keeps the state before that command, and returns the
// cause from reads.
func TestStoredLogEndsInTruncatedCommand(t *testing.T) {
	discardEvents(t)
	for _, name := range []string{"log", "documents_log"} {
		data := lastCommandData(t, name)
		for _, at := range []int{1, 2, len(data) / 2, len(data) - 1} {
			t.Run(fmt.Sprint(name, " at ", at, " of ", len(data)), func(t *testing.T) {
				dir := copyFixture(t, name)
				before := replaceLast(t, dir, data[:at])
				s, err := openStored(t, dir, 0)
				if err != nil {
					t.Fatal(err)
				}
				defer mustClose(t, s)
				eventually(t, "the truncated entry halts the instance", func() bool {
					return s.fsm.halted.Load() != nil
				})
				if _, err := s.Read(t.Context()); !errors.Is(err, config.ErrUnknownFormat) {
					t.Errorf("read: error = %v, want ErrUnknownFormat", err)
				}
				requireSnapshot(t, s, before)
			})
		}
	}
}

// requireSnapshot requires the given snapshot of a store's state.
func requireSnapshot(t *testing.T, s *Store, want []byte) {
	t.Helper()
	got, err := s.State().Snapshot()
	if err != nil || !bytes.Equal(got, want) {
		t.Errorf("snapshot = %q, error = %v; want %q", got, err, want)
	}
}

// replaceLast replaces the last command of a log with other bytes, and returns the snapshot of the state before it.
func replaceLast(t *testing.T, dir string, data []byte) []byte {
	t.Helper()
	bolt, err := raftboltdb.New(raftboltdb.Options{Path: filepath.Join(dir, storedLogFile)})
	if err != nil {
		t.Fatal(err)
	}
	defer bolt.Close()
	l := lastCommand(t, bolt)
	f := newFSM(&searchconfig.Config{Search: searchconfig.Defaults{MaxResultWindow: storedWindow}})
	for i := uint64(1); i < l.Index; i++ {
		var e raft.Log
		if err := bolt.GetLog(i, &e); err != nil {
			t.Fatal(err)
		}
		if e.Type == raft.LogCommand {
			f.Apply(&e)
		}
	}
	l.Data = data
	if err := bolt.StoreLog(&l); err != nil {
		t.Fatal(err)
	}
	before, err := f.current.Load().Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	return before
}

// The last document of the log is truncated: it is skipped, the state before it stays, and later entries are applied.
func TestStoredLogEndsInTruncatedDocument(t *testing.T) {
	discardEvents(t)
	for _, at := range []int{1, len(storedDocuments[1]) / 2, len(storedDocuments[1]) - 1} {
		t.Run(fmt.Sprint(at, " of ", len(storedDocuments[1])), func(t *testing.T) {
			dir := copyFixture(t, "documents_log")
			before := replaceLast(t, dir, []byte(storedDocuments[1][:at]))
			s := mustOpenStored(t, dir, 0)
			defer mustClose(t, s)
			requireSnapshot(t, s, before)
			setWeight(t, s, "s-2", 4)
		})
	}
}

// The last record of the log's file is truncated, rather than the command in it: the store does not open.
func TestStoredLogEndsInTruncatedRecord(t *testing.T) {
	discardEvents(t)
	for _, c := range []struct {
		name string
		size func(full int) int
	}{
		{"one byte", func(int) int { return 1 }},
		{"half", func(full int) int { return full / 2 }},
	} {
		t.Run(c.name, func(t *testing.T) {
			dir := copyFixture(t, "log")
			truncateLastRecord(t, filepath.Join(dir, storedLogFile), c.size)
			s, err := openStored(t, dir, 0)
			if err == nil {
				mustClose(t, s)
				t.Error("Open succeeded, want an error")
			}
		})
	}
}

// truncateLastRecord truncates the last record of a log's file to the size that size returns for its full size, both in
// bytes.
func truncateLastRecord(t *testing.T, path string, size func(full int) int) {
	t.Helper()
	db, err := bbolt.Open(path, 0o600, nil)
	if err != nil {
		t.Fatal(err)
	}
	err = db.Update(func(tx *bbolt.Tx) error {
		b := tx.Bucket([]byte("logs"))
		key, value := b.Cursor().Last()
		if binary.BigEndian.Uint64(key) == 0 {
			return errors.New("no entry")
		}
		return b.Put(slices.Clone(key), slices.Clone(value[:size(len(value))]))
	})
	if err = errors.Join(err, db.Close()); err != nil {
		t.Fatal(err)
	}
}
