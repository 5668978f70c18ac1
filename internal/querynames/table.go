package querynames

import (
	"encoding/binary"
	"fmt"
	"os"
	"sync/atomic"
	"syscall"
	"unsafe"

	"lukechampine.com/blake3"
)

const (
	bucketCount = 4096
	slotCount   = 7 // of a bucket
	tableBytes  = int(unsafe.Sizeof(buckets{}))
)

// bucket holds the hashes of the names that were claimed last, among those that belong to the bucket.
type bucket struct {
	claims atomic.Uint64            // made so far; the next one takes the slot of this number, modulo slotCount
	slots  [slotCount]atomic.Uint64 // hashes of names; 0: free
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
	for {
		// The number is read before the slots: a claim that was counted in it is seen in its slot, and one that was not
		// competes for the same slot.
		number := b.claims.Load()
		target := &b.slots[number%slotCount]
		oldest := target.Load()
		if oldest == hash || b.contains(hash) {
			return Claim{}, false
		}
		if target.CompareAndSwap(oldest, hash) {
			b.claims.CompareAndSwap(number, number+1)
			return Claim{target, hash}, true
		}
	}
}

func (b *bucket) contains(hash uint64) bool {
	for i := range b.slots {
		if b.slots[i].Load() == hash {
			return true
		}
	}
	return false
}

// Release gives a name up, so that it can be claimed again. Without it the name stays claimed until its place is taken.
func (c Claim) Release() { c.slot.CompareAndSwap(c.hash, 0) }

// hashName returns the hash of a name, which is never 0.
func hashName(name string) uint64 {
	sum := blake3.Sum256([]byte(name))
	return max(1, binary.LittleEndian.Uint64(sum[:]))
}
