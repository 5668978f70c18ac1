// Package coordinator is the core of the program. It owns the decision module,
// hands it what happened once a turn and carries out what it decides, and it
// keeps each query until its one final answer. It knows no wire: fronts hand
// queries in, links carry attempts out, and a list tells of servers.
package coordinator

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"linkpass/internal/deadline"
	"linkpass/internal/eventlog"
	"linkpass/internal/metrics"
	"linkpass/internal/outcome"
	"linkpass/internal/routing"
	"linkpass/internal/shardmap"
	"linkpass/internal/shardmap/coverage"
)

// Part is one part of a query, as its client named it.
type Part struct {
	Shard        int
	Weight       float64
	ExpectedWork time.Duration // expected work; 0: unknown
	Key          uint64        // 0: none
	Payload      []byte        // handed to the server unchanged
	Request      *ShardRequest // nil: the layout is fixed
}

// ShardRequest is what a part asks for where the layout can move.
type ShardRequest struct {
	Shard      shardmap.ShardID
	MapVersion uint64 // of the layout that it was planned on
	Range      shardmap.Range
	Subrange   bool // less than the whole slice
	round      int
}

// Query is what a front hands in.
type Query struct {
	Name  string // the client's name for it
	Class int
	// Tenant is whose query it is, by number from 1 on; 0: nobody's.
	Tenant int
	// Collection is what the query asks about, where its client says so.
	Collection string
	StartedAt  time.Duration // by Core.Now: when the client's time began to run
	Timeout    time.Duration // how long the client waits from then on
	IsRetry    bool
	Parts      []Part
	// KeyRanges are the keys that a query on a layout that can move asks for, in place
	// of Parts: they are cut along the slices when it is taken.
	KeyRanges []shardmap.Range
	Payload   []byte // of each such part
	// Body takes the place of every part's text where it is kept by somebody else. The core
	// releases it with the answer.
	Body Body
	// Reply takes the final answer, exactly once. It is called from the core's
	// own goroutine and must not block.
	Reply func(Answer)
}

// Body is the text of a query's parts, kept elsewhere for as long as it can be. No method waits.
type Body interface {
	Size() int64
	// Open reads it as a stream. An error means that it can be read no more.
	Open() (io.ReadCloser, error)
	MarkSent()        // no part is yet to be written: it may be given up
	MarkPending()     // a part is to be written, or again
	OnEvicted(func()) // whom to tell, once, when it can be read no more
	Release()         // it is needed no more
}

// Status is how a query ends.
type Status uint8

// The ways in which a query ends.
const (
	Answered Status = iota
	Rejected
	Failed
)

// Value is what a server gave for a part.
type Value struct {
	Shard   int
	Request *ShardRequest // nil: the layout is fixed
	Data    []byte
	Score   float64
	Hits    *Hits // nil where the server gave a plain value
}

// Hits are the entries of a part that was answered by a search.
type Hits struct {
	Total   int64
	AtLeast bool // there may be more than Total
	List    []Hit
}

// Hit is one of them.
type Hit struct {
	ID     string
	Score  float64
	Source []byte
}

// MissingPart tells what became of a part that is not in.
type MissingPart struct {
	Shard       int
	LastOutcome outcome.Outcome // how its latest attempt ended
	Attempted   bool            // there was an attempt
	BodyEvicted bool            // its body could not be sent again
	Request     *ShardRequest   // what is missing; nil: the layout is fixed
}

// Answer is the final answer of a query.
type Answer struct {
	Status          Status
	Complete        bool
	Values          []Value       // the parts that are in
	Missing         []MissingPart // the parts that are not
	RetryAfter      time.Duration
	TimedOut        bool   // the client's time was up
	ShardMapVersion uint64 // the version that the query was planned on; 0: the layout is fixed
}

// AttemptID names one attempt.
type AttemptID struct {
	Part routing.RequestID
	No   int
}

