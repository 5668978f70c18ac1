// Package tier decides where the bodies of queries are stored: in memory, in files or nowhere, and
// which body is evicted when a limit is reached. It is pure: events in, moves out, in a fixed order.
package tier

// ID identifies a body. The caller assigns it and never uses it twice.
type ID uint64

// Tier is where a body is stored.
type Tier uint8

// The tiers, from the fastest to the last. A body only moves to a later one.
const (
	Memory Tier = iota
	File
	None // evicted, or not known
)

// String returns the tier's name in counters.
func (t Tier) String() string { return [...]string{Memory: "memory", File: "file", None: "none"}[t] }

// Class is the memory budget of a class of queries.
type Class struct {
	GuaranteedBytes int64   // memory that bodies of other classes can't evict this class from; default 0
	MaxMemoryShare  float64 // largest part of Limits.Memory for the class, from 0 to 1; 0: all
}

// Limits are the budgets of all bodies together, in bytes.
type Limits struct {
	Memory  int64
	Files   int64   // 0: bodies are not stored in files
	Largest int64   // a body above this size does not stay in memory
	Classes []Class // by class index; a class beyond its end has no guarantee and no limit
}

// memoryOvercommit is how far memory may exceed its limit while moves to files are in flight, as a
// share of the limit.
const memoryOvercommit = 0.25

// Move tells the caller what to do with a body. To File: write it there, then call FinishMove. To
// None: the body is evicted already, its data have to be freed.
type Move struct {
	ID     ID
	To     Tier
	Reason Reason
}

// Reason is why a body moves. Its text is part of the names of counters.
type Reason string

// The reasons of moves.
const (
	ReasonTooLarge   Reason = "too_large"   // the body is larger than Limits.Largest
	ReasonNoCapacity Reason = "no_room"     // memory or files reached their limit
	ReasonFileFailed Reason = "file_failed" // it can't stay in memory and was not written to a file
	ReasonClassShare Reason = "class_share" // its class exceeds MaxMemoryShare
)
