package bodystore

import (
	"os"
	"path/filepath"
	"slices"
	"testing"
)

// Bodies are not reused after their process has ended. Open removes the directory of a killed process, even if its
// segment ends in the middle of a record, and nothing else.
func TestOpenOnGoldenDataDirectory(t *testing.T) {
	segment := filepath.Join(goldenProcess, goldenSegment)
	lock := goldenProcess + "/lock"
	for _, c := range []struct {
		name          string
		prepare       func(t *testing.T, dir string)
		wantRemaining []string // what remains besides the new process's directory and its lock
	}{
		{"complete", func(*testing.T, string) {}, nil},
		{"segment ends in a record", truncateSegment(70000), nil},
		{"segment is empty", truncateSegment(0), nil},
		{"process is running", lockGoldenProcess, []string{goldenProcess + "/", lock, segment}},
		{"no lock yet", removeGoldenLock, []string{goldenProcess + "/", segment}},
		{"other files in the directory", addOtherFiles, []string{"linkpass-bodies-file", "other/", "other/lock"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			dir := copyGolden(t)
			c.prepare(t, dir)
			testOpenLeavesOnly(t, dir, c.wantRemaining)
		})
	}
}

func truncateSegment(size int64) func(*testing.T, string) {
	return func(t *testing.T, dir string) {
		t.Helper()
		if err := os.Truncate(filepath.Join(dir, goldenProcess, goldenSegment), size); err != nil {
			t.Fatal(err)
		}
	}
}

func lockGoldenProcess(t *testing.T, dir string) {
	t.Helper()
	f, err := lockDir(filepath.Join(dir, goldenProcess))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { f.Close() })
}

func removeGoldenLock(t *testing.T, dir string) {
	t.Helper()
	if err := os.Remove(filepath.Join(dir, goldenProcess, "lock")); err != nil {
		t.Fatal(err)
	}
}

func addOtherFiles(t *testing.T, dir string) {
	t.Helper()
	for _, name := range []string{"linkpass-bodies-file", "other/lock"} {
		path := filepath.Join(dir, name)
		if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, nil, 0o600); err != nil {
			t.Fatal(err)
		}
	}
}

// testOpenLeavesOnly opens a store on dir, checks that only wantRemaining and the new process's directory remain
// there, and stores a body.
func testOpenLeavesOnly(t *testing.T, dir string, wantRemaining []string) {
	t.Helper()
	before := readTree(t, dir)
	s := newGoldenStore(t, dir)
	if got := s.Totals(); got != (Totals{}) {
		t.Errorf("totals after Open = %+v, want none", got)
	}
	created := filepath.Base(s.dir)
	want := append([]string{created + "/", created + "/lock"}, wantRemaining...)
	slices.Sort(want)
	after := readTree(t, dir)
	if !slices.Equal(sortedNames(after), want) {
		t.Fatalf("files after Open: %q, want %q", sortedNames(after), want)
	}
	for _, name := range wantRemaining {
		if after[name] != before[name] {
			t.Errorf("%s: content after Open differs from that before it", name)
		}
	}
	b := mustStore(t, s, goldenBodies()[1])
	waitForMoves(s)
	wantBody(t, b, goldenBodies()[1])
	if data := readTree(t, dir)[filepath.Join(created, goldenSegment)]; len(data) != 2*16+64<<10+17 {
		t.Errorf("new segment has %d bytes, want %d", len(data), 2*16+64<<10+17)
	}
	b.Release()
}
