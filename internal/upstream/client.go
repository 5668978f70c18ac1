// Package upstream is the actor of one league server: its mailbox, its connections,
// and what is out on each. How messages are worded is a dialect's concern.
package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"linkpass/internal/coordinator"
	"linkpass/internal/eventlog"
	"linkpass/internal/metrics"
	"linkpass/internal/outcome"
	"linkpass/internal/shardmap"
)

// ResultSink takes the ends of attempts and probes, and keeps the deadlines.
type ResultSink interface {
	Now() time.Duration
	Arm(at time.Duration, fire func()) (disarm func())
	AttemptEnded(coordinator.AttemptID, coordinator.Result)
	HealthCheckEnded(number uint64, r coordinator.Result)
	BodySent(coordinator.AttemptID) // whole, of a part with a body
}

// Part is one part of a call, about to be written.
type Part struct {
	Name       string // the query's name, a dot, the shard
	Collection string
	Shard      int
	Timeout    time.Duration
	Payload    []byte
	Request    *coordinator.ShardRequest // nil: the layout is fixed
}

// Message is what a server sent. Where one thing at a time is out, it needs no
// name and is about that; Probe is then set on what can't answer a part.
type Message struct {
	HealthCheck     bool
	Name            string
	Outcome         outcome.Outcome
	LoadReport      []float64
	Value           []byte
	Score           float64
	Hits            *coordinator.Hits
	ShardMapVersion uint64          // the version that the server is at; 0: it says none
	Covers          *shardmap.Range // the keys that the value is about; nil: it does not say
	ConnCloses      bool            // the server closes the connection after it
}

// Limits says how much a dialect can have out.
type Limits struct {
	MaxStreams int  // parts at a time on a connection
	MaxConns   int  // connections to a server
	Exclusive  bool // one part or probe at a time; given up by closing
	Subranges  bool // a part may ask for some keys of a slice
}

// Codec words messages to a server and reads its messages.
type Codec interface {
	Limits() Limits
	EncodeRequest([]Part) []byte
	// EncodeHeader words what goes before a part's body of that size, which then ends the message;
	// nil: the part has to be worded whole.
	EncodeHeader(part Part, size int64) []byte
	EncodeCancel(name string) []byte
	EncodeHealthCheck() []byte
	NewReader(io.Reader) Reader
}

// Reader reads the messages of one connection. Wait returns once a message
// begins; an error of Next comes with what it means for the connection.
type Reader interface {
	Wait() error
	Next() (Message, outcome.Outcome, error)
}

// Config is what all peers have in common.
type Config struct {
	Sink           ResultSink
	Counters       *metrics.Counters
	Totals         *metrics.Totals
	ConnectTimeout time.Duration
	Keepalive      time.Duration
	ConnLimiter    *ConnLimiter // nil: no bound
}

// ConnLimiter bounds the connections of all peers together: a descriptor each.
type ConnLimiter struct{ all, left atomic.Int64 }

// NewConnLimiter makes so many places.
func NewConnLimiter(n int) *ConnLimiter {
	p := &ConnLimiter{}
	p.SetLimit(n)
	return p
}

// SetLimit sets how many places there are. Where more are taken, connections are closed
// as they fall idle.
func (p *ConnLimiter) SetLimit(n int) { p.left.Add(int64(n) - p.all.Swap(int64(n))) }

func (p *ConnLimiter) take() bool {
	if p == nil || p.left.Add(-1) >= 0 {
		return true
	}
	p.left.Add(1)
	return false
}

func (p *ConnLimiter) give() {
	if p != nil {
		p.left.Add(1)
	}
}

// over tells whether more places are taken than there are.
func (p *ConnLimiter) over() bool { return p != nil && p.left.Load() < 0 }

const (
	mailboxSize = 256 // orders that wait
	newsSize    = 64  // messages and ends of connections that wait; those who tell of more wait too
	ownMargin   = 4   // the idle limit here is the other side's less one part in so many
	maxProbes   = 512 // out on a connection, those no longer awaited included
	maxPast     = 256 // names remembered of parts that have ended on a connection
	muteShare   = 5   // of the connect timeout one part in so many without a word to a probe is too long
)

// Client is the actor of one server.
type Client struct {
	cfg     Config
	dialect Codec
	room    Limits
	name    string
	addr    string
	mailbox chan func() // orders
	news    chan func() // of connections; what has come goes before what is to be sent
	ctx     context.Context
	stop    context.CancelFunc
	fit     atomic.Bool // the list says that new work is wanted
	lines   eventlog.RateLimited
	wg      sync.WaitGroup

	conns    []*conn // owned by the actor
	retiring bool    // ends once nothing is out
	ended    bool    // starts no connection any more
}

