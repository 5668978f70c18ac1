package transport

import (
	"time"

	"linkpass/internal/coordinator"
)

// Transport is the client of one server for one protocol. Its methods are safe for concurrent use. Only Wait blocks.
type Transport interface {
	// Send sends the attempts of one request. It returns false if they were not accepted.
	Send([]coordinator.Attempt) bool
	// Cancel cancels an attempt whose result is no longer needed.
	Cancel(coordinator.AttemptID)
	// CheckHealth sends a health check. It returns false if it was not accepted.
	CheckHealth(number uint64) bool
	// AbandonHealthCheck says that the result of a health check is no longer needed.
	AbandonHealthCheck(number uint64)
	// SetAcceptsWork sets whether new work may be sent to the server.
	SetAcceptsWork(bool)
	// ServerRestarted says that the server's process has restarted, and when, on the core's clock.
	ServerRestarted(startedAt time.Duration)
	// Drain makes the transport refuse new work and stop once no attempt is in flight.
	Drain()
	// Close stops the transport. It does not wait.
	Close()
	// Stopped reports whether the transport was stopped or has finished draining.
	Stopped() bool
	// Wait waits until the transport has stopped and all of its goroutines have ended.
	Wait()
}

// Constructor starts the transport of a server.
type Constructor func(server, addr string) Transport

// Protocols defines which protocol each server speaks and how to start a transport for it.
type Protocols struct {
	// Constructors must have an entry for every protocol that ForServer returns.
	Constructors map[string]Constructor
	// ForServer returns the current protocol of a server. The result may change at any time.
	ForServer func(server string) string
}
