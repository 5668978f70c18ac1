package reshardexec

import "linkpass/internal/shardmap/resharding"

// AssignmentsPath is the HTTP path at which a league server accepts its assignments and reports its shards.
const AssignmentsPath = "/_layout"

// AssignmentRequest is the body of a poll: all shards that the server is to store. A poll is idempotent.
type AssignmentRequest struct {
	Assignments []resharding.Assignment `json:"duties"`
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
