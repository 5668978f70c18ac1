package opensearch

import (
	"testing"

	"linkpass/internal/coordinator"
	"linkpass/internal/outcome"
)

func TestMissingReasonByOutcome(t *testing.T) {
	for o, want := range map[outcome.Outcome]string{
		outcome.Rejected:          "rejected_execution_exception",
		outcome.QueueFull:         "rejected_execution_exception",
		outcome.DialRefused:       "connect_transport_exception",
		outcome.DialTimeout:       "connect_transport_exception",
		outcome.DialFailed:        "connect_transport_exception",
		outcome.WriteInterrupted:  "connect_transport_exception",
		outcome.ConnReset:         "node_disconnected_exception",
		outcome.ConnClosed:        "node_disconnected_exception",
		outcome.Timeout:           "receive_timeout_transport_exception",
		outcome.ShardMoved:        "illegal_index_shard_state_exception",
		outcome.UnknownShardMap:   "illegal_index_shard_state_exception",
		outcome.PartialCoverage:   "illegal_index_shard_state_exception",
		outcome.Canceled:          "task_cancelled_exception",
		outcome.NotSent:           "task_cancelled_exception",
		outcome.BodyEvicted:       "task_cancelled_exception",
		outcome.ServerError:       "remote_transport_exception",
		outcome.MalformedResponse: "remote_transport_exception",
	} {
		t.Run(o.String(), func(t *testing.T) {
			if got := missingReason(coordinator.MissingPart{LastOutcome: o, Attempted: true}).Type; got != want {
				t.Errorf("%v: %s, want %s", o, got, want)
			}
		})
	}
	if got := missingReason(coordinator.MissingPart{}).Type; got != "no_shard_available_action_exception" {
		t.Errorf("not tried: %s", got)
	}
}
