package store

import (
	"bytes"
	"compress/gzip"
	"errors"
	"flag"
	"io"
	"io/fs"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"linkpass/internal/eventlog"
	"linkpass/internal/searchconfig"
)

// writeStored creates the fixtures that are missing. An existing fixture is never overwritten, because it represents
// what earlier versions left on disk; a change of the format gets a new fixture.
var writeStored = flag.Bool("write-stored", false, "write the stored-data fixtures that are missing")

const (
	storedDir         = "testdata/stored"
	storedSuffix      = ".gz"         // of the log's file in a fixture, compressed because most of its pages are empty
	storedVoterID     = "n0"          // the only voter of a fixture
	storedRaftAddress = "127.0.0.1:1" // the voter's Raft address, as stored in the log
	storedLearnerID   = "n1"          // a learner that is never running
	storedWindow      = 50            // max_result_window of the configured settings; no fixture contains this value
)

// Names in a data directory, and the Raft library's keys for the last vote.
const (
	storedLogFile      = "raft.db"   // the file with the log, the terms and the boot count
	storedSnapshotsDir = "snapshots" // the directory of the snapshots
	storedStateFile    = "state.bin" // the file with the state, in the directory of a snapshot

	keyLastVoteTerm      = "LastVoteTerm"
	keyLastVoteCandidate = "LastVoteCand"
)

// openStored opens the store of a data directory.
func openStored(t testing.TB, dir string, trailingLogs int) (*Store, error) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s, err := Open(Config{
		ID:              storedVoterID,
		Dir:             dir,
		Members:         []Member{{ID: storedVoterID, Raft: storedRaftAddress, HTTP: "http-0"}},
		TimeScale:       testTimeScale,
		TrailingLogs:    trailingLogs,
		Listener:        ln,
		InitialSettings: &searchconfig.Config{Search: searchconfig.Defaults{MaxResultWindow: storedWindow}},
	})
	if err != nil {
		_ = ln.Close()
	}
	return s, err
}

// mustOpenStored opens the store of a data directory and waits until it leads and has applied its log.
func mustOpenStored(t testing.TB, dir string, trailingLogs int) *Store {
	t.Helper()
	s, err := openStored(t, dir, trailingLogs)
	if err != nil {
		t.Fatal(err)
	}
	awaitLeader(t, s)
	return s
}

// awaitLeader waits until the only voter of a fixture leads and has applied its log.
func awaitLeader(t testing.TB, s *Store) {
	t.Helper()
	eventually(t, "the only voter leads and has applied its log", func() bool {
		return s.IsLeader() && s.raft.Barrier(quorumTimeout).Error() == nil
	})
}

func mustClose(t testing.TB, s *Store) {
	t.Helper()
	if err := s.Close(); err != nil {
		t.Error(err)
	}
}

// discardEvents discards the events that are logged until the test ends.
func discardEvents(t testing.TB) {
	t.Helper()
	eventlog.SetOutput(io.Discard, false)
	t.Cleanup(func() { eventlog.SetOutput(os.Stderr, false) })
}

// copyFixture copies a fixture to a temporary data directory, and decompresses its log.
func copyFixture(t *testing.T, name string) string {
	t.Helper()
	from, to := filepath.Join(storedDir, name), t.TempDir()
	err := filepath.WalkDir(from, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		rel, err := filepath.Rel(from, path)
		if err != nil {
			return err
		}
		if d.IsDir() {
			return os.MkdirAll(filepath.Join(to, rel), 0o700)
		}
		data, err := os.ReadFile(path)
		if err == nil && strings.HasSuffix(rel, storedSuffix) {
			data, err = decompress(data)
		}
		if err != nil {
			return err
		}
		return os.WriteFile(filepath.Join(to, strings.TrimSuffix(rel, storedSuffix)), data, 0o600)
	})
	if err != nil {
		t.Fatal(err)
	}
	return to
}

func decompress(data []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	return io.ReadAll(r)
}

func compress(data []byte) ([]byte, error) {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	if _, err := w.Write(data); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

// saveFixture copies a data directory to the fixtures, and compresses its log.
func saveFixture(t *testing.T, dir, name string) {
	t.Helper()
	to := filepath.Join(storedDir, name)
	err := filepath.WalkDir(dir, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		rel, err := filepath.Rel(dir, path)
		if err != nil {
			return err
		}
		if d.IsDir() {
			return os.MkdirAll(filepath.Join(to, rel), 0o755)
		}
		data, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		if rel == storedLogFile {
			rel += storedSuffix
			if data, err = compress(data); err != nil {
				return err
			}
		}
		return os.WriteFile(filepath.Join(to, rel), data, 0o644)
	})
	if err != nil {
		t.Fatal(err)
	}
}

// requireGolden requires a golden file to hold the given bytes.
func requireGolden(t *testing.T, name string, got []byte) {
	t.Helper()
	path := filepath.Join(storedDir, name)
	want, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) && *writeStored {
		want, err = got, os.WriteFile(path, got, 0o644)
	}
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("%s:\n%s\nwant:\n%s", name, got, want)
	}
}
