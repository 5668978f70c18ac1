package outcome

import "fmt"

// Outcome is one way to end.
type Outcome uint8

// The outcomes. Those from DialRefused to DialFailed are of the dial, before anything was written.
const (
	Success           Outcome = iota // the server sent a complete reply
	ServerError                      // the server replied that it failed
	Rejected                         // the server rejected the work because of overload; nothing ran
	DialRefused                      // the server refused the connection
	DialTimeout                      // the connection was not open in time
	DialFailed                       // the connection could not be opened for another reason
	WriteInterrupted                 // the connection failed before the last byte was written
	ConnReset                        // the connection was reset with work in flight
	ConnClosed                       // the connection was closed in good order with work in flight
	MalformedResponse                // a message could not be read, so that the connection was closed
	BadRequest                       // the server could not use what it was sent
	Timeout                          // no reply came in time
	Canceled                         // the router canceled the attempt
	NotSent                          // not written: the query had ended, or the server accepted no more work
	QueueFull                        // not written: no connection had a free stream
	ShardMoved                       // the server does not have the shard any more; nothing ran
	UnknownShardMap                  // as ShardMoved, and the shard maps known here give no other place for its keys
	UnknownCoverage                  // the server does not say which keys its reply covers
	DuplicateCoverage                // the reply covers keys that were covered already, or were not requested
	PartialCoverage                  // the reply covers only some of the keys requested; new parts request the others
	BodyEvicted                      // not written completely: the body was evicted from the body store
)

// Count is the number of outcomes.
const Count = len(names)

var names = [...]string{
	Success: "success", ServerError: "server_error", Rejected: "rejected",
	DialRefused: "dial_refused", DialTimeout: "dial_timeout", DialFailed: "dial_failed",
	WriteInterrupted: "write_interrupted", ConnReset: "conn_reset", ConnClosed: "conn_closed", MalformedResponse: "malformed_response",
	BadRequest: "bad_request", Timeout: "timeout", Canceled: "canceled",
	NotSent: "not_sent", QueueFull: "queue_full", ShardMoved: "shard_moved", UnknownShardMap: "unknown_shard_map",
	UnknownCoverage: "unknown_coverage", DuplicateCoverage: "duplicate_coverage", PartialCoverage: "partial_coverage", BodyEvicted: "body_evicted",
}

// String is the outcome's name in log lines and counters.
func (o Outcome) String() string {
	if int(o) < len(names) {
		return names[o]
	}
	return fmt.Sprintf("outcome(%d)", uint8(o))
}
