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
	mailboxSize    = 256 // commands; further ones are rejected
	connEventsSize = 64  // events of connections; the senders of further ones wait
)

// Client is the client of one server. Its methods may be called concurrently.
type Client struct {
	config Config
	codec  Codec
	limits Limits
	server string // name of the server
	addr   string

	// mailbox takes commands and connEvents what happens on connections. Both are read by the event loop alone and
	// never closed; senders of connEvents give up once ctx is done.
	mailbox    chan event
	connEvents chan event

	ctx         context.Context // done once the client is to stop
	stop        context.CancelFunc
	goroutines  sync.WaitGroup // the event loop, dials, readers and writers of bodies
	acceptsWork atomic.Bool    // the endpoint list has the server as ready
	log         eventlog.RateLimited

	// The event loop owns the rest.
	conns    []*connection
	draining bool // stops once no attempt is in flight or waits
	stopping bool // opens no more connections
}

// New starts the client of a server. It accepts no work until SetAcceptsWork, and runs until Close, or until it is
// drained.
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

// SetAcceptsWork says whether the server may be sent new work. It takes effect at once, also for attempts that wait
// for a connection.
func (c *Client) SetAcceptsWork(accepts bool) { c.acceptsWork.Store(accepts) }

// ServerRestarted closes the connections that were dialed before the server's process started, at the time given.
// Without it, what is in flight on them would wait until its deadline.
func (c *Client) ServerRestarted(startedAt time.Duration) { c.post(serverRestarted{startedAt}) }

// Drain stops new work from being accepted, and stops the client once no attempt is in flight.
func (c *Client) Drain() {
	c.acceptsWork.Store(false)
	if !c.post(drain{}) {
		c.stop()
	}
}

// Close stops the client and closes its connections. It does not wait.
func (c *Client) Close() { c.stop() }

// Stopped tells whether the client has been stopped; its goroutines may still run.
func (c *Client) Stopped() bool { return c.ctx.Err() != nil }

// Wait waits until the client has stopped and all of its goroutines have ended.
func (c *Client) Wait() { c.goroutines.Wait() }

// Send sends the attempts as one request, or as one each under a protocol with exclusive connections. It returns
// false where the mailbox is full or the client has stopped; no attempt ends then.
func (c *Client) Send(attempts []coordinator.Attempt) bool { return c.post(sendAttempts{attempts}) }

// Cancel cancels an attempt that is in flight. One that waits for a connection is not written if it is canceled by
// then.
func (c *Client) Cancel(id coordinator.AttemptID) { c.post(cancelAttempt{id}) }

// CheckHealth sends a health check. It returns false where the mailbox is full or the client has stopped.
func (c *Client) CheckHealth(number uint64) bool { return c.post(checkHealth{number}) }

// AbandonHealthCheck says that the result of a health check is no longer needed.
func (c *Client) AbandonHealthCheck(number uint64) { c.post(abandonHealthCheck{number}) }
