package emulator

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"linkpass/internal/shardmap"
)

// Capacity is what a server of the fleet can do.
type Capacity struct {
	Cores              int           // parts at work at a time
	WorkPerPart        time.Duration // of work for a part, give or take a half
	WorkPerRecord      time.Duration // and for each record of the range asked for
	Queue              int           // parts that wait at most; more are turned away
	CopyRate           int           // records a second that it copies in
	WarmupDuration     time.Duration // until it is warm after a start
	WarmupInitialShare float64       // of its speed, at the start
}

// Server is one league server. It holds slices of one or more indices.
type Server struct {
	Name             string
	AnswersSubranges bool // asked for a slice that it has no more, it answers what it has of its keys
	work             Capacity
	data             []Record // what there is to know; a slice is held once its records were copied

	mu      sync.Mutex
	rng     *rand.Rand
	addr    string
	ln      net.Listener
	conns   map[net.Conn]bool
	run     context.Context // of this life
	end     context.CancelFunc
	started time.Time // of this life; zero: long ago
	held    map[string]*indexHeld
	sources func(name string) string // addresses of other servers
	slow    float64
	fail    float64       // share of parts that end in an error
	stalled time.Time     // it stands still until then
	lie     uint64        // it claims this version, whatever it is asked
	drained time.Time     // everyone was told by then that it drains
	drop    bool          // it is cut off: what comes is not answered
	slots   chan struct{} // one for each core

	waiting, active atomic.Int64
	spent           atomic.Int64 // ns of work lately, averaged

	Parts               atomic.Int64 // that came
	LateParts           atomic.Int64 // that came over a second after the drain was told
	MovedParts          atomic.Int64 // told that the slice has moved
	OverloadedWhileCold atomic.Int64 // that came while it was cold and over twice its speed
	coldDue             float64      // work offered while cold, against what it could do
	coldAt              time.Time
}

// indexHeld is what a server has of an index.
type indexHeld struct {
	version uint64
	slices  map[shardmap.ShardID]*sliceHeld
}

type sliceHeld struct {
	rng      shardmap.Range
	records  []Record
	complete bool
	copying  bool
}

// NewServer makes a server; Start brings it up.
func NewServer(name string, w Capacity, data []Record, seed uint64, sources func(string) string) *Server {
	return &Server{Name: name, work: w, data: data, rng: rand.New(rand.NewPCG(seed, shardmap.HashKey(name))), sources: sources,
		held: map[string]*indexHeld{}, slow: 1}
}

// PlaceShards lets a server hold slices from the start, as if copied long ago.
func (s *Server) PlaceShards(index string, l *shardmap.Map) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := &indexHeld{version: l.Version(), slices: map[shardmap.ShardID]*sliceHeld{}}
	for _, sl := range l.Shards() {
		for _, name := range sl.Replicas {
			if name == s.Name {
				h.slices[sl.ID] = &sliceHeld{rng: sl.Range, records: within(s.data, sl.Range), complete: true}
			}
		}
	}
	s.held[index] = h
}

// Start brings the server up, at the address that it had before if it had one.
func (s *Server) Start() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	addr := s.addr
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("standin: server %s: %w", s.Name, err)
	}
	s.ln, s.addr, s.conns = ln, ln.Addr().String(), map[net.Conn]bool{}
	s.slots = make(chan struct{}, s.work.Cores)
	s.run, s.end = context.WithCancel(context.Background())
	go s.accept(ln)
	return nil
}

// Addr is where it listens.
func (s *Server) Addr() string { s.mu.Lock(); defer s.mu.Unlock(); return s.addr }

// StartedAtUnixMS is when this life began in Unix milliseconds; 0: long ago.
func (s *Server) StartedAtUnixMS() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.started.IsZero() {
		return 0
	}
	return s.started.UnixMilli()
}

// Kill ends the process: connections are reset, what it held in memory is gone if so told.
func (s *Server) Kill(forget bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ln == nil {
		return
	}
	_ = s.ln.Close()
	s.ln = nil
	s.end()
	for nc := range s.conns {
		if tcp, ok := nc.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = nc.Close()
	}
	if forget {
		s.held = map[string]*indexHeld{}
	}
}

// Restart starts a server that died: it is cold.
func (s *Server) Restart() error {
	s.mu.Lock()
	s.started, s.drained, s.coldDue, s.coldAt = time.Now(), time.Time{}, 0, time.Now()
	s.mu.Unlock()
	return s.Start()
}

// Alive tells whether it runs.
func (s *Server) Alive() bool { s.mu.Lock(); defer s.mu.Unlock(); return s.ln != nil }

// Pause lets it stand still for a while.
func (s *Server) Pause(d time.Duration) { s.mu.Lock(); s.stalled = time.Now().Add(d); s.mu.Unlock() }

// SetSlowdown makes its work take so many times as long.
func (s *Server) SetSlowdown(by float64) { s.mu.Lock(); s.slow = by; s.mu.Unlock() }

// SetErrorShare lets a share of its parts end in an error.
func (s *Server) SetErrorShare(share float64) { s.mu.Lock(); s.fail = share; s.mu.Unlock() }

// fails tells whether a part ends in an error.
func (s *Server) fails() bool { s.mu.Lock(); defer s.mu.Unlock(); return s.rng.Float64() < s.fail }