// Attempt is one try of a part, as a link is to carry it.
type Attempt struct {
	ID          AttemptID
	Query       string // the client's name for the query
	Collection  string
	Shard       int
	Payload     []byte
	Body        Body          // in place of Text; nil: none
	Deadline    time.Duration // the client's time is up: nothing may be written from then on
	WriteBefore time.Duration // the same, as what may have run may be repeated for so long only; 0: no such limit
	Request     *ShardRequest
	over        *atomic.Bool
	gone        *atomic.Bool
}

// ShardMoved tells whether the server has given the part's slice up; it may be asked anywhere.
func (a Attempt) ShardMoved() bool { return a.gone != nil && a.gone.Load() }

// Expired tells whether it is too late to write it.
func (a Attempt) Expired(now time.Duration) bool {
	return now >= a.Deadline || a.WriteBefore > 0 && now >= a.WriteBefore
}

// Canceled tells whether the attempt, or its query, has ended already; it may be asked anywhere.
func (a Attempt) Canceled() bool { return a.over != nil && a.over.Load() }

// Endpoint is one line of the server list.
type Endpoint struct {
	routing.Endpoint
	Name, Addr string
}

// EndpointUpdate is news of the servers.
type EndpointUpdate struct {
	Mode      routing.UpdateMode
	Endpoints []Endpoint
}

// Transports carry attempts and probes to servers. They are called on the core's
// goroutine: no call may block, nor post to the core. Call and Probe tell
// whether the work was taken; what was taken ends by Core.Ended or
// Core.ProbeEnded.
type Transports interface {
	UpdateEndpoints(EndpointUpdate)
	Send(routing.ServerID, []Attempt) bool
	Cancel(routing.ServerID, AttemptID)
	CheckHealth(server routing.ServerID, number uint64) bool
	AbandonHealthCheck(server routing.ServerID, number uint64) // the probe is no longer awaited
}

// Result is how an attempt or a probe ended at a server.
type Result struct {
	Outcome         outcome.Outcome
	LoadReport      []float64
	Value           []byte
	Score           float64
	Hits            *Hits
	ShardMapVersion uint64          // the version that the server is at; 0: it says none
	Covers          *shardmap.Range // the keys that the value is about; nil: it does not say
	At              time.Duration   // by Core.Now: when it was known
}

// Config sets up a Core.
type Config struct {
	Settings           routing.Settings
	Seed               uint64
	HealthCheckTimeout time.Duration
	Counters           *metrics.Counters
	Totals             *metrics.Totals
	Mailbox            int // messages that wait at most
	// DisableReplan leaves parts whose slice has moved as they are: they fail.
	DisableReplan bool
}

// Core is the actor round the module.
type Core struct {
	set     routing.Settings
	router  *routing.Router
	links   Transports
	count   *metrics.Counters
	figures *metrics.Totals
	mailbox chan func()
	noted   chan struct{} // there are notes
	done    chan struct{}
	epoch   time.Time
	probeTO time.Duration

	notesMu sync.Mutex
	notes   []func() // what other actors want done to the deadlines

	// Owned by the goroutine of Run.
	dues     deadline.Queue
	events   []routing.Event
	lastTurn time.Duration
	lastID   routing.RequestID
	numbers  uint64
	queries  map[routing.RequestID]*query
	parts    map[routing.RequestID]*part
	attempts map[AttemptID]*attempt
	probes   map[uint64]*probe
	calls    []call
	warm     func() // waits for the probes that are out; nil: nobody does
	layouts  map[string]*ground
	grounds  int
	keep     bool // no part is planned anew
}

type query struct {
	Query
	id     routing.RequestID
	ends   time.Duration
	parts  []*part
	due    *deadline.Entry
	number uint64        // ties the module's parts to it
	unsent int           // parts that are yet to be written
	bare   bool          // its body is gone
	lostAt time.Duration // when, for want of the body, a part was left that nothing can answer

	ground *ground           // nil: the layout is fixed
	layout *shardmap.Map     // the version that it was planned on
	ledger *coverage.Tracker // what is in of what it wants
	pieces []Value           // answers to pieces of parts that gave way
}

