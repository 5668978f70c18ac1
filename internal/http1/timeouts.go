package http1

import "time"

// Time limits of a connection. They bound clients that connect and send nothing, or send slowly, whatever they send.
const (
	FirstRequestTimeout = 2500 * time.Millisecond // from connecting to the last byte of the first request
	RequestTimeout      = 2 * time.Second         // from a later request's first byte to its last
	IdleTimeout         = 30 * time.Second        // between requests
	WriteTimeout        = 5 * time.Second         // of one response
)

// Limits on lingering: on reading after the last response, before the close.
const (
	lingerTimeout        = 500 * time.Millisecond
	maxLingerBytes       = 256 << 10
	maxLingeringRejected = 8 // rejected connections that linger at a time
)

// maxReadAheadBytes is how much is read behind a request while it is served.
const maxReadAheadBytes = MaxHeader + MaxBody

// How old a connection's state has to be to count against it when the connections are full, or drained.
const (
	silentConnAge   = 250 * time.Millisecond // of a new connection that has sent nothing
	stuckRequestAge = time.Second            // of a request that is still incomplete
)

// While the server drains.
const (
	drainIdleGrace     = 400 * time.Millisecond // for idle connections to be used once more
	drainSweepInterval = 200 * time.Millisecond // between two looks at idle, silent and stuck connections
)

const acceptRetryDelay = 20 * time.Millisecond
