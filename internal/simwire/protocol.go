package simwire

import "linkpass/internal/routing"

// Sizes in bytes, and limits.
const (
	headerSize      = 16 // of a batch
	replyHeaderSize = 8
	eventSize       = 56
	actionSize      = 32
	endpointSize    = 25 // of an entry of an endpoint list
	// maxEndpointLists is how many numbered endpoint lists the simulator gives.
	maxEndpointLists = 16
	// maxReportValues is how many values of a load report a record holds.
	maxReportValues = 4
	// maxBatchSize guards against allocating for a corrupt length.
	maxBatchSize = 1 << 28
	// maxClockMS guards against overflow of time.Duration by a corrupt clock, in milliseconds.
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

// eventNames has the protocol's names of those events whose content can be malformed, for errors.
var eventNames = map[uint16]string{
	eventInstanceStarted:   "enlist",
	eventEndpointUpdate:    "membership",
	eventAttemptResult:     "closed_attempt",
	eventHealthCheckResult: "probe_result",
	eventGossipMessage:     "message",
	eventEndpointList:      "snapshot_rows",
}

// Record numbers of actions.
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

// Bits of an arrival's flags.
const (
	arrivalHasExpectedWork = 1 << 0
	arrivalIsRetry         = 1 << 1
)

// outcomeCodes maps the protocol's outcomes of an attempt.
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
