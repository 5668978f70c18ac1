package querynames

import (
	"encoding/binary"
	"fmt"
	"os"
	"runtime"
	"sync/atomic"
	"syscall"
	"unsafe"

	"lukechampine.com/blake3"
)

const (
	bucketCount = 4096
	slotCount   = 7 // of a bucket
	// maxClaimTries bounds how often Claim tries again because others claim names of the same bucket at the same time.
	maxClaimTries = 1000
	tableBytes    = int(unsafe.Sizeof(buckets{}))
)

// bucket holds the hashes of claimed names, among those that belong to the bucket.
type bucket struct {
	replaced atomic.Uint64            // claims replaced so far; the next one to be is in the slot of this number, modulo slotCount
	slots    [slotCount]atomic.Uint64 // hashes of names; 0: free
}

type buckets [bucketCount]bucket

// Table is a set of claimed names. Its methods are safe for concurrent use, also by the processes that share its file.
type Table struct {
	buckets *buckets
	mapped  []byte // the file's memory; nil if the table is this process's alone
}

// New returns an empty table of this process alone.
func New() *Table { return &Table{buckets: new(buckets)} }

// Open returns the table in the file at path, which it creates if it does not exist. On an error it returns an empty
// table of this process alone.
func Open(path string) (*Table, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return New(), fmt.Errorf("querynames: %w", err)
	}
	defer file.Close()
	// Space that is not allocated would end the process when the disk is full at the first write to a page.
	if err := syscall.Fallocate(int(file.Fd()), 0, 0, int64(tableBytes)); err != nil {
		return New(), fmt.Errorf("querynames: allocate %s: %w", path, err)
	}
	mapped, err := syscall.Mmap(int(file.Fd()), 0, tableBytes, syscall.PROT_READ|syscall.PROT_WRITE, syscall.MAP_SHARED)
	if err != nil {
		return New(), fmt.Errorf("querynames: map %s: %w", path, err)
	}
	return &Table{buckets: (*buckets)(unsafe.Pointer(&mapped[0])), mapped: mapped}, nil
}

// Close releases the file's memory. No claim may be made or released afterwards.
func (t *Table) Close() error {
	if t.mapped == nil {
		return nil
	}
	return syscall.Munmap(t.mapped)
}

// Claim is a name that its owner alone may use.
type Claim struct {
	slot *atomic.Uint64
	hash uint64
}

// Claim claims a name. It returns false if the name is claimed already.
func (t *Table) Claim(name string) (claim Claim, ok bool) {
	hash := hashName(name)
	b := &t.buckets[hash%bucketCount]
	for range maxClaimTries {
		if b.count(hash) > 0 {
			return Claim{}, false
		}
		number := b.replaced.Load()
		target, previous := b.target(number)
		if previous == hash {
			return Claim{}, false
		}
		if !target.CompareAndSwap(previous, hash) {
			continue
		}
		// Whoever claims the same name in another slot meanwhile writes before it looks, as here: one of them sees the other.
		if b.count(hash) > 1 {
			target.CompareAndSwap(hash, 0)
			runtime.Gosched()
			continue
		}
		if previous != 0 {
			b.replaced.CompareAndSwap(number, number+1)
		}
		return Claim{target, hash}, true
	}
	return Claim{}, false
}

// target returns the slot for a new claim: a free one if there is one, so that names that were released push out none that
// are still claimed. Otherwise it is the slot whose claim is to be replaced next. Of several free slots it is the one
// that would be replaced last.
// previous is what the slot held.
func (b *bucket) target(replaced uint64) (slot *atomic.Uint64, previous uint64) {
	for back := uint64(1); back <= slotCount; back++ {
		slot = &b.slots[(replaced+slotCount-back)%slotCount]
		if slot.Load() == 0 {
			return slot, 0
		}
	}
	slot = &b.slots[replaced%slotCount]
	return slot, slot.Load()
}

// count returns the number of slots that hold a hash.
func (b *bucket) count(hash uint64) (n int) {
	for i := range b.slots {
		if b.slots[i].Load() == hash {
			n++
		}
	}
	return n
}

// Release gives a name up, so that it can be claimed again. Without it the name stays claimed until its place is taken.
func (c Claim) Release() { c.slot.CompareAndSwap(c.hash, 0) }

// hashName returns the hash of a name, which is never 0.
func hashName(name string) uint64 {
	sum := blake3.Sum256([]byte(name))
	return max(1, binary.LittleEndian.Uint64(sum[:]))
}
