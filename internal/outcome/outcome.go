package outcome

import "fmt"

// Outcome is a way in which an attempt or a health check can end.
type Outcome uint8

// The outcomes. DialRefused, DialTimeout and DialFailed mean that the dial failed, so nothing was written.
const (
	Success           Outcome = iota // the server sent a complete reply
	ServerError                      // the server replied with an error
	Rejected                         // the server rejected the work because of overload; nothing ran
	DialRefused                      // the server refused the connection
	DialTimeout                      // the connection was not established in time
	DialFailed                       // the connection could not be established for another reason
	WriteInterrupted                 // the connection failed before the last byte was written
	ConnReset                        // the connection was reset with work in flight
	ConnClosed                       // the connection was closed without an error with work in flight
	MalformedResponse                // a message could not be read, so the connection was closed
	BadRequest                       // the server could not use the request
	Timeout                          // no reply came in time
	Canceled                         // the router canceled the attempt
	NotSent                          // not written: the query had ended, or the server accepted no more work
	QueueFull                        // not written: no mailbox slot, connection or stream was free
	ShardMoved                       // the server no longer holds the shard; nothing ran
	UnknownShardMap                  // like ShardMoved, but no known shard map has another place for the part's keys
	UnknownCoverage                  // the server does not say which keys its reply covers
	DuplicateCoverage                // the reply covers keys that were already covered or were not requested
	PartialCoverage                  // the reply covers only some of the requested keys; new parts request the others
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

// String returns the outcome's name in log lines and counters.
func (o Outcome) String() string {
	if int(o) < len(names) {
		return names[o]
	}
	return fmt.Sprintf("outcome(%d)", uint8(o))
}
