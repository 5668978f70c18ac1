package store

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"linkpass/internal/searchconfig"
)

// childDirVariable is the environment variable with the data directory that a child process opens instead of running
// tests. A child process is needed because some damage to the files ends the whole process.
const childDirVariable = "LINKPASS_TEST_STORED_DIR"

func TestMain(m *testing.M) {
	if dir := os.Getenv(childDirVariable); dir != "" {
		openInChild(dir)
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// openInChild opens a data directory and prints the version and the hash of its state, or the error.
func openInChild(dir string) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fmt.Println("no listener:", err)
		return
	}
	s, err := Open(Config{
		ID:              storedVoterID,
		Dir:             dir,
		Members:         []Member{{ID: storedVoterID, Raft: storedRaftAddress, HTTP: "http-0"}},
		TimeScale:       testTimeScale,
		Listener:        ln,
		InitialSettings: &searchconfig.Config{Search: searchconfig.Defaults{MaxResultWindow: storedWindow}},
	})
	if err != nil {
		fmt.Println("error:", err)
		return
	}
	for !s.IsLeader() || s.raft.Barrier(quorumTimeout).Error() != nil {
		time.Sleep(pollInterval)
	}
	hash, err := s.State().Hash()
	fmt.Println("opened at version", s.State().Version(), hash, err)
}

// runChild opens a data directory in a child process. It returns the output, and whether the process failed.
func runChild(t *testing.T, dir string) (output string, failed bool) {
	t.Helper()
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	cmd := exec.CommandContext(t.Context(), self)
	cmd.Env = append(os.Environ(), childDirVariable+"="+dir)
	out, err := cmd.CombinedOutput()
	return string(out), err != nil
}

// The log's file is truncated. An empty file opens as a new log. A file without both headers is an error. A file that
// lacks some of its entries ends the process with a memory fault, because the library maps the file into memory. A file
// that lacks only free pages is complete.
func TestStoredLogFileTruncated(t *testing.T) {
	const page = 4096 // bytes, in the fixture's file
	for _, c := range []struct {
		name   string
		size   int64
		want   string
		failed bool
	}{
		{"empty", 0, "opened at version 0 ", false},
		{"first byte", 1, "error: store: open log: invalid database", false},
		{"one header", page, "error: store: open log: file size too small", false},
		{"both headers", 2 * page, "fatal error: fault", true},
		{"part of the entries", 4 * page, "fatal error: fault", true},
		{"all but free pages", 8 * page, "opened at version 22 ", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			dir := copyFixture(t, "log")
			if err := os.Truncate(filepath.Join(dir, storedLogFile), c.size); err != nil {
				t.Fatal(err)
			}
			out, failed := runChild(t, dir)
			if !strings.Contains(out, c.want) || failed != c.failed {
				t.Errorf("output of the child:\n%.2000s\nwant %q; failed = %t, want %t", out, c.want, failed, c.failed)
			}
		})
	}
}

// The newest snapshot is truncated, and the log no longer holds all entries since the previous snapshot: the process
// must end instead of serving an older state.
func TestStoredSnapshotTruncatedAfterCompactionEndsProcess(t *testing.T) {
	size := len(mustRead(t, snapshotStates(t, copyFixture(t, "compacted"))[1]))
	for _, at := range truncationPoints(size) {
		t.Run(fmt.Sprint(at, " of ", size), func(t *testing.T) {
			dir := copyFixture(t, "compacted")
			if err := os.Truncate(snapshotStates(t, dir)[1], int64(at)); err != nil {
				t.Fatal(err)
			}
			out, failed := runChild(t, dir)
			opened := strings.Contains(out, "opened at")
			if !failed || opened || !strings.Contains(out, "panic: log not found") {
				t.Errorf("output of the child:\n%.2000s\nwant %q; failed = %t, want true",
					out, "panic: log not found", failed)
			}
		})
	}
}
