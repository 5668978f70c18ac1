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
				t.Errorf("error type of %v = %s, want %s", o, got, want)
			}
		})
	}
	if got := missingReason(coordinator.MissingPart{}).Type; got != "no_shard_available_action_exception" {
		t.Errorf("error type without an attempt = %s, want no_shard_available_action_exception", got)
	}
}

// Guards against a renamed outcome that changes a response: clients match these words, which differ from the names in
// the log.
func TestMissingReasonKeepsOutcomeWords(t *testing.T) {
	words := [outcome.Count]string{
		"served", "server_error", "turned_away", "dial_refused", "dial_timeout", "dial_failed", "cut_in_write", "broken",
		"closed", "garbled", "rejected", "silent", "called_off", "withheld", "crowded", "moved", "ahead", "unversioned",
		"doubled", "pieced", "unkept",
	}
	for i, word := range words {
		got := missingReason(coordinator.MissingPart{LastOutcome: outcome.Outcome(i), Attempted: true}).Reason
		if want := "the latest attempt ended as " + word; got != want {
			t.Errorf("reason = %q, want %q", got, want)
		}
	}
}
