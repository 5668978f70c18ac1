// Package rollback detects that an instance of the store runs on a disk older than the one it had: restored
// from an old image, or a copy of another instance's.
//
// Such an instance may vote twice in a term and lacks entries that it acknowledged; a quorum that counts it
// could lose committed entries. Instances therefore report how far their disks are, and each compares the
// reports that it receives.
//
// The package owns the memory of those reports, and no I/O, clock or goroutine. Exchanging reports and acting
// on the result is internal/store's.
package rollback