type part struct {
	Part
	id       routing.RequestID
	query    *query
	attempts int
	out      int // attempts whose end is to come
	in       bool
	gave     bool // way to others
	unsent   bool // it is to be written, or again
	failed   bool // it was left without an attempt that could answer
	value    Value
	last     outcome.Outcome
}

type attempt struct {
	id     AttemptID
	part   *part
	server routing.ServerID
	sent   time.Duration
	due    *deadline.Entry
	over   atomic.Bool // it or its query: told to the links, which may still hold it back from the wire
	gone   atomic.Bool // the same: its slice has left the server
}

type probe struct {
	server routing.ServerID
	sent   time.Duration
	due    *deadline.Entry
}

type call struct {
	server   routing.ServerID
	attempts []Attempt
}

// originAge is the clock's reading at start: a server that started before that
// counts as started long ago.
const originAge = time.Hour

const surveyGap = 100 * time.Millisecond // between two looks at what the module believes of the servers

// New makes a core. Bind gives it its links before Run.
func New(c Config) (*Core, error) {
	router, err := routing.New(c.Settings, c.Seed)
	if err != nil {
		return nil, err
	}
	for i, class := range c.Settings.Classes {
		if class.FetchParts > 0 || class.Stream {
			return nil, fmt.Errorf("coordinator: class %d has a second step or a stream, which are not served", i)
		}
	}
	return &Core{
		set: c.Settings, router: router, count: c.Counters, figures: c.Totals, probeTO: c.HealthCheckTimeout,
		mailbox: make(chan func(), max(64, c.Mailbox)), done: make(chan struct{}), noted: make(chan struct{}, 1),
		epoch:   time.Now().Add(-originAge),
		queries: map[routing.RequestID]*query{}, parts: map[routing.RequestID]*part{},
		attempts: map[AttemptID]*attempt{}, probes: map[uint64]*probe{}, layouts: map[string]*ground{},
		keep: c.DisableReplan,
	}, nil
}

// SetTransports names the links. It is called once, before Run.
func (c *Core) SetTransports(l Transports) { c.links = l }

// Now is the core's clock.
func (c *Core) Now() time.Duration { return time.Since(c.epoch) }

// Clock turns a point in Unix milliseconds into the core's clock. Zero and
// what lies too far back are zero, which is long ago.
func (c *Core) Clock(unixMS int64) time.Duration {
	if unixMS <= 0 {
		return 0
	}
	return max(0, time.Duration(unixMS)*time.Millisecond-time.Duration(c.epoch.UnixNano()))
}

// post puts a message into the mailbox; it waits while that is full, which the
// core, never blocked itself, soon ends.
func (c *Core) post(m func()) bool {
	select {
	case c.mailbox <- m:
		return true
	case <-c.done:
		return false
	}
}

// Arm sets a deadline in the core's structure on behalf of another actor. fire
// runs on the core's goroutine and must not block. The result takes it out.
// Neither waits, however full the mailbox is.
func (c *Core) Arm(at time.Duration, fire func()) (disarm func()) {
	var e *deadline.Entry
	c.aside(func() { e = c.dues.Arm(at, fire) })
	return sync.OnceFunc(func() { c.aside(func() { c.dues.Disarm(e) }) })
}

// aside leaves a note about the deadlines for the core; notes are taken in order.
func (c *Core) aside(note func()) {
	c.notesMu.Lock()
	c.notes = append(c.notes, note)
	c.notesMu.Unlock()
	select {
	case c.noted <- struct{}{}:
	default: // the core will look already
	}
}

func (c *Core) takeNotes() {
	c.notesMu.Lock()
	notes := c.notes
	c.notes = nil
	c.notesMu.Unlock()
	for _, note := range notes {
		note()
	}
}

