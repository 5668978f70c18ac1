package reshardexec

import (
	"cmp"
	"fmt"

	"linkpass/internal/shardmap/resharding"
)

// AssignmentsPath is the HTTP path at which a league server accepts its assignments and reports its shards.
const AssignmentsPath = "/_layout"

// StatusStaleOrder is the status of a response that refuses a request whose order is older than one that the server has
// accepted. Its body is an AssignmentRefusal.
const StatusStaleOrder = 412

// AssignmentRequest is the body of a poll: all shards that the server is to store. A poll is idempotent.
type AssignmentRequest struct {
	Assignments []resharding.Assignment `json:"duties"`
	// Order lets the server refuse a request that is older than one it has accepted: it may drop what is assigned to it
	// no longer, so the request of a leader that has been replaced must not count. Senders of earlier versions set none.
	Order Order `json:"order,omitzero"`
}

// Order is the place of a request in the order of all requests to all servers, by term first.
//
// It never goes back: a term has one leader, which sends the revisions that it has applied, and the terms of a store
// that is recovered, or bootstrapped anew, are higher than all terms of stores before it.
type Order struct {
	Term     uint64 `json:"term"`     // of the leader that sent the request
	Revision uint64 `json:"revision"` // of the settings that have the shard maps
}

// Compare returns a negative number if o is older than other, 0 if they are equal and a positive number if it is newer.
func (o Order) Compare(other Order) int {
	return cmp.Or(cmp.Compare(o.Term, other.Term), cmp.Compare(o.Revision, other.Revision))
}

// AssignmentRefusal is the body of a response with StatusStaleOrder.
type AssignmentRefusal struct {
	Accepted Order `json:"accepted"` // the newest order that the server has accepted
}

// StaleOrderError is the error of a poll that the server refused because it has accepted a newer order.
type StaleOrderError struct{ Accepted Order }

// Error returns a message with the order that the server has accepted.
func (e *StaleOrderError) Error() string {
	return fmt.Sprintf("the server has accepted a newer order, term %d, revision %d", e.Accepted.Term, e.Accepted.Revision)
}

// AssignmentResponse is the body of the response to a poll: what the server has stored, by index.
type AssignmentResponse struct {
	Indices map[string]IndexStatus `json:"indices"`
}

// IndexStatus is what a server has stored of one index, and the version of the shard map that the server knows.
type IndexStatus struct {
	Version uint64                   `json:"version"`
	Shards  []resharding.ShardStatus `json:"holdings"`
}
