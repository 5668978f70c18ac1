package coordinator

import (
	"time"

	"linkpass/internal/outcome"
)

// Status is how a query ended.
type Status uint8

// The ways in which a query ends.
const (
	Answered Status = iota
	Rejected        // a retry is harmless; Answer.RetryAfter says when
	Failed
)

// Value is what a server answered for a part.
type Value struct {
	Shard   int
	Request *ShardRequest // nil: the shard map is fixed
	Data    []byte
	Score   float64
	Hits    *Hits // nil where the server answered with a plain value
}

// Hits are the results of a part that was answered by a search.
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

// MissingPart says why a part was not answered.
type MissingPart struct {
	Shard       int
	LastOutcome outcome.Outcome // of the part's latest attempt
	Attempted   bool            // there was an attempt
	BodyEvicted bool            // the query's body could not be sent again
	Request     *ShardRequest   // what is missing; nil: the shard map is fixed
}

// Answer is the final answer of a query.
type Answer struct {
	Status          Status
	Complete        bool
	Values          []Value       // of the parts that were answered
	Missing         []MissingPart // the parts that were not answered
	RetryAfter      time.Duration // of a rejected query; 0: no advice
	TimedOut        bool          // the client's timeout has passed
	ShardMapVersion uint64        // the version that the query was planned on; 0: the shard map is fixed
}

// missingAll returns every part of a query that was never opened as missing.
func missingAll(q Query) (missing []MissingPart) {
	for _, p := range q.Parts {
		missing = append(missing, MissingPart{Shard: p.Shard})
	}
	for _, keys := range q.KeyRanges {
		missing = append(missing, MissingPart{Request: &ShardRequest{Range: keys}})
	}
	return missing
}
