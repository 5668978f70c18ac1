// Package peer speaks the frames of the plain protocol with league servers: one
// actor with a mailbox for each server, whose connections it alone writes.
package peer

import (
	"bufio"
	"context"
	"errors"
	"io"
	"log"
	"net"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"linkpass/internal/coordinator"
	"linkpass/internal/counters"
	"linkpass/internal/end"
	"linkpass/internal/frame"
)

// Sink takes the ends of attempts and probes, and keeps the deadlines.
type Sink interface {
	Now() time.Duration
	Arm(at time.Duration, fire func()) (disarm func())
	Ended(coordinator.AttemptID, coordinator.Result)
	ProbeEnded(number uint64, r coordinator.Result)
}

// Config is what all peers have in common.
type Config struct {
	Sink           Sink
	Counters       *counters.Set
	ReportNames    []string
	Reports        bool // probes ask for the load
	MaxStreams     int
	ConnectTimeout time.Duration
	Keepalive      time.Duration
}

const (
	maxConns    = 8   // to one server
	mailboxSize = 256 // orders and news that wait
	ownMargin   = 4   // the idle limit here is the other side's less one part in so many
)

// Peer is the actor of one server.
type Peer struct {
	cfg     Config
	name    string
	addr    string
	mailbox chan func()
	ctx     context.Context
	stop    context.CancelFunc
	fit     atomic.Bool // the list says that new work is wanted
	wg      sync.WaitGroup

	conns    []*conn // owned by the actor
	retiring bool    // ends once nothing is out
}

// conn is one connection. Parts and probes wait on it until it is up.
type conn struct {
	nc      net.Conn // nil while it comes up
	hangUp  context.CancelFunc
	birth   time.Duration
	used    time.Duration
	waiting []func()
	held    int // parts that wait
	parts   map[string]coordinator.AttemptID
	probes  []uint64 // in the order sent; their answers come in it
	dead    bool
	how     end.End // once dead: what it died of
	disarm  func()
}

// New starts the actor of a server.
func New(cfg Config, name, addr string) *Peer {
	ctx, stop := context.WithCancel(context.Background())
	p := &Peer{cfg: cfg, name: name, addr: addr, ctx: ctx, stop: stop, mailbox: make(chan func(), mailboxSize)}
	p.wg.Add(1)
	go p.run()
	return p
}

func (p *Peer) run() {
	defer p.wg.Done()
	for {
		select {
		case m := <-p.mailbox:
			m()
			if p.retiring && !p.busy() {
				p.stop()
			}
		case <-p.ctx.Done():
			for _, c := range slices.Clone(p.conns) {
				p.drop(c, end.Closed)
			}
			return
		}
	}
}

func (p *Peer) busy() bool {
	return slices.ContainsFunc(p.conns, func(c *conn) bool { return len(c.parts)+c.held > 0 })
}

// try posts without waiting; it tells whether there was room.
func (p *Peer) try(m func()) bool {
	select {
	case p.mailbox <- m:
		return true
	default:
		p.cfg.Counters.Add("peer_mailbox_full", 1)
		return false
	}
}

// tell posts news of a connection and waits for room.
func (p *Peer) tell(m func()) {
	select {
	case p.mailbox <- m:
	case <-p.ctx.Done():
	}
}

// Fit says whether the list wants new work sent; it holds from this moment on.
func (p *Peer) Fit(fit bool) { p.fit.Store(fit) }

// Restarted says that the server's process began anew at the time given:
// connections older than that lead nowhere.
func (p *Peer) Restarted(since time.Duration) {
	p.try(func() {
		for _, c := range slices.Clone(p.conns) {
			if c.birth < since {
				p.drop(c, end.Broken)
			}
		}
	})
}

// Retire takes no new work and ends the actor once what is out has ended.
func (p *Peer) Retire() {
	p.fit.Store(false)
	if !p.try(func() { p.retiring = true }) {
		p.stop()
	}
}

// Close ends the actor and its connections; it does not wait.
func (p *Peer) Close() { p.stop() }

// Wait waits until the actor and all that it started have ended.
func (p *Peer) Wait() { p.wg.Wait() }

// Call sends the parts of one call.
func (p *Peer) Call(list []coordinator.Attempt) bool {
	return p.try(func() {
		c := p.pick(len(list))
		if c == nil {
			p.endAll(list, end.Crowded)
			return
		}
		c.held += len(list)
		p.when(c, func() {
			c.held -= len(list)
			p.write(c, list)
		}, func(e end.End) { p.endAll(list, e) })
	})
}

func (p *Peer) endAll(list []coordinator.Attempt, e end.End) {
	for _, a := range list {
		p.cfg.Sink.Ended(a.ID, coordinator.Result{End: e, At: p.cfg.Sink.Now()})
	}
}