// conn is one connection. Parts and probes wait on it until it is up.
type conn struct {
	nc      net.Conn // nil while it comes up
	hangUp  func()
	birth   time.Duration
	used    time.Duration
	waiting []func()
	held    int // parts and exclusive probes that wait
	parts   map[string]coordinator.AttemptID
	probes  []uint64 // in the order sent; their answers come in it
	stream  *stream  // a body that is being written; nothing else may be, until its end
	past    []string // latest last: parts that have ended here, whose answers may still come
	waits   bool     // a probe was sent at asked, and nothing has come since
	asked   time.Duration
	dead    bool
	how     outcome.Outcome // once dead: what it died of
	disarm  func()          // of the idle limit
	shut    func()          // closes it and gives its place back, once
	free    func() bool     // of the close at the actor's end
}

// New starts the actor of a server.
func New(cfg Config, dialect Codec, name, addr string) *Client {
	ctx, stop := context.WithCancel(context.Background())
	p := &Client{cfg: cfg, dialect: dialect, room: dialect.Limits(), name: name, addr: addr,
		ctx: ctx, stop: stop, mailbox: make(chan func(), mailboxSize), news: make(chan func(), newsSize)}
	p.wg.Go(p.run)
	return p
}

func (p *Client) run() {
	for {
		select {
		case m := <-p.news:
			m()
		case m := <-p.mailbox:
			p.hear()
			m()
		case <-p.ctx.Done():
			// What still waits is ended too, not left until its time is over.
			p.ended = true
			p.hear()
			for len(p.mailbox) > 0 {
				(<-p.mailbox)()
			}
			for _, c := range slices.Clone(p.conns) {
				p.drop(c, outcome.ConnClosed)
			}
			return
		}
		if p.retiring && !p.busy() {
			p.stop()
		}
	}
}

// hear takes the news that wait. Before each order, it guards a call against a connection whose end
// is known already.
func (p *Client) hear() {
	for range len(p.news) {
		(<-p.news)()
	}
}

func (p *Client) busy() bool {
	return slices.ContainsFunc(p.conns, func(c *conn) bool { return len(c.parts)+c.held > 0 })
}

// try posts without waiting; it tells whether there was room.
func (p *Client) try(m func()) bool {
	if p.ctx.Err() != nil {
		return false
	}
	select {
	case p.mailbox <- m:
		return true
	default:
		p.cfg.Counters.Add("peer_mailbox_full", 1)
		return false
	}
}

// tell posts news of a connection and waits for room.
func (p *Client) tell(m func()) bool {
	select {
	case p.news <- m:
		return true
	case <-p.ctx.Done():
		return false
	}
}

// SetAcceptsWork says whether the list wants new work sent; it holds from this moment on.
func (p *Client) SetAcceptsWork(fit bool) { p.fit.Store(fit) }

// ServerRestarted says that the server's process began anew at the time given:
// connections older than that lead nowhere.
func (p *Client) ServerRestarted(since time.Duration) {
	p.try(func() {
		for _, c := range slices.Clone(p.conns) {
			if c.birth < since {
				p.drop(c, outcome.ConnReset)
			}
		}
	})
}

// Drain takes no new work and ends the actor once what is out has ended.
func (p *Client) Drain() {
	p.fit.Store(false)
	if !p.try(func() { p.retiring = true }) {
		p.stop()
	}
}

// Close ends the actor and its connections; it does not wait.
func (p *Client) Close() { p.stop() }

// Stopped tells whether the actor has been stopped.
func (p *Client) Stopped() bool { return p.ctx.Err() != nil }

// Wait waits until the actor and all that it started have ended.
func (p *Client) Wait() { p.wg.Wait() }

// Send sends the parts of one call.
func (p *Client) Send(list []coordinator.Attempt) bool {
	return p.try(func() {
		if !p.room.Exclusive {
			p.call(list)
			return
		}
		for i := range list {
			p.call(list[i : i+1])
		}
	})
}

func (p *Client) call(list []coordinator.Attempt) {
	p.when(len(list), func(c *conn) { p.write(c, list) }, func(e outcome.Outcome) { p.endAll(list, e) })
}

func (p *Client) endAll(list []coordinator.Attempt, e outcome.Outcome) {
	for _, a := range list {
		p.cfg.Sink.AttemptEnded(a.ID, coordinator.Result{Outcome: e, At: p.cfg.Sink.Now()})
	}
}

