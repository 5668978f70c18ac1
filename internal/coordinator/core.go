package coordinator

import (
	"context"
	"time"

	"linkpass/internal/deadline"
	"linkpass/internal/eventlog"
	"linkpass/internal/metrics"
	"linkpass/internal/outcome"
	"linkpass/internal/routing"
)

// clockAtStart is the value of Core.Now when the core is created. Core.FromUnixMilli returns 0, meaning long ago, for
// servers that started more than this before the core.
const clockAtStart = time.Hour

// maxSleep is how long the event loop sleeps if no deadline is armed.
const maxSleep = time.Hour

// Core is the event loop that drives the router.
type Core struct {
	settings           routing.Settings
	router             *routing.Router
	transports         Transports
	counters           *metrics.Counters
	totals             *metrics.Totals
	healthCheckTimeout time.Duration
	disableReplan      bool
	epoch              time.Time // when Now was 0

	mailbox chan message  // only Run receives from it
	stopped chan struct{} // closed by Run when it ends

	overdueLog eventlog.RateLimited
	steps      stepMonitor

	deferred *deferredQueue

	// Owned by the goroutine of Run.
	deadlines       deadline.Queue
	events          []routing.Event // for the next turn
	lastTurn        time.Duration   // on the clock of Now
	lastRequestID   routing.RequestID
	lastNumber      uint64 // latest number given to a query or health check; they share one sequence
	queries         map[routing.RequestID]*query
	parts           map[routing.RequestID]*part
	attempts        map[AttemptID]*attempt
	healthChecks    map[uint64]*healthCheck
	batches         []batch                  // of this turn
	latestBatch     map[routing.ServerID]int // by server: the index in batches
	onWarmedUp      func()                   // called once no health check is in flight; nil if there is no callback
	collections     map[string]*collection
	collectionCount int // collections seen so far, including those that were removed
}

// SetTransports sets the transports. It must be called once, before Run.
func (c *Core) SetTransports(transports Transports) { c.transports = transports }

// Now returns the time on the core's clock, which stands at clockAtStart when the core is created. It is safe for
// concurrent use.
func (c *Core) Now() time.Duration { return time.Since(c.epoch) }

// FromUnixMilli converts a past time in Unix milliseconds to the core's clock, by its age on the wall clock as that stands
// now: the wall clock may have been stepped since the core was created. It returns 0, meaning long ago, for a time of 0 or
// less and for one before the clock's origin, and the present for a time in the future.
func (c *Core) FromUnixMilli(unixMS int64) time.Duration {
	if unixMS <= 0 {
		return 0
	}
	age := time.Duration(time.Now().UnixNano()) - time.Duration(unixMS)*time.Millisecond
	return max(0, c.Now()-max(0, age))
}

// Run runs the event loop until the context is canceled. The queries that are then open fail.
func (c *Core) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	c.refreshEndpointCounts()
	c.steps.wakeAt = c.Now()
	for {
		select {
		case m := <-c.mailbox:
			c.steps.begin(c.Now())
			c.handle(m)
			c.drainMailbox()
		case <-c.deferred.wake:
			c.steps.begin(c.Now())
			c.handleDeferred()
		case <-timer.C:
			c.steps.begin(c.Now())
		case <-ctx.Done():
			c.stop()
			return
		}
		c.finishStep()
		now := c.Now()
		sleep := c.sleep(now)
		c.steps.wakeAt = now + sleep
		timer.Reset(sleep)
	}
}

// finishStep makes a turn if the latest one was at least Settings.Tick ago.
func (c *Core) finishStep() {
	now, events := c.Now(), len(c.events)
	if now >= c.lastTurn+c.settings.Tick {
		c.turn(now)
	}
	c.endStep(now, events)
}

// stop fails the open queries and unblocks the callers that wait for the event loop.
func (c *Core) stop() {
	close(c.stopped)
	for _, q := range c.queries {
		c.finish(q, Answer{Status: Failed})
	}
}

// sleep returns how long the event loop may sleep: until the next deadline, or until the next turn if events are
// queued for the router. Turns are at least Settings.Tick apart.
func (c *Core) sleep(now time.Duration) time.Duration {
	next, armed := c.deadlines.Next()
	if len(c.events) > 0 {
		next, armed = now, true
	}
	if !armed {
		return maxSleep
	}
	return max(next, c.lastTurn+c.settings.Tick) - now
}

// turn fires the deadlines that are due, passes the queued events to the router and executes its actions.
func (c *Core) turn(now time.Duration) {
	c.lastTurn = now
	c.deadlines.FireDue(now)
	if len(c.events) == 0 {
		return
	}
	events := c.events
	c.events = nil
	c.batches = c.batches[:0]
	clear(c.latestBatch)
	for _, action := range c.router.Turn(now, events) {
		c.executeAction(now, action)
	}
	c.sendBatches(now)
	if c.onWarmedUp != nil && len(c.healthChecks) == 0 {
		c.onWarmedUp()
		c.onWarmedUp = nil
	}
}

// addEvent queues an event for the router's next turn.
func (c *Core) addEvent(event routing.Event) { c.events = append(c.events, event) }

// executeAction executes one action of the router.
func (c *Core) executeAction(now time.Duration, action routing.Action) {
	switch a := action.(type) {
	case routing.Send:
		c.openAttempt(now, a)
	case routing.Cancel:
		c.cancelAttempt(now, AttemptID{a.ID, a.Attempt})
	case routing.Reject:
		c.finishByID(a.ID, Answer{Status: Rejected, RetryAfter: a.RetryAfter})
	case routing.Fail:
		c.finishByID(a.ID, Answer{Status: Failed})
	case routing.Answer:
		c.finishByID(a.ID, Answer{Status: Answered, Complete: a.Complete})
	case routing.SetTimer:
		c.deadlines.Arm(now+a.After, func() { c.addEvent(routing.TimerFired{Token: a.Token}) })
	case routing.HealthCheck:
		c.openHealthCheck(now, a.Server)
	}
}

// sendBatches passes the turn's attempts to the transports. Attempts that are not accepted end at once.
func (c *Core) sendBatches(now time.Duration) {
	for _, b := range c.batches {
		if len(b.attempts) == 0 || c.transports.Send(b.server, b.attempts) {
			continue
		}
		for _, a := range b.attempts {
			c.endAttempt(a.ID, Result{Outcome: outcome.QueueFull, At: now})
		}
	}
}