// Submit hands in a query. The result tells the core that its client has left;
// it may be called at any time and does nothing after the answer.
func (c *Core) Submit(q Query) (leave func()) {
	var open *query
	c.figures.InFlight.Add(1)
	if !c.post(func() { open = c.take(q) }) {
		if q.Body != nil {
			q.Body.Release()
		}
		c.settle(q, Answer{Status: Failed, Missing: missAll(q)})
		return func() {}
	}
	return func() { c.post(func() { c.left(open) }) }
}

// UpdateEndpoints takes news of the servers.
func (c *Core) UpdateEndpoints(l EndpointUpdate) {
	c.post(func() {
		c.count.Add("list_updates", 1)
		c.links.UpdateEndpoints(l)
		entries := make([]routing.Endpoint, len(l.Endpoints))
		for i, m := range l.Endpoints {
			entries[i] = m.Endpoint
		}
		c.events = append(c.events, routing.EndpointUpdate{Mode: l.Mode, Endpoints: entries})
	})
}

// SetMaxOpen says how many queries and parts may be held from now on.
func (c *Core) SetMaxOpen(open int) {
	c.post(func() { c.events = append(c.events, routing.CapacityChange{MaxOpen: open}) })
}

// OpenCount is how many queries and parts are held now.
func (c *Core) OpenCount() int {
	held := make(chan int, 1)
	if !c.post(func() { held <- len(c.queries) + len(c.parts) }) {
		return 0
	}
	select {
	case n := <-held:
		return n
	case <-c.done:
		return 0
	}
}

// WarmUp has the module get to know the servers; known is called, on the core's
// goroutine, once all have replied or have had their time.
func (c *Core) WarmUp(known func()) {
	c.post(func() {
		c.events = append(c.events, routing.WarmUp{})
		c.warm = known
	})
}

// AttemptEnded says how an attempt ended.
func (c *Core) AttemptEnded(id AttemptID, r Result) { c.post(func() { c.ended(id, r) }) }

// HealthCheckEnded says how a probe ended.
func (c *Core) HealthCheckEnded(number uint64, r Result) { c.post(func() { c.probeEnded(number, r) }) }

// Run takes turns until the context ends. What is open then is failed.
func (c *Core) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	c.survey()
	for {
		select {
		case m := <-c.mailbox:
			m()
			c.drain()
		case <-c.noted:
			c.takeNotes()
		case <-timer.C:
		case <-ctx.Done():
			close(c.done)
			for _, q := range c.queries {
				c.finish(q, Answer{Status: Failed})
			}
			return
		}
		now := c.Now()
		if now >= c.lastTurn+c.set.Tick {
			c.turn(now)
		}
		timer.Reset(c.wake(c.Now()))
	}
}

// drain takes what already waits, up to a mailbox full of it.
func (c *Core) drain() {
	for range cap(c.mailbox) {
		select {
		case m := <-c.mailbox:
			m()
		default:
			return
		}
	}
}

// wake is how long to sleep at most: until the next deadline or, with events in
// hand, the next turn, and never shorter than the gap between turns.
func (c *Core) wake(now time.Duration) time.Duration {
	next, armed := c.dues.Next()
	if len(c.events) > 0 {
		next, armed = now, true
	}
	if !armed {
		return time.Hour
	}
	return max(next, c.lastTurn+c.set.Tick) - now
}

// turn sweeps the deadlines, lets the module decide and carries that out.
func (c *Core) turn(now time.Duration) {
	c.lastTurn = now
	c.dues.Sweep(now)
	if len(c.events) > 0 {
		events := c.events
		c.events = nil
		c.calls = c.calls[:0]
		for _, a := range c.router.Turn(now, events) {
			c.act(now, a)
		}
		for _, call := range c.calls {
			if len(call.attempts) > 0 && !c.links.Send(call.server, call.attempts) {
				for _, a := range call.attempts {
					c.ended(a.ID, Result{Outcome: outcome.QueueFull, At: now})
				}
			}
		}
		if c.warm != nil && len(c.probes) == 0 {
			c.warm()
			c.warm = nil
		}
	}
}