// Cancel gives up an attempt that was written; one that still waits is found
// dead when its turn comes.
func (p *Peer) Cancel(id coordinator.AttemptID) {
	p.try(func() {
		for _, c := range p.conns {
			for wire, at := range c.parts {
				if at == id {
					delete(c.parts, wire)
					p.put(c, frame.Append(nil, frame.GiveUp, []byte(wire)))
					return
				}
			}
		}
	})
}

// Probe asks for a sign of life.
func (p *Peer) Probe(number uint64) bool {
	return p.try(func() {
		c := p.pick(0)
		failed := func(e end.End) {
			p.cfg.Sink.ProbeEnded(number, coordinator.Result{End: e, At: p.cfg.Sink.Now()})
		}
		if c == nil {
			failed(end.Crowded)
			return
		}
		p.when(c, func() {
			letter := byte(frame.Probe)
			if p.cfg.Reports {
				letter = frame.LoadProbe
			}
			c.probes = append(c.probes, number)
			p.put(c, frame.Append(nil, letter, nil))
		}, failed)
	})
}

// pick finds a connection with room for so many parts, or starts one.
func (p *Peer) pick(parts int) *conn {
	for _, c := range p.conns {
		if c.nc != nil && len(c.parts)+parts <= p.cfg.MaxStreams {
			return c
		}
	}
	for _, c := range p.conns {
		if c.nc == nil && c.held+parts <= p.cfg.MaxStreams {
			return c
		}
	}
	if len(p.conns) >= maxConns {
		return nil
	}
	return p.dial()
}

// when does something once the connection is up, or something else if it never is.
func (p *Peer) when(c *conn, up func(), failed func(end.End)) {
	if c.nc != nil {
		up()
		return
	}
	c.waiting = append(c.waiting, func() {
		if c.dead {
			failed(c.how)
			return
		}
		up()
	})
}

// dial starts a connection; the deadline lies with all others.
func (p *Peer) dial() *conn {
	ctx, cancel := context.WithCancelCause(p.ctx)
	c := &conn{birth: p.cfg.Sink.Now(), parts: map[string]coordinator.AttemptID{},
		hangUp: func() { cancel(context.Canceled) }}
	p.conns = append(p.conns, c)
	p.cfg.Counters.Add("peer_dials", 1)
	disarm := p.cfg.Sink.Arm(c.birth+p.cfg.ConnectTimeout, func() { cancel(context.DeadlineExceeded) })
	p.wg.Add(1)
	go func() {
		defer p.wg.Done()
		nc, err := (&net.Dialer{KeepAlive: -1}).DialContext(ctx, "tcp", p.addr)
		disarm()
		cause := context.Cause(ctx)
		cancel(context.Canceled)
		if err != nil {
			e := end.OfDial(err)
			if errors.Is(cause, context.DeadlineExceeded) {
				e = end.DialTimeout
			}
			log.Printf("event=dial_failed server=%s addr=%s end=%s", p.name, p.addr, e)
			p.tell(func() { p.drop(c, e) })
			return
		}
		p.tell(func() { p.up(c, nc) })
		if p.ctx.Err() != nil {
			_ = nc.Close()
		}
	}()
	return c
}

// up sends what has waited for a connection, and starts its reader.
func (p *Peer) up(c *conn, nc net.Conn) {
	if c.dead {
		_ = nc.Close()
		return
	}
	c.nc, c.used = nc, p.cfg.Sink.Now()
	p.wg.Add(1)
	go p.read(c, nc)
	p.watchIdle(c)
	waiting := c.waiting
	c.waiting = nil
	for _, m := range waiting {
		m()
	}
}

// watchIdle closes a connection before the server would: what crosses the
// server's close ends in a reset.
func (p *Peer) watchIdle(c *conn) {
	limit := p.cfg.Keepalive - p.cfg.Keepalive/ownMargin
	if limit <= 0 {
		return
	}
	c.disarm = p.cfg.Sink.Arm(c.used+limit, func() {
		p.try(func() {
			switch {
			case c.dead:
			case len(c.parts) == 0 && p.cfg.Sink.Now() >= c.used+limit:
				p.cfg.Counters.Add("peer_idle_closed", 1)
				p.drop(c, end.Closed)
			case len(c.parts) == 0:
				p.watchIdle(c)
			default:
				c.used = p.cfg.Sink.Now()
				p.watchIdle(c)
			}
		})
	})
}

