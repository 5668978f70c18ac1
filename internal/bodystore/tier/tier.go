// Package tier decides where the bodies of queries are stored (in memory, in files or not at all) and which body is
// evicted when a limit is reached. It does no I/O and reads no clock: events go in, moves come out, and the same
// events give the same moves in the same order.
package tier

// ID identifies a body. The caller assigns it and does not reuse it.
type ID uint64

// Tier is the kind of storage that a body is in.
type Tier uint8

// The tiers, from the fastest to the last. A body only moves to a later one.
const (
	Memory Tier = iota
	File
	None // the body is evicted or not known
)

// String returns the tier's name, which is part of counter names.
func (t Tier) String() string { return [...]string{Memory: "memory", File: "file", None: "none"}[t] }

// ClassLimits holds the memory limits of a class of queries. The zero value is no guarantee and no limit.
type ClassLimits struct {
	GuaranteedBytes int64   // bytes in memory that bodies of other classes can't take from this class; default 0
	MaxMemoryShare  float64 // share of Limits.Memory that the class may use, from 0 to 1; 0: no limit
}

// Limits are the storage limits of all bodies together. Sizes are in bytes.
type Limits struct {
	Memory            int64         // bytes of all bodies in memory
	Files             int64         // bytes of all bodies in files; 0: bodies are not stored in files
	MaxMemoryBodySize int64         // a larger body is moved to a file, or evicted from memory once sent
	Classes           []ClassLimits // by class index; classes beyond the end have no guarantee and no limit
}

// memoryOvercommit is the share of Limits.Memory by which memory may exceed it while moves to files are in flight.
const memoryOvercommit = 0.25

// Move tells the caller what to do with a body. If To is File, the caller writes the body to a file and then calls
// FinishMove. If To is None, the body has been evicted, and the caller frees its data.
type Move struct {
	ID     ID
	To     Tier
	Reason Reason
}

// Reason is why a body moves. Its text is part of counter names.
type Reason string

// The reasons of moves.
const (
	ReasonTooLarge   Reason = "too_large"   // the body is larger than Limits.MaxMemoryBodySize
	ReasonNoCapacity Reason = "no_room"     // memory or files reached their limit
	ReasonFileFailed Reason = "file_failed" // the write to a file failed and the body is larger than MaxMemoryBodySize
	ReasonClassShare Reason = "class_share" // the body's class exceeds MaxMemoryShare
)
