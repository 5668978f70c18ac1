package querynames

import (
	"fmt"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
)

func openTable(t *testing.T, path string) *Table {
	t.Helper()
	table, err := Open(path)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = table.Close() })
	return table
}

// A name that one process has claimed is claimed in the other, until it is released; a table that is opened later has the
// claims that are left.
func TestClaimHoldsInAllProcesses(t *testing.T) {
	path := filepath.Join(t.TempDir(), "names")
	first, second := openTable(t, path), openTable(t, path)
	claim, ok := first.Claim("q1")
	if !ok {
		t.Fatal("a new name could not be claimed")
	}
	for _, table := range []*Table{first, second, openTable(t, path)} {
		if _, ok := table.Claim("q1"); ok {
			t.Error("a claimed name was claimed again")
		}
	}
	claim.Release()
	if _, ok := second.Claim("q1"); !ok {
		t.Error("a released name could not be claimed")
	}
}

// Of many concurrent claims of one name, in two processes, exactly one succeeds.
func TestConcurrentClaimsSucceedOnce(t *testing.T) {
	path := filepath.Join(t.TempDir(), "names")
	tables := []*Table{openTable(t, path), openTable(t, path)}
	const names, claimers = 500, 8
	var won [names]atomic.Int32
	var wg sync.WaitGroup
	for i := range claimers {
		wg.Go(func() {
			for n := range names {
				if _, ok := tables[i%2].Claim(fmt.Sprint("q", n)); ok {
					won[n].Add(1)
				}
			}
		})
	}
	wg.Wait()
	for n := range names {
		if won[n].Load() != 1 {
			t.Errorf("name %d was claimed %d times, want once", n, won[n].Load())
		}
	}
}

// The table has a fixed size: old claims make room for new ones, and recent ones stay.
func TestOldClaimsMakeRoom(t *testing.T) {
	table := New()
	const claims = 4 * bucketCount * slotCount
	for n := range claims {
		if _, ok := table.Claim(fmt.Sprint("q", n)); !ok {
			t.Fatalf("name %d could not be claimed", n)
		}
	}
	if _, ok := table.Claim(fmt.Sprint("q", claims-1)); ok {
		t.Error("the latest name was claimed again")
	}
}

// Without its file a process goes on with a table of its own.
func TestOpenFailureGivesPrivateTable(t *testing.T) {
	table, err := Open(filepath.Join(t.TempDir(), "missing", "names"))
	if err == nil {
		t.Fatal("no error for a directory that does not exist")
	}
	if _, ok := table.Claim("q"); !ok {
		t.Error("a name could not be claimed")
	}
	if err := table.Close(); err != nil {
		t.Error(err)
	}
}
