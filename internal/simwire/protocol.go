package simwire

import "linkpass/internal/routing"

// Sizes in bytes, and limits.
const (
	headerSize      = 16 // header of a batch
	replyHeaderSize = 8  // header of a reply
	eventSize       = 56 // event record
	actionSize      = 32 // action record
	endpointSize    = 25 // entry of an endpoint list
	// maxEndpointLists is the number of endpoint lists that the simulator can send; they are numbered from 0.
	maxEndpointLists = 16
	// maxReportValues is the number of load report values that a record has room for.
	maxReportValues = 4
	// maxBatchSize, in bytes, prevents a large allocation for a corrupt length.
	maxBatchSize = 1 << 28
	// maxClockMS, in milliseconds, prevents a corrupt clock from overflowing time.Duration.
	maxClockMS = 1e12
)

// Record numbers of events.
const (
	eventInstanceStarted    uint16 = 1000
	eventEndpointUpdate     uint16 = 1010
	eventArrival            uint16 = 1020
	eventStreamStarted      uint16 = 1030
	eventAttemptResult      uint16 = 1040
	eventClientDisconnected uint16 = 1050
	eventTimerFired         uint16 = 1060
	eventHealthCheckResult  uint16 = 1070
	eventGossipMessage      uint16 = 1080
	eventInstanceStopped    uint16 = 1090
	eventEndpointList       uint16 = 1100
)

// eventNames maps record numbers to the protocol's names of the events, for error texts. It has only those events
// whose content can be malformed.
var eventNames = map[uint16]string{
	eventInstanceStarted:   "enlist",
	eventEndpointUpdate:    "membership",
	eventAttemptResult:     "closed_attempt",
	eventHealthCheckResult: "probe_result",
	eventGossipMessage:     "message",
	eventEndpointList:      "snapshot_rows",
}

// Record numbers of actions. Some equal those of events: batches hold only events, replies only actions.
const (
	actionSend        uint16 = 1000
	actionReject      uint16 = 1010
	actionFail        uint16 = 1020
	actionCancel      uint16 = 1030
	actionSetTimer    uint16 = 1040
	actionHealthCheck uint16 = 1050
	actionPanic       uint16 = 1090
	actionSubscribe   uint16 = 1100
	actionAnswer      uint16 = 1120
)

// Bits of the flags of an arrival record.
const (
	arrivalHasExpectedWork = 1 << 0
	arrivalIsRetry         = 1 << 1
)

// outcomeCodes maps the protocol's outcome codes of attempts and health checks to those of package routing.
var outcomeCodes = map[uint16]routing.Code{
	200: routing.OK,
	408: routing.TimedOut,
	409: routing.NotSent,
	429: routing.Overloaded,
	444: routing.Canceled,
	502: routing.ServerError,
	520: routing.ConnReset,
	521: routing.ConnectFailed,
}
