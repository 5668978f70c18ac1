package coordinator

import (
	"time"

	"linkpass/internal/outcome"
)

// Status is how a query ended.
type Status uint8

// The ways in which a query ends.
const (
	Answered Status = iota // with values for all parts or for some of them
	Rejected               // the client may safely retry, after Answer.RetryAfter
	Failed                 // without a result
)

// Value is a server's answer to a part.
type Value struct {
	Shard   int
	Request *ShardRequest // nil if the shard map is fixed
	Data    []byte
	Score   float64
	Hits    *Hits // nil if the server answered with a plain value
}

// Hits are the results of a search for one part.
type Hits struct {
	Total   int64
	AtLeast bool // Total is a lower bound
	List    []Hit
}

// Hit is one result of a search.
type Hit struct {
	ID     string
	Score  float64
	Source []byte
}

// MissingPart describes a part that was not answered.
type MissingPart struct {
	Shard       int
	LastOutcome outcome.Outcome // of the part's latest attempt that has ended; the zero value if none has
	Attempted   bool            // at least one attempt was made
	BodyEvicted bool            // the query's body was evicted, so the part could not be sent again
	Request     *ShardRequest   // the keys that are missing; nil if the shard map is fixed
}

// Answer is the final answer of a query.
type Answer struct {
	Status          Status
	Complete        bool          // enough weight was answered for the query's class, and every key if the shard map can change
	Values          []Value       // of the parts that were answered; none unless Status is Answered
	Missing         []MissingPart // the parts that were not answered
	RetryAfter      time.Duration // of a rejected query: how long to wait before a retry; 0 means no advice
	TimedOut        bool          // the client's timeout had passed, or was about to, when the query ended
	ShardMapVersion uint64        // the version that the query was planned on; 0 if the shard map is fixed
}

// missingAll lists all parts of a query that was never opened as missing.
func missingAll(q Query) (missing []MissingPart) {
	for _, p := range q.Parts {
		missing = append(missing, MissingPart{Shard: p.Shard})
	}
	for _, keys := range q.KeyRanges {
		missing = append(missing, MissingPart{Request: &ShardRequest{Range: keys}})
	}
	return missing
}