// Cancel gives up an attempt that was written; one that still waits is found
// dead when its turn comes.
func (p *Client) Cancel(id coordinator.AttemptID) {
	p.try(func() {
		for _, c := range p.conns {
			for name, at := range c.parts {
				if at != id {
					continue
				}
				c.forget(name)
				if c.stream != nil && c.stream.attempt.ID != id { // not into the middle of another's message
					c.stream.after = append(c.stream.after, name)
				} else if p.room.Exclusive || c.stream != nil {
					p.drop(c, outcome.Canceled)
				} else if p.put(c, p.dialect.EncodeCancel(name)) && p.spent(c) {
					p.drop(c, outcome.Timeout)
				}
				return
			}
		}
	})
}

// CheckHealth asks for a sign of life.
func (p *Client) CheckHealth(number uint64) bool {
	room := 0
	if p.room.Exclusive {
		room = 1
	}
	return p.try(func() {
		failed := func(e outcome.Outcome) {
			p.cfg.Sink.HealthCheckEnded(number, coordinator.Result{Outcome: e, At: p.cfg.Sink.Now()})
		}
		p.when(room, func(c *conn) {
			if len(c.probes) >= maxProbes {
				failed(outcome.QueueFull)
				return
			}
			c.probes = append(c.probes, number)
			if !c.waits {
				c.waits, c.asked = true, p.cfg.Sink.Now()
			}
			p.put(c, p.dialect.EncodeHealthCheck())
		}, failed)
	})
}

// AbandonHealthCheck says that a probe is no longer awaited. Where its answer would stand
// in the way of others, its connection goes. Elsewhere the answer may still come
// in its place; a mute connection goes once nothing is out.
func (p *Client) AbandonHealthCheck(number uint64) {
	p.try(func() {
		for _, c := range p.conns {
			if !slices.Contains(c.probes, number) {
				continue
			}
			if p.room.Exclusive || p.spent(c) {
				p.drop(c, outcome.Timeout)
			}
			return
		}
	})
}

// mute tells whether nothing has come on a connection since a probe went out on it a
// while ago. It may stand in half a message, or lead nowhere, and looks sound to the
// machine all the same: it takes no new work until something comes. One to a server
// that only stands still for a moment costs another connection and no more.
func (p *Client) mute(c *conn) bool {
	return c.waits && p.cfg.Sink.Now() >= c.asked+p.cfg.ConnectTimeout/muteShare
}

// spent tells whether a mute connection has nothing out that could still come.
func (p *Client) spent(c *conn) bool { return p.mute(c) && len(c.parts)+c.held == 0 }

// dropSilent ends the connections that have been mute while the server spoke on another:
// it is not the server that stands still, and what is out there will never come. Left
// alone those parts would look like a queue at the server until their time was over.
func (p *Client) dropSilent(spoke *conn, at time.Duration) {
	for _, c := range slices.Clone(p.conns) {
		if c != spoke && p.mute(c) && at >= c.asked+p.cfg.ConnectTimeout/muteShare {
			p.drop(c, outcome.Timeout)
		}
	}
}

// forget notes that a part has ended. Its answer may still come.
func (c *conn) forget(name string) {
	delete(c.parts, name)
	if len(c.past) == maxPast {
		c.past = slices.Delete(c.past, 0, 1)
	}
	c.past = append(c.past, name)
}

// load is how many places of a connection are taken.
func (p *Client) load(c *conn) int {
	if p.room.Exclusive {
		return len(c.parts) + len(c.probes) + c.held
	}
	return len(c.parts) + c.held
}

// pick finds a connection with room for so many parts, one that is up rather
// than one that still comes up, or starts one.
func (p *Client) pick(parts int) *conn {
	for _, up := range []bool{true, false} {
		for _, c := range p.conns {
			if (c.nc != nil) == up && c.stream == nil && !p.mute(c) && p.load(c)+parts <= p.room.MaxStreams {
				return c
			}
		}
	}
	if p.ended || len(p.conns) >= p.room.MaxConns || !p.cfg.ConnLimiter.take() {
		return nil
	}
	return p.dial()
}

