package opensearch

import (
	"testing"

	"linkpass/internal/coordinator"
	"linkpass/internal/outcome"
)

// The types of a missing slice's reasons by how its latest attempt ended.
func TestMissingReasonByOutcome(t *testing.T) {
	want := map[outcome.Outcome]string{outcome.Rejected: "rejected_execution_exception", outcome.QueueFull: "rejected_execution_exception",
		outcome.DialRefused: "connect_transport_exception", outcome.DialTimeout: "connect_transport_exception", outcome.DialFailed: "connect_transport_exception",
		outcome.WriteInterrupted: "connect_transport_exception", outcome.ConnReset: "node_disconnected_exception", outcome.ConnClosed: "node_disconnected_exception",
		outcome.Timeout: "receive_timeout_transport_exception", outcome.ShardMoved: "illegal_index_shard_state_exception",
		outcome.UnknownShardMap: "illegal_index_shard_state_exception", outcome.PartialCoverage: "illegal_index_shard_state_exception",
		outcome.Canceled: "task_cancelled_exception", outcome.NotSent: "task_cancelled_exception", outcome.BodyEvicted: "task_cancelled_exception",
		outcome.ServerError: "remote_transport_exception", outcome.MalformedResponse: "remote_transport_exception"}
	for e, kind := range want {
		if got := missingReason(coordinator.MissingPart{LastOutcome: e, Attempted: true}).Type; got != kind {
			t.Errorf("%v: %s, want %s", e, got, kind)
		}
	}
	if got := missingReason(coordinator.MissingPart{}).Type; got != "no_shard_available_action_exception" {
		t.Errorf("not tried: %s", got)
	}
}