// take opens a query: it and its parts go to the module in one turn.
func (c *Core) take(q Query) *query {
	now := c.Now()
	c.count.Add("queries_taken", 1)
	c.lastID++
	c.numbers++
	open := &query{Query: q, id: c.lastID, ends: q.StartedAt + q.Timeout}
	parts := c.plan(open)
	c.queries[open.id] = open
	left := max(0, open.ends-now)
	c.events = append(c.events, routing.Arrival{ID: open.id, Shard: -1, Timeout: left, Class: q.Class,
		Tenant: c.tenant(open), IsRetry: q.IsRetry, Weight: float64(len(parts)), QueryNumber: c.numbers})
	open.number = c.numbers
	for _, p := range parts {
		c.events = append(c.events, c.join(open, p, left))
	}
	if q.Body != nil {
		q.Body.OnEvicted(func() { c.aside(func() { c.bare(open) }) })
	}
	// Guards against a query that the module never ends: it fails when its time is over.
	open.due = c.dues.Arm(open.ends+c.set.AnswerSlack, func() {
		eventlog.QueryOverdue.Log(open.Name, open.Class)
		c.count.Add("queries_overdue", 1)
		c.events = append(c.events, routing.ClientDisconnected{ID: open.id})
		c.finish(open, Answer{Status: Failed, TimedOut: true})
	})
	return open
}

// tenant is the module's number of whose query it is; none is past the last one.
func (c *Core) tenant(q *query) int {
	if q.Tenant == 0 {
		return len(c.set.Tenants)
	}
	return q.Tenant - 1
}

// join makes a part of an open query, and what the module is told of it.
func (c *Core) join(q *query, p Part, left time.Duration) routing.Arrival {
	c.lastID++
	mine := &part{Part: p, id: c.lastID, query: q}
	q.parts = append(q.parts, mine)
	c.parts[mine.id] = mine
	c.unsent(mine, true)
	if q.bare { // the module hears it with the next turn's events, behind the arrival
		c.aside(func() { c.bare(q) })
	}
	return routing.Arrival{ID: mine.id, Shard: p.Shard, Timeout: left, Class: q.Class, Tenant: c.tenant(q), IsRetry: q.IsRetry,
		ExpectedWork: p.ExpectedWork, Key: p.Key, Weight: p.Weight, QueryNumber: q.number}
}

// left ends a query whose client has gone.
func (c *Core) left(q *query) {
	if q == nil || c.queries[q.id] == nil {
		return
	}
	c.count.Add("clients_gone", 1)
	c.events = append(c.events, routing.ClientDisconnected{ID: q.id})
	c.finish(q, Answer{Status: Failed})
}

// finish gives a query its one answer and forgets it. Attempts that are out
// stay until they end; what is not written yet never will be.
func (c *Core) finish(q *query, a Answer) {
	if c.queries[q.id] == nil {
		return
	}
	delete(c.queries, q.id)
	c.dues.Disarm(q.due)
	a.TimedOut = a.TimedOut || c.Now() >= q.ends-2*c.set.Tick
	for _, p := range q.parts {
		delete(c.parts, p.id)
		for no := range p.attempts {
			if at := c.attempts[AttemptID{p.id, no}]; at != nil {
				at.over.Store(true)
			}
		}
		switch {
		case p.in && a.Status == Answered:
			a.Values = append(a.Values, p.value)
		case !p.in:
			a.Missing = append(a.Missing, MissingPart{Shard: p.Shard, LastOutcome: p.last, Attempted: p.attempts > 0, Request: p.Request, BodyEvicted: q.bare})
		}
	}
	if q.ground != nil {
		c.settleLayout(q, &a)
	}
	if a.Status == Rejected {
		c.count.Add(c.refusal(q), 1)
	}
	if q.Body != nil {
		q.Body.Release()
		c.late(q)
	}
	c.settle(q.Query, a)
}

