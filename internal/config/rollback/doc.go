// Package rollback detects that an instance of the store runs on an outdated disk: one that was restored from an old
// image, or a copy of another instance's disk.
//
// Such an instance may vote twice in a term, and it lacks entries that it acknowledged; a quorum that counts it could
// lose committed entries. Therefore instances report the positions of their disks to each other, and each instance
// compares the reports that it receives with earlier ones.
//
// The package keeps the history of those reports. It does no I/O, reads no clock and starts no goroutine. Package store
// exchanges the reports and acts on the result.
package rollback
