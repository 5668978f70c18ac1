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

// Guards against names of queries that run, or may have run, that a flood of other names pushes out of the table although
// the flood's own are released at once (issue 55): such a query could run a second time.
func TestReleasedNamesPushOutNoClaim(t *testing.T) {
	table := New()
	const held, flood = 500, 200_000
	for n := range held {
		if _, ok := table.Claim(fmt.Sprint("held", n)); !ok {
			t.Fatalf("name %d could not be claimed", n)
		}
	}
	for n := range flood {
		claim, ok := table.Claim(fmt.Sprint("flood", n))
		if !ok {
			t.Fatalf("name %d of the flood could not be claimed", n)
		}
		claim.Release()
	}
	for n := range held {
		if _, ok := table.Claim(fmt.Sprint("held", n)); ok {
			t.Errorf("name %d was claimed again", n)
		}
	}
}

// Guards against two claims of one name that succeed beside claims and releases of other names of its bucket.
func TestConcurrentClaimsSucceedOnceInBusyBucket(t *testing.T) {
	table := New()
	var busy []string // names of one bucket
	for n := 0; len(busy) < slotCount-1; n++ {
		if name := fmt.Sprint("busy", n); hashName(name)%bucketCount == hashName("q")%bucketCount {
			busy = append(busy, name)
		}
	}
	stop := make(chan struct{})
	var others, claimers sync.WaitGroup
	for _, name := range busy[:3] {
		others.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				if claim, ok := table.Claim(name); ok {
					claim.Release()
				}
			}
		})
	}
	var holders, claimed atomic.Int32
	for range 3 {
		claimers.Go(func() {
			for range 20_000 {
				claim, ok := table.Claim("q")
				if !ok {
					continue
				}
				claimed.Add(1)
				if holders.Add(1) > 1 {
					t.Error("a name is claimed twice at a time")
				}
				holders.Add(-1)
				claim.Release()
			}
		})
	}
	claimers.Wait()
	close(stop)
	others.Wait()
	if claimed.Load() == 0 {
		t.Error("the name was never claimed")
	}
}