// ClaimShardMapVersion lets it claim a version of the layout and hold nothing; 0: no more.
func (s *Server) ClaimShardMapVersion(version uint64) { s.mu.Lock(); s.lie = version; s.mu.Unlock() }

// Partition lets nothing through, either way, and says nothing; its connections stay open.
func (s *Server) Partition(off bool) { s.mu.Lock(); s.drop = off; s.mu.Unlock() }

// SetDrainedAt says by when every coordinator was told that it drains.
func (s *Server) SetDrainedAt(at time.Time) { s.mu.Lock(); s.drained = at; s.mu.Unlock() }

// accept tells the dialect of each connection by its first byte.
func (s *Server) accept(ln net.Listener) {
	searches := &handed{ln: ln, conns: make(chan net.Conn), done: make(chan struct{})}
	web := &http.Server{Handler: s.handler(), ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = web.Serve(searches) }()
	defer searches.close()
	for {
		nc, err := ln.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		if s.ln != ln { // it has died meanwhile
			s.mu.Unlock()
			_ = nc.Close()
			return
		}
		s.conns[nc] = true
		s.mu.Unlock()
		go func() {
			defer func() { s.mu.Lock(); delete(s.conns, nc); s.mu.Unlock() }()
			r := bufio.NewReader(nc)
			first, err := r.Peek(1)
			if err != nil {
				_ = nc.Close()
				return
			}
			c := &peeked{Conn: nc, r: r, gone: make(chan struct{})}
			if first[0] >= 'A' && first[0] <= 'Z' {
				if searches.give(c) {
					<-c.gone
				}
				return
			}
			s.plain(c)
		}()
	}
}

// peeked is a connection whose first bytes were looked at.
type peeked struct {
	net.Conn
	r    *bufio.Reader
	once sync.Once
	gone chan struct{}
}

func (p *peeked) Read(b []byte) (int, error) { return p.r.Read(b) }

// Close closes it, once.
func (p *peeked) Close() error {
	p.once.Do(func() { close(p.gone) })
	return p.Conn.Close()
}

// handed is a listener of connections that another one has accepted.
type handed struct {
	ln    net.Listener
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func (h *handed) give(c *peeked) bool {
	select {
	case h.conns <- c:
		return true
	case <-h.done:
		_ = c.Close()
		return false
	}
}

func (h *handed) Accept() (net.Conn, error) {
	select {
	case c := <-h.conns:
		return c, nil
	case <-h.done:
		return nil, net.ErrClosed
	}
}

func (h *handed) close()         { h.once.Do(func() { close(h.done) }) }
func (h *handed) Close() error   { h.close(); return nil }
func (h *handed) Addr() net.Addr { return h.ln.Addr() }

// core waits for a core. It is false where the queue is full or the server died.
func (s *Server) core() (release func(), ok bool) {
	s.mu.Lock()
	run, slots := s.run, s.slots
	s.mu.Unlock()
	if s.waiting.Add(1) > int64(s.work.Queue) {
		s.waiting.Add(-1)
		return nil, false
	}
	defer s.waiting.Add(-1)
	select {
	case slots <- struct{}{}:
		return func() { <-slots }, true
	case <-run.Done():
		return nil, false
	}
}

// toil is the work of one part on a core. It is false where the server died.
func (s *Server) toil(records int) bool {
	s.mu.Lock()
	run, slow, stalled := s.run, s.slow, s.stalled
	amount := s.work.WorkPerPart/2 + time.Duration(s.rng.Int64N(int64(s.work.WorkPerPart)+1)) + time.Duration(records)*s.work.WorkPerRecord
	amount = time.Duration(float64(amount) * slow / s.speed(amount))
	s.mu.Unlock()
	s.active.Add(1)
	defer s.active.Add(-1)
	timer := time.NewTimer(max(amount, time.Until(stalled)+amount))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-run.Done():
		return false
	}
	s.spent.Store((7*s.spent.Load() + int64(amount)) / 8)
	return true
}

// speed is its present share of full speed; while it is cold, what is offered beyond twice
// that is counted. The mutex is held.
func (s *Server) speed(amount time.Duration) float64 {
	if s.started.IsZero() || s.work.WarmupDuration <= 0 {
		return 1
	}
	age := time.Since(s.started)
	if age >= s.work.WarmupDuration {
		return 1
	}
	share := s.work.WarmupInitialShare + (1-s.work.WarmupInitialShare)*float64(age)/float64(s.work.WarmupDuration)
	now := time.Now()
	s.coldDue = max(0, s.coldDue-2*share*float64(s.work.Cores)*now.Sub(s.coldAt).Seconds()) + amount.Seconds()
	s.coldAt = now
	if s.coldDue > 2*share*float64(s.work.Cores)*3 { // three seconds' worth of twice its speed wait
		s.OverloadedWhileCold.Add(1)
	}
	return share
}

// report is its load report.
func (s *Server) report() string {
	return fmt.Sprintf("active=%d,avg_ms=%.1f,waiting=%d", s.active.Load(), float64(s.spent.Load())/1e6, s.waiting.Load())
}

// came counts a part and what it breaks.
func (s *Server) came() {
	s.Parts.Add(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.drained.IsZero() && time.Since(s.drained) > time.Second+50*time.Millisecond {
		s.LateParts.Add(1)
	}
}

// cut tells whether it is cut off now.
func (s *Server) cut() bool { s.mu.Lock(); defer s.mu.Unlock(); return s.drop }