// write sends one call. Just before that it looks again at whether the query
// is still open and whether the server still wants work.
func (p *Peer) write(c *conn, list []coordinator.Attempt) {
	now := p.cfg.Sink.Now()
	var parts []frame.Part
	var sent []coordinator.Attempt
	for _, a := range list {
		wire := a.Query + "." + strconv.Itoa(a.Shard)
		_, twin := c.parts[wire]
		if c.dead {
			p.endAll([]coordinator.Attempt{a}, end.CutInWrite)
			continue
		}
		if now >= a.Ends || !p.fit.Load() || a.Dead() || twin {
			p.endAll([]coordinator.Attempt{a}, end.Withheld)
			continue
		}
		parts = append(parts, frame.Part{ID: wire, Shard: a.Shard, Text: a.Text, Wait: a.Ends - now})
		sent = append(sent, a)
	}
	if len(parts) == 0 {
		return
	}
	if !p.put(c, frame.AppendCall(nil, parts)) {
		p.endAll(sent, end.CutInWrite)
		return
	}
	p.cfg.Counters.Add("peer_parts_written", int64(len(parts)))
	for i, a := range sent {
		c.parts[parts[i].ID] = a.ID
	}
}

// put writes a frame. A peer that takes none for too long loses the connection.
func (p *Peer) put(c *conn, b []byte) bool {
	if c.dead {
		return false
	}
	_ = c.nc.SetWriteDeadline(time.Now().Add(p.cfg.ConnectTimeout))
	if _, err := c.nc.Write(b); err != nil {
		p.drop(c, end.Broken)
		return false
	}
	c.used = p.cfg.Sink.Now()
	return true
}

// drop ends a connection and all that was out on it.
func (p *Peer) drop(c *conn, e end.End) {
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
		_ = c.nc.Close()
	}
	if len(c.parts)+len(c.probes) > 0 {
		log.Printf("event=conn_lost server=%s end=%s parts=%d probes=%d", p.name, e, len(c.parts), len(c.probes))
	}
	p.cfg.Counters.Add("peer_conn_"+e.String(), 1)
	waiting := c.waiting
	c.waiting = nil
	for _, m := range waiting {
		m()
	}
	at := p.cfg.Sink.Now()
	for _, id := range c.parts {
		p.cfg.Sink.Ended(id, coordinator.Result{End: e, At: at})
	}
	for _, number := range c.probes {
		p.cfg.Sink.ProbeEnded(number, coordinator.Result{End: e, At: at})
	}
}

// read hands the frames of a connection to the actor until it ends.
func (p *Peer) read(c *conn, nc net.Conn) {
	defer p.wg.Done()
	r := bufio.NewReaderSize(nc, 4<<10)
	for {
		letter, rest, err := frame.Read(r)
		at := p.cfg.Sink.Now()
		e := end.Rejected
		switch {
		case err != nil:
			e = end.OfRead(err, errors.Is(err, io.EOF))
		case letter == frame.Complaint:
			log.Printf("event=server_complaint server=%s words=%.100q", p.name, rest)
		default:
			p.tell(func() { p.take(c, letter, rest, at) })
			continue
		}
		p.tell(func() { p.drop(c, e) })
		return
	}
}

// take books one frame.
func (p *Peer) take(c *conn, letter byte, rest []byte, at time.Duration) {
	if c.dead {
		return
	}
	switch letter {
	case frame.Answer:
		reply, err := frame.ParseReply(rest)
		if err != nil {
			p.garbled(c, err)
			return
		}
		id, ok := c.parts[reply.ID]
		if !ok {
			p.cfg.Counters.Add("peer_answers_late", 1)
			return
		}
		delete(c.parts, reply.ID)
		result := coordinator.Result{Report: frame.ParseReport(reply.Report, p.cfg.ReportNames), At: at}
		switch reply.End {
		case 200:
			result.End, result.Value, result.Score = end.Served, reply.Value, reply.Score
		case 503:
			result.End = end.TurnedAway
		default:
			result.End = end.ServerError
		}
		p.cfg.Sink.Ended(id, result)
	case frame.Probe, frame.LoadProbe:
		if len(c.probes) == 0 {
			p.garbled(c, errors.New("answer to no probe"))
			return
		}
		number := c.probes[0]
		c.probes = c.probes[1:]
		result := coordinator.Result{End: end.Served, At: at}
		if string(rest) == "500" {
			result.End = end.ServerError
		} else if letter == frame.LoadProbe {
			result.Report = frame.ParseReport(string(rest), p.cfg.ReportNames)
		}
		p.cfg.Sink.ProbeEnded(number, result)
	default:
		p.garbled(c, errors.New("unknown letter"))
	}
}

func (p *Peer) garbled(c *conn, err error) {
	p.cfg.Counters.Add("peer_frames_bad", 1)
	log.Printf("event=frame_bad server=%s err=%q", p.name, err)
	p.drop(c, end.Garbled)
}