// settle counts a query's one answer and gives it.
func (c *Core) settle(q Query, a Answer) {
	c.count.Add([...]string{Answered: "queries_answered", Rejected: "queries_refused",
		Failed: "queries_failed"}[a.Status], 1)
	[...][]atomic.Int64{Answered: c.figures.Served, Rejected: c.figures.Rejected,
		Failed: c.figures.Failed}[a.Status][q.Class].Add(1)
	c.figures.InFlight.Add(-1)
	q.Reply(a)
}

// survey keeps the figures on servers fresh: the module is asked what it believes.
func (c *Core) survey() {
	known, avoided := c.router.EndpointCounts(c.Now())
	c.figures.ServersKnown.Store(int64(known))
	c.figures.ServersExcluded.Store(int64(avoided))
	c.dues.Arm(c.Now()+surveyGap, c.survey)
}

// refusal names the counter of what a refused query had come to.
func (c *Core) refusal(q *query) string {
	tried := false
	for _, p := range q.parts {
		if !p.in && c.set.MaxAttempts > 0 && p.attempts >= c.set.MaxAttempts {
			return "refused_spent" // a part had all its attempts
		}
		tried = tried || p.attempts > 0
	}
	if tried {
		return "refused_begun"
	}
	return "refused_unsent"
}

func missAll(q Query) (out []MissingPart) {
	for _, p := range q.Parts {
		out = append(out, MissingPart{Shard: p.Shard})
	}
	for _, r := range q.KeyRanges {
		out = append(out, MissingPart{Request: &ShardRequest{Range: r}})
	}
	return out
}

// act carries out one action of the module.
func (c *Core) act(now time.Duration, action routing.Action) {
	switch a := action.(type) {
	case routing.Send:
		c.send(now, a)
	case routing.Cancel:
		id := AttemptID{a.ID, a.Attempt}
		if at := c.attempts[id]; at != nil {
			c.count.Add("attempts_cancelled", 1)
			c.withdraw(at)
			c.links.Cancel(at.server, id)
			c.ended(id, Result{Outcome: outcome.Canceled, At: now})
		}
	case routing.Reject:
		if q := c.queries[a.ID]; q != nil {
			c.finish(q, Answer{Status: Rejected, RetryAfter: a.RetryAfter})
		}
	case routing.Fail:
		if q := c.queries[a.ID]; q != nil {
			c.finish(q, Answer{Status: Failed})
		}
	case routing.Answer:
		if q := c.queries[a.ID]; q != nil {
			c.finish(q, Answer{Status: Answered, Complete: a.Complete})
		}
	case routing.SetTimer:
		c.dues.Arm(now+a.After, func() { c.events = append(c.events, routing.TimerFired{Token: a.Token}) })
	case routing.HealthCheck:
		c.probe(now, a.Server)
	}
}

// withdraw takes an attempt out of the turn's calls, if it is not yet handed on.
func (c *Core) withdraw(at *attempt) {
	for i := range c.calls {
		list := c.calls[i].attempts
		for j := range list {
			if list[j].ID == at.id {
				c.calls[i].attempts = append(list[:j:j], list[j+1:]...)
				return
			}
		}
	}
}

// send opens an attempt; those of one turn to one server share calls.
func (c *Core) send(now time.Duration, a routing.Send) {
	p := c.parts[a.ID]
	if p == nil {
		c.count.Add("sends_stray", 1)
		return
	}
	at := &attempt{id: AttemptID{a.ID, p.attempts}, part: p, server: a.Server, sent: now}
	if p.attempts > 0 && p.out == 0 {
		c.class("retries_made", p.query.Class)
	}
	p.attempts++
	p.out++
	c.unsent(p, true)
	c.attempts[at.id] = at
	c.count.Add("attempts_sent", 1)
	wait := p.query.ends - now
	if a.Timeout > 0 {
		wait = min(wait, a.Timeout)
	}
	at.due = c.dues.Arm(now+max(0, wait), func() {
		c.links.Cancel(at.server, at.id)
		c.ended(at.id, Result{Outcome: outcome.Timeout, At: c.Now()})
	})
	out := Attempt{ID: at.id, Query: p.query.Name, Collection: p.query.Collection, Shard: p.Shard, Payload: p.Payload,
		Body: p.query.Body, Deadline: p.query.ends, WriteBefore: a.WriteBefore, Request: p.Request, over: &at.over, gone: &at.gone}
	for i := range c.calls {
		if c.calls[i].server == a.Server && len(c.calls[i].attempts) < c.set.PartsPerRequest {
			c.calls[i].attempts = append(c.calls[i].attempts, out)
			return
		}
	}
	c.calls = append(c.calls, call{a.Server, []Attempt{out}})
}