// when does something on a connection with room, once that is up, or something
// else if there is none.
func (p *Client) when(parts int, up func(*conn), failed func(outcome.Outcome)) {
	c := p.pick(parts)
	if c == nil {
		failed(outcome.QueueFull)
		return
	}
	if c.nc != nil {
		up(c)
		return
	}
	c.held += parts
	c.waiting = append(c.waiting, func() {
		c.held -= parts
		switch {
		case c.dead:
			failed(c.how)
		case c.stream != nil: // what waited before it has a body under way
			p.when(parts, up, failed)
		default:
			up(c)
		}
	})
}

// dial starts a connection; its deadline lies with all others.
func (p *Client) dial() *conn {
	ctx, cancel := context.WithCancelCause(p.ctx)
	c := &conn{birth: p.cfg.Sink.Now(), parts: map[string]coordinator.AttemptID{},
		hangUp: func() { cancel(context.Canceled) }}
	p.conns = append(p.conns, c)
	p.cfg.Counters.Add("peer_dials", 1)
	p.wg.Go(func() {
		disarm := p.cfg.Sink.Arm(c.birth+p.cfg.ConnectTimeout, func() { cancel(context.DeadlineExceeded) })
		nc, err := (&net.Dialer{KeepAlive: -1}).DialContext(ctx, "tcp", p.addr)
		disarm()
		if err == nil {
			// Frees a write that blocks when the actor is to end, and what it never hears of.
			c.shut = sync.OnceFunc(func() {
				_ = nc.Close()
				p.cfg.ConnLimiter.give()
			})
			c.free = context.AfterFunc(p.ctx, c.shut)
			p.tell(func() { p.up(c, nc) })
			if p.ctx.Err() != nil {
				c.shut()
			}
			return
		}
		p.cfg.ConnLimiter.give()
		e := outcome.FromDialError(err)
		if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
			e = outcome.DialTimeout
		}
		cancel(nil)
		if p.tell(func() { p.drop(c, e) }) {
			p.lines.Log(eventlog.DialFailed, p.name, p.addr, e)
		}
	})
	return c
}

// up sends what has waited for a connection, and starts its reader.
func (p *Client) up(c *conn, nc net.Conn) {
	if c.dead {
		c.free()
		c.shut()
		return
	}
	c.nc, c.used = nc, p.cfg.Sink.Now()
	p.wg.Go(func() { p.read(c) })
	p.watchIdle(c)
	c.release()
}

// release lets what waits on a connection go on: it is up, or it is dead.
func (c *conn) release() {
	waiting := c.waiting
	c.waiting = nil
	for _, m := range waiting {
		m()
	}
}

// watchIdle closes a connection before the server would: what crosses the
// server's close ends in a reset.
func (p *Client) watchIdle(c *conn) {
	limit := p.cfg.Keepalive - p.cfg.Keepalive/ownMargin
	if limit <= 0 {
		return
	}
	c.disarm = p.cfg.Sink.Arm(c.used+limit, func() {
		p.try(func() {
			switch {
			case c.dead:
				return
			case len(c.parts) > 0 || c.stream != nil:
				c.used = p.cfg.Sink.Now()
			case p.cfg.Sink.Now() >= c.used+limit:
				p.cfg.Counters.Add("peer_idle_closed", 1)
				p.drop(c, outcome.ConnClosed)
				return
			}
			p.watchIdle(c)
		})
	})
}

// write sends one call. Just before that it looks again at whether the query
// is still open and whether the server still wants work.
func (p *Client) write(c *conn, list []coordinator.Attempt) {
	now := p.cfg.Sink.Now()
	var parts []Part
	var sent, withheld, moved, whole []coordinator.Attempt
	for _, a := range list {
		name := a.Query + "." + strconv.Itoa(a.Shard)
		_, twin := c.parts[name] // two open queries of one name: answers could not be told apart
		if a.Expired(now) || !p.fit.Load() || a.Canceled() || twin {
			withheld = append(withheld, a)
			continue
		}
		if a.ShardMoved() { // its slice has left this server since the module chose it
			moved = append(moved, a)
			continue
		}
		if a.Request != nil && a.Request.Subrange && !p.room.Subranges { // the answer would hold more than was asked for
			whole = append(whole, a)
			continue
		}
		parts = append(parts, Part{Name: name, Collection: a.Collection, Shard: a.Shard, Payload: a.Payload, Timeout: a.Deadline - now, Request: a.Request})
		sent = append(sent, a)
	}
	parts, sent = p.split(c, parts, sent)
	p.endAll(withheld, outcome.NotSent)
	p.endAll(moved, outcome.ShardMoved)
	p.endAll(whole, outcome.UnknownCoverage)
	if len(parts) == 0 {
		return
	}
	if !p.put(c, p.dialect.EncodeRequest(parts)) {
		p.endAll(sent, outcome.WriteInterrupted)
		return
	}
	p.cfg.Counters.Add("peer_parts_written", int64(len(parts)))
	p.cfg.Totals.Attempts.Add(int64(len(parts)))
	for i, a := range sent {
		c.parts[parts[i].Name] = a.ID
	}
}

