package transport

import (
	"time"

	"linkpass/internal/coordinator"
)

// Transport is the client of one server by one protocol. Its methods may be called concurrently, and none but Wait
// blocks.
type Transport interface {
	// Send sends the attempts of one request. It returns false where they were not accepted.
	Send([]coordinator.Attempt) bool
	Cancel(coordinator.AttemptID)
	// CheckHealth sends a health check. It returns false where that was not accepted.
	CheckHealth(number uint64) bool
	// AbandonHealthCheck says that the result of a health check is no longer needed.
	AbandonHealthCheck(number uint64)
	// SetAcceptsWork says whether the server may be sent new work.
	SetAcceptsWork(bool)
	// ServerRestarted says when the server's process started anew, since the program's start.
	ServerRestarted(startedAt time.Duration)
	// Drain stops new work from being accepted, and stops the transport once no attempt is in flight.
	Drain()
	// Close stops the transport. It does not wait.
	Close()
	// Stopped tells whether the transport was stopped or has drained.
	Stopped() bool
	// Wait waits until the transport has stopped and all of its goroutines have ended.
	Wait()
}

// Constructor starts the transport of a server.
type Constructor func(server, addr string) Transport

// Protocols says which protocol each server speaks, and how to start a transport for it.
type Protocols struct {
	// Constructors has one for each protocol that ForServer returns.
	Constructors map[string]Constructor
	// ForServer is the protocol of a server now. It may change at any time.
	ForServer func(server string) string
}
