package coordinator

import (
	"io"
	"time"

	"linkpass/internal/shardmap"
)

// Part is one part of a query, as its client named it.
type Part struct {
	Shard        int
	Weight       float64       // its share of the answer, 0 to 1
	ExpectedWork time.Duration // service time at a server; 0: unknown
	Key          uint64        // idempotency key; 0: none
	Payload      []byte        // passed on to the server unchanged
	Request      *ShardRequest // nil: the shard map is fixed
}

// ShardRequest is what a part requests where the shard map can change.
type ShardRequest struct {
	Shard      shardmap.ShardID
	MapVersion uint64 // of the shard map that the part was planned on
	Range      shardmap.Range
	Subrange   bool // Range is less than the shard's range
	round      int  // how often the part's keys were planned again
}

// Query is what a front submits.
type Query struct {
	Name  string // the client's name for it
	Class int
	// Tenant is the number of the tenant whose query it is, from 1 on; 0: of no tenant.
	Tenant int
	// Collection is what the query searches; empty where its client does not say.
	Collection string
	StartedAt  time.Duration // by Core.Now: from here on the client waits
	Timeout    time.Duration // how long the client waits
	IsRetry    bool          // the client's own retry
	Parts      []Part
	// KeyRanges are the keys that a query on a shard map that can change requests, in place of Parts. They are cut
	// into parts along the shards when the query is opened.
	KeyRanges []shardmap.Range
	Payload   []byte // of each part that is planned from KeyRanges
	// Body takes the place of every part's Payload where the body is stored elsewhere; nil: none. The core releases it
	// when the query is answered.
	Body Body
	// Reply receives the final answer, exactly once. It is called on the core's goroutine and must not block, unless
	// the core has stopped: Submit calls it then.
	Reply func(Answer)
}

// Body is the body of a query's parts in a store that may evict it. No method blocks.
type Body interface {
	// Size is in bytes.
	Size() int64
	// Open returns a reader of the complete body. An error means that the body can no longer be read.
	Open() (io.ReadCloser, error)
	// MarkSent says that no part is yet to be written, so that the body may be evicted.
	MarkSent()
	// MarkPending says that a part is to be written, for the first time or again.
	MarkPending()
	// OnEvicted registers a function that is called once, when the body can no longer be read.
	OnEvicted(func())
	// Release says that the body is no longer needed.
	Release()
}
