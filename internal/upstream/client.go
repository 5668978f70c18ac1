package upstream

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"linkpass/internal/coordinator"
	"linkpass/internal/eventlog"
)

const (
	mailboxSize    = 256 // commands; when it is full, further ones are rejected
	connEventsSize = 64  // connection events; when it is full, the senders wait
)

// Client sends requests, cancellations and health checks to one server. Its methods may be called concurrently.
type Client struct {
	config Config
	codec  Codec
	limits Limits
	server string // name of the server, for log events
	addr   string // host and port to dial

	// mailbox carries commands, and connEvents carries what happens on connections. Only the event loop reads them,
	// and they are never closed. Senders to connEvents give up once ctx is done.
	mailbox    chan event
	connEvents chan event

	ctx         context.Context // canceled to stop the client
	stop        context.CancelFunc
	goroutines  sync.WaitGroup // the event loop, dials, readers and writers of bodies
	acceptsWork atomic.Bool    // the endpoint list says that the server is ready; Drain clears it
	log         eventlog.RateLimited

	// The fields below belong to the event loop; no other goroutine uses them.
	conns    []*connection // open or being dialed
	draining bool          // the client stops once no attempt is in flight or waits for a connection
	stopping bool          // no more connections are dialed
}

// New starts a client of the server at addr, a host and port. The client sends no attempts until SetAcceptsWork(true).
// It runs until Close, or until it is drained.
func New(config Config, codec Codec, server, addr string) *Client {
	ctx, stop := context.WithCancel(context.Background())
	c := &Client{
		config:     config,
		codec:      codec,
		limits:     codec.Limits(),
		server:     server,
		addr:       addr,
		mailbox:    make(chan event, mailboxSize),
		connEvents: make(chan event, connEventsSize),
		ctx:        ctx,
		stop:       stop,
	}
	c.goroutines.Go(c.run)
	return c
}

// SetAcceptsWork sets whether the server may be sent new attempts. It takes effect at once, also for attempts that
// wait for a connection.
func (c *Client) SetAcceptsWork(accepts bool) { c.acceptsWork.Store(accepts) }

// ServerRestarted closes the connections that were dialed before startedAt, the time at which the server's process
// started. Without it, the attempts in flight on them would wait until their deadline.
func (c *Client) ServerRestarted(startedAt time.Duration) { c.post(serverRestarted{startedAt}) }

// Drain makes the client accept no new work, and stops it once no attempt is in flight or waits for a connection. If
// the mailbox is full, the client stops at once.
func (c *Client) Drain() {
	c.acceptsWork.Store(false)
	if !c.post(drain{}) {
		c.stop()
	}
}

// Close stops the client and closes its connections. It does not wait until that is done; Wait does.
func (c *Client) Close() { c.stop() }

// Stopped reports whether the client has been stopped. Its goroutines may still be running.
func (c *Client) Stopped() bool { return c.ctx.Err() != nil }

// Wait waits until the client has stopped and all of its goroutines have ended.
func (c *Client) Wait() { c.goroutines.Wait() }

// Send sends the attempts as one request, or as one request each if the protocol has exclusive connections. It returns
// false if the mailbox is full or the client has stopped; no result is then reported for the attempts.
func (c *Client) Send(attempts []coordinator.Attempt) bool { return c.post(sendAttempts{attempts}) }

// Cancel cancels an attempt that is in flight. It has no effect on an attempt that waits for a connection: that one is
// checked when the connection opens, and is not written if its Canceled method returns true by then.
func (c *Client) Cancel(id coordinator.AttemptID) { c.post(cancelAttempt{id}) }

// CheckHealth sends a health check, whose result is reported under the given number. It returns false if the mailbox
// is full or the client has stopped; no result is then reported.
func (c *Client) CheckHealth(number uint64) bool { return c.post(checkHealth{number}) }

// AbandonHealthCheck tells the client that the result of a health check is no longer needed.
func (c *Client) AbandonHealthCheck(number uint64) { c.post(abandonHealthCheck{number}) }