// put writes a message. A peer that takes none for too long loses the connection.
func (p *Client) put(c *conn, b []byte) bool {
	nc := c.nc
	disarm := p.cfg.Sink.Arm(p.cfg.Sink.Now()+p.cfg.ConnectTimeout, func() { _ = nc.Close() })
	_, err := nc.Write(b)
	disarm()
	if err != nil {
		p.drop(c, outcome.ConnReset)
		return false
	}
	c.used = p.cfg.Sink.Now()
	return true
}

// drop ends a connection and all that was out on it.
func (p *Client) drop(c *conn, e outcome.Outcome) {
	if c.dead {
		return
	}
	c.dead, c.how = true, e
	c.hangUp()
	if c.disarm != nil {
		c.disarm()
	}
	p.conns = slices.DeleteFunc(p.conns, func(o *conn) bool { return o == c })
	if c.nc != nil {
		c.free()
		c.shut()
	}
	if len(c.parts)+len(c.probes) > 0 && e != outcome.Timeout && e != outcome.Canceled {
		p.lines.Log(eventlog.ConnLost, p.name, e, len(c.parts), len(c.probes))
	}
	p.cfg.Counters.Add("peer_conn_"+e.String(), 1)
	c.release()
	at := p.cfg.Sink.Now()
	for _, id := range c.parts {
		how := e
		if c.stream != nil {
			how = c.stream.how(id, e)
		}
		p.cfg.Sink.AttemptEnded(id, coordinator.Result{Outcome: how, At: at})
	}
	for _, number := range c.probes {
		p.cfg.Sink.HealthCheckEnded(number, coordinator.Result{Outcome: e, At: at})
	}
}

// read hands the messages of a connection to the actor until it ends.
func (p *Client) read(c *conn) {
	r := p.dialect.NewReader(c.nc)
	for {
		var m Message
		var e outcome.Outcome
		err := r.Wait()
		at := p.cfg.Sink.Now()
		if err != nil {
			e = outcome.FromReadError(err, errors.Is(err, io.EOF))
		} else if m, e, err = r.Next(); err != nil && !errors.Is(err, net.ErrClosed) { // not closed on this side
			p.cfg.Counters.Add("peer_messages_bad", 1)
			p.lines.Log(eventlog.MessageMalformed, p.name, e, err)
		}
		if err != nil {
			p.tell(func() { p.drop(c, e) })
			return
		}
		p.tell(func() { p.take(c, m, at) })
	}
}

// take books one message.
func (p *Client) take(c *conn, m Message, at time.Duration) {
	if c.dead {
		return
	}
	c.waits = false
	p.dropSilent(c, at)
	result := coordinator.Result{Outcome: m.Outcome, LoadReport: m.LoadReport, Value: m.Value, Score: m.Score, Hits: m.Hits, At: at,
		ShardMapVersion: m.ShardMapVersion, Covers: m.Covers}
	if p.room.Exclusive {
		m.HealthCheck = m.HealthCheck || len(c.probes) > 0
		for name := range c.parts {
			m.Name = name
		}
	}
	id, out := c.parts[m.Name]
	switch {
	case m.HealthCheck && len(c.probes) > 0:
		number := c.probes[0]
		c.probes = c.probes[1:]
		p.cfg.Sink.HealthCheckEnded(number, result)
	case !m.HealthCheck && out:
		c.forget(m.Name)
		p.cfg.Sink.AttemptEnded(id, result)
	case m.HealthCheck || p.room.Exclusive || !slices.Contains(c.past, m.Name):
		// Guards the parts that are out: an answer with a name that was never asked here is one of
		// theirs, spoilt, and such a connection is of no further use.
		p.cfg.Counters.Add("peer_messages_bad", 1)
		p.lines.Log(eventlog.MessageMalformed, p.name, outcome.MalformedResponse, "an answer to nothing")
		p.drop(c, outcome.MalformedResponse)
	default:
		p.cfg.Counters.Add("peer_answers_late", 1)
	}
	if m.ConnCloses || p.cfg.ConnLimiter.over() && len(c.parts)+len(c.probes)+c.held == 0 {
		p.drop(c, outcome.ConnClosed)
	}
}
