package http1

import "time"

// Time limits of a connection. They hold for all clients, also for those that connect and send nothing or send slowly.
const (
	FirstRequestTimeout = 2500 * time.Millisecond // from connecting to the last byte of the first request
	RequestTimeout      = 2 * time.Second         // from the first byte of a later request to its last byte
	IdleTimeout         = 30 * time.Second        // from a response to the first byte of the next request
	WriteTimeout        = 5 * time.Second         // for writing one response
)

// Limits on lingering, that is, on discarding input between the last response and the close.
const (
	lingerTimeout        = 500 * time.Millisecond
	maxLingerBytes       = 256 << 10
	maxLingeringRejected = 8 // rejected connections that may linger at the same time
)

// maxReadAheadBytes is the largest number of bytes that are read beyond a request while it is served.
const maxReadAheadBytes = MaxHeader + DefaultMaxBody

// presenceLimit is how long after a client was known to be there a request of its overrun connection is still passed on.
// Nothing may be sent for a client later than 100 ms after it has closed its connection.
const presenceLimit = 50 * time.Millisecond

// Ages of a connection's state from which the connection is evictable, or is evicted before others, when MaxConns is
// reached. The sweeps of a draining server use stuckRequestAge too.
const (
	silentConnAge   = 250 * time.Millisecond // of a new connection that has sent nothing
	stuckRequestAge = time.Second            // of a request that is still incomplete
	longIdleAge     = 5 * time.Second        // of a connection that waits for its next request
)

// crowdedShare is the part of MaxConns from which on connections without a complete first request are a crowd: 2 means
// a half. Those that connect beyond it may be evicted before they have sent one.
const crowdedShare = 2

// Time limits while the server is draining.
const (
	drainIdleGrace     = 400 * time.Millisecond // during which an idle connection may carry one more request
	drainSweepInterval = 200 * time.Millisecond // between two sweeps for idle, silent and stuck connections
)

// evictionHeadroom is the part of MaxConns that is kept free, if connections are evictable, by evicting one for each that
// is admitted: 64 means one in 64. An admission then does not wait for the end of the connection that makes room for it.
const evictionHeadroom = 64

const acceptRetryDelay = 20 * time.Millisecond // after an error of Accept
