package upstream

import (
	"net"
	"time"

	"linkpass/internal/coordinator"
	"linkpass/internal/outcome"
)

// event is a command or a connection event. The event loop calls its handle method.
type event interface{ handle(*Client) }

// The commands, which are posted to the mailbox.
type (
	sendAttempts       struct{ attempts []coordinator.Attempt }
	cancelAttempt      struct{ id coordinator.AttemptID }
	checkHealth        struct{ number uint64 }
	abandonHealthCheck struct{ number uint64 }
	serverRestarted    struct{ startedAt time.Duration }
	drain              struct{}
	idleTimeout        struct{ conn *connection }
)

// The connection events.
type (
	connOpened struct {
		conn    *connection
		netConn net.Conn
	}
	connEnded struct { // the dial failed, or no further message can be read
		conn    *connection
		outcome outcome.Outcome
	}
	messageRead struct {
		conn    *connection
		message Message
		at      time.Duration // when its first byte could be read
	}
	bodyWritten struct {
		conn *connection
		body *bodyWrite
		err  error // nil: the message is complete
	}
)

func (e sendAttempts) handle(c *Client)       { c.sendAttempts(e.attempts) }
func (e cancelAttempt) handle(c *Client)      { c.cancelAttempt(e.id) }
func (e checkHealth) handle(c *Client)        { c.startTask(healthCheckTask(e)) }
func (e abandonHealthCheck) handle(c *Client) { c.abandonHealthCheck(e.number) }
func (e serverRestarted) handle(c *Client)    { c.dropConnsBefore(e.startedAt) }
func (drain) handle(c *Client)                { c.draining = true }
func (e idleTimeout) handle(c *Client)        { c.checkIdle(e.conn) }

func (e connOpened) handle(c *Client)  { c.handleConnOpened(e.conn, e.netConn) }
func (e connEnded) handle(c *Client)   { c.drop(e.conn, e.outcome) }
func (e messageRead) handle(c *Client) { c.handleMessage(e.conn, e.message, e.at) }
func (e bodyWritten) handle(c *Client) { c.handleBodyWritten(e.conn, e.body, e.err) }
