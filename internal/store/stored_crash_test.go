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

// childVariable names the data directory that a child process opens in place of running tests: some damage ends the
// whole process.
const childVariable = "LINKPASS_TEST_STORED_DIR"

func TestMain(m *testing.M) {
	if dir := os.Getenv(childVariable); dir != "" {
		openInChild(dir)
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// openInChild opens a directory and prints the version of its state.
func openInChild(dir string) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fmt.Println("no listener:", err)
		return
	}
	s, err := Open(Config{
		ID:              storedMember,
		Dir:             dir,
		Members:         []Member{{ID: storedMember, Raft: storedAddress, HTTP: "http-0"}},
		TimeScale:       testTimeScale,
		Listener:        ln,
		InitialSettings: &searchconfig.Config{Search: searchconfig.Defaults{MaxResultWindow: storedWindow}},
	})
	if err != nil {
		fmt.Println("error:", err)
		return
	}
	for !s.IsLeader() || s.raft.Barrier(applyTimeout).Error() != nil {
		time.Sleep(pollInterval)
	}
	hash, err := s.State().Hash()
	fmt.Println("opened at version", s.State().Version(), hash, err)
}

// runChild opens a directory in a child process and returns its output.
func runChild(t *testing.T, dir string) (output string, failed bool) {
	t.Helper()
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	cmd := exec.CommandContext(t.Context(), self)
	cmd.Env = append(os.Environ(), childVariable+"="+dir)
	out, err := cmd.CombinedOutput()
	return string(out), err != nil
}

// The outcome by how much of the log's file is left. An empty file is a new log; one without both headers is an error;
// one that ends before its entries do ends the process with a fault of the memory map; one that lacks only free pages
// is complete.
func TestStoredLogFileTruncated(t *testing.T) {
	const page = 4096 // bytes, in the fixture's file
	for _, c := range []struct {
		name   string
		size   int64
		want   string
		failed bool
	}{
		{"empty", 0, "opened at version 0 ", false},
		{"first byte", 1, "error: store: log: invalid database", false},
		{"one header", page, "error: store: log: file size too small", false},
		{"both headers", 2 * page, "fatal error: fault", true},
		{"part of the entries", 4 * page, "fatal error: fault", true},
		{"all but free pages", 8 * page, "opened at version 22 ", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			dir := copyFixture(t, "log")
			if err := os.Truncate(filepath.Join(dir, logName), c.size); err != nil {
				t.Fatal(err)
			}
			out, failed := runChild(t, dir)
			if !strings.Contains(out, c.want) || failed != c.failed {
				t.Errorf("failed: %t\n%.2000s\nwant %q, failed: %t", failed, out, c.want, c.failed)
			}
		})
	}
}

// The newest snapshot is truncated and the log no longer reaches back to the one before it: the process ends instead of
// serving an older state.
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
				t.Errorf("failed: %t\n%.2000s", failed, out)
			}
		})
	}
}