// ended books the end of an attempt, once; what comes later is dropped.
func (c *Core) ended(id AttemptID, r Result) {
	at := c.attempts[id]
	if at == nil {
		c.count.Add("results_late", 1)
		return
	}
	delete(c.attempts, id)
	at.over.Store(true)
	c.dues.Disarm(at.due)
	p := at.part
	p.out--
	var after []routing.Event // what the end means for the query's other parts
	if p.Request != nil && !p.in && !p.gave {
		r.Outcome, after = c.settlePart(p, r)
	}
	c.count.Add("attempts_"+r.Outcome.String(), 1)
	if !p.in {
		p.last = r.Outcome
	}
	if r.Outcome == outcome.Success && !p.in && !p.gave {
		c.unsent(p, false)
		if p.failed {
			c.class("retries_won", p.query.Class)
		}
		p.in, p.value = true, Value{Shard: p.Shard, Request: p.Request, Data: r.Value, Score: r.Score, Hits: r.Hits}
	}
	if !p.in && !p.gave && p.out == 0 && c.queries[p.query.id] != nil {
		c.unsent(p, true) // the module may want it sent again
		c.failed(p, r.At)
	}
	c.events = append(c.events, routing.AttemptResult{ID: id.Part, Attempt: id.No, Server: at.server,
		Code: r.Outcome.RoutingCode(), Latency: max(0, r.At-at.sent), Final: p.in, LoadReport: r.LoadReport})
	c.events = append(c.events, after...)
}

// probe sends a probe; it is lost when nothing has come within the time for it.
func (c *Core) probe(now time.Duration, server routing.ServerID) {
	c.count.Add("probes_sent", 1)
	c.numbers++
	number := c.numbers
	p := &probe{server: server, sent: now}
	p.due = c.dues.Arm(now+c.probeTO, func() {
		c.links.AbandonHealthCheck(server, number)
		c.probeEnded(number, Result{Outcome: outcome.Timeout, At: c.Now()})
	})
	c.probes[number] = p
	if !c.links.CheckHealth(server, number) {
		c.probeEnded(number, Result{Outcome: outcome.QueueFull, At: now})
	}
}

func (c *Core) probeEnded(number uint64, r Result) {
	p := c.probes[number]
	if p == nil {
		return
	}
	delete(c.probes, number)
	c.dues.Disarm(p.due)
	c.count.Add("probes_"+r.Outcome.String(), 1)
	c.events = append(c.events, routing.HealthCheckResult{Server: p.server, Code: r.Outcome.RoutingCode(),
		Latency: max(0, r.At-p.sent), LoadReport: r.LoadReport})
}

// Snapshot are what the module holds of the servers. It is false where the core does not answer in time.
func (c *Core) Snapshot(limit time.Duration) (out []routing.ServerSnapshot, ok bool) {
	told := make(chan []routing.ServerSnapshot, 1)
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case c.mailbox <- func() { told <- c.router.Snapshot(c.Now()) }:
	case <-c.done:
		return nil, false
	case <-timer.C:
		return nil, false
	}
	select {
	case out = <-told:
		return out, true
	case <-c.done:
		return nil, false
	case <-timer.C:
		return nil, false
	}
}
