package emulator

import (
	"encoding/json"
	"net/http"
	"slices"

	"linkpass/internal/reshardexec"
	"linkpass/internal/shardmap"
	"linkpass/internal/shardmap/resharding"
)

// serveAssignment applies the assignments of all indices and answers with the status of their shards. The server
// drops the shards of an index without an assignment. A malformed request gets status 400; one whose order is older than
// the newest accepted one changes nothing and gets reshardexec.StatusStaleOrder.
func (s *Server) serveAssignment(w http.ResponseWriter, r *http.Request) {
	request, err := decodeAssignmentRequest(r.Body)
	if err != nil {
		http.Error(w, malformedAssignmentText, http.StatusBadRequest)
		return
	}
	response, accepted := s.applyRequest(request)
	if accepted.Compare(request.Order) > 0 {
		s.StaleOrders.Add(1)
		w.WriteHeader(reshardexec.StatusStaleOrder)
		_ = json.NewEncoder(w).Encode(reshardexec.AssignmentRefusal{Accepted: accepted})
		return
	}
	_ = json.NewEncoder(w).Encode(response)
}

// applyRequest applies a request unless its order is older than the newest accepted one, which it returns.
func (s *Server) applyRequest(
	request reshardexec.AssignmentRequest,
) (response reshardexec.AssignmentResponse, accepted reshardexec.Order) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.acceptedOrder.Compare(request.Order) > 0 {
		return response, s.acceptedOrder
	}
	s.acceptedOrder = request.Order
	return s.applyAssignments(request.Assignments), s.acceptedOrder
}

// applyAssignments applies the assignments of all indices. The caller holds the mutex.
func (s *Server) applyAssignments(assignments []resharding.Assignment) reshardexec.AssignmentResponse {
	response := reshardexec.AssignmentResponse{Indices: map[string]reshardexec.IndexStatus{}}
	for _, assignment := range assignments {
		response.Indices[assignment.Index] = s.applyAssignment(assignment)
	}
	for index, replica := range s.indices {
		if !slices.ContainsFunc(assignments, func(a resharding.Assignment) bool { return a.Index == index }) {
			clear(replica.shards)
		}
	}
	return response
}

// applyAssignment drops the shards of one index that are no longer assigned and starts the copies of missing ones. An
// assignment older than the latest one changes nothing. The caller holds the mutex.
func (s *Server) applyAssignment(assignment resharding.Assignment) reshardexec.IndexStatus {
	replica := s.indices[assignment.Index]
	if replica == nil {
		replica = &indexReplica{shards: map[shardmap.ShardID]*shardReplica{}}
		s.indices[assignment.Index] = replica
	}
	if assignment.Version >= replica.version {
		replica.version = assignment.Version
		replica.dropUnassigned(assignment.Tasks)
		for _, task := range assignment.Tasks {
			s.startTask(assignment.Index, replica, task)
		}
	}
	return replica.status()
}

func (r *indexReplica) dropUnassigned(tasks []resharding.Task) {
	for id := range r.shards {
		if !slices.ContainsFunc(tasks, func(t resharding.Task) bool { return t.Shard == id }) {
			delete(r.shards, id)
		}
	}
}

// startTask adds the task's shard if it is missing. It starts the copy of the shard if the shard is incomplete, is not
// being copied, and has sources. The caller holds the mutex.
func (s *Server) startTask(index string, replica *indexReplica, task resharding.Task) {
	shard := replica.shards[task.Shard]
	if shard == nil {
		shard = &shardReplica{keys: task.Range}
		replica.shards[task.Shard] = shard
	}
	if !shard.complete && !shard.copying && len(task.Sources) > 0 {
		shard.copying = true
		go s.copyShard(s.ctx, index, shard, task.Sources)
	}
}

// status returns the status of the index, with its shards sorted by id.
func (r *indexReplica) status() reshardexec.IndexStatus {
	status := reshardexec.IndexStatus{Version: r.version}
	for id, shard := range r.shards {
		status.Shards = append(status.Shards, resharding.ShardStatus{Shard: id, Complete: shard.complete, Records: int64(len(shard.records))})
	}
	slices.SortFunc(status.Shards, func(a, b resharding.ShardStatus) int { return int(int64(a.Shard) - int64(b.Shard)) })
	return status
}
