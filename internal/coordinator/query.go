package coordinator

import (
	"io"
	"time"

	"linkpass/internal/shardmap"
)

// Part is one part of a query, as the client requested it.
type Part struct {
	Shard        int
	Weight       float64       // the part's share of the complete answer, 0 to 1
	ExpectedWork time.Duration // expected service time at a server; 0 if unknown
	Key          uint64        // idempotency key; 0 if there is none
	Payload      []byte        // passed on to the server unchanged
	Request      *ShardRequest // nil if the shard map is fixed
}

// ShardRequest says which keys a part requests if the shard map can change.
type ShardRequest struct {
	Shard      shardmap.ShardID
	MapVersion uint64 // of the shard map that the part was planned on
	Range      shardmap.Range
	Subrange   bool // Range does not cover the shard's whole range
	round      int  // how many times the part's keys have been replanned
}

// Query is a query that a front submits.
type Query struct {
	Name  string // given by the client
	Class int
	// Tenant is the number of the query's tenant, starting at 1; 0 means no tenant.
	Tenant int
	// Collection is the collection that the query searches; empty if the client does not name one.
	Collection string
	StartedAt  time.Duration // when the client began to wait, on the clock of Core.Now
	Timeout    time.Duration // how long the client waits
	IsRetry    bool          // the client itself retries an earlier query
	Parts      []Part
	// KeyRanges are the requested keys. They replace Parts in a query on a shard map that can change. They are split
	// into parts at the shard boundaries when the query is opened.
	KeyRanges []shardmap.Range
	Payload   []byte // of each part that is planned from KeyRanges
	// Body replaces the Payload of every part if the body is kept in a store; nil if there is none. The core releases
	// it when the query is answered.
	Body Body
	// Held is called with the size in bytes of each value that is kept until the query ends; nil if nobody counts them.
	// It is called on the core's goroutine and must not block.
	Held func(bytes int64)
	// Reply receives the final answer. It is called exactly once, on the core's goroutine, and must not block. If the
	// core has already stopped, Submit calls it on its caller's goroutine.
	Reply func(Answer)
}

// Body is a query's request body in a store that may evict it. All parts of the query send the same body. No method
// blocks.
type Body interface {
	// Size returns the size in bytes.
	Size() int64
	// Open returns a reader of the complete body. An error means that the body can no longer be read.
	Open() (io.ReadCloser, error)
	// MarkSent says that no part is waiting to be written, so that the body may be evicted.
	MarkSent()
	// MarkPending says that at least one part is to be written, for the first time or again.
	MarkPending()
	// OnEvicted registers a function that is called once, when the body can no longer be read.
	OnEvicted(func())
	// Release says that the body is no longer needed.
	Release()
}
