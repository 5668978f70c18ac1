package emulator

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"linkpass/internal/shardmap"
)

// Capacity is how much work a server does.
type Capacity struct {
	Cores              int           // parts at work at a time
	WorkPerPart        time.Duration // mean work of a part; each takes from half to one and a half times as long
	WorkPerRecord      time.Duration // additional work for each record found
	Queue              int           // parts that wait for a core; a part beyond them is rejected
	CopyRate           int           // records copied a second; 0: no limit
	WarmupDuration     time.Duration // from a restart to full speed; 0: no warm-up
	WarmupInitialShare float64       // share of full speed at a restart, from 0 to 1
}

// Server is one emulated league server. Its methods may be called from any goroutine.
type Server struct {
	Name             string
	AnswersSubranges bool // answers the largest held subrange of a shard that has moved; set before Start

	capacity Capacity
	records  []Record                 // of the league, sorted by key
	addrOf   func(name string) string // address of another server

	mu        sync.Mutex // guards the fields up to the counters
	rng       *rand.Rand
	addr      string             // "" before the first start
	listener  net.Listener       // nil: not running
	conns     map[net.Conn]bool  // open connections
	ctx       context.Context    // from Start to Kill
	cancel    context.CancelFunc // of ctx
	cores     chan struct{}      // an element for each busy core
	startedAt time.Time          // of the latest restart; zero: never restarted
	indices   map[string]*indexReplica
	faults    faults
	drainedAt time.Time // since when no part may come; zero: in service
	warmup    warmupLoad

	queued, active atomic.Int64 // parts
	averageWorkNS  atomic.Int64 // moving average of a part's work

	Parts                  atomic.Int64 // parts received
	LateParts              atomic.Int64 // parts received more than a second after the drain
	MovedParts             atomic.Int64 // parts answered with «shard moved»
	OverloadedWhileWarming atomic.Int64 // parts begun during warm-up with too much work open
}

// NewServer makes a server that holds nothing; Start starts it. The records are sorted by key.
func NewServer(name string, capacity Capacity, records []Record, seed uint64, addrOf func(string) string) *Server {
	return &Server{
		Name:     name,
		capacity: capacity,
		records:  records,
		addrOf:   addrOf,
		rng:      rand.New(rand.NewPCG(seed, shardmap.HashKey(name))),
		indices:  map[string]*indexReplica{},
		faults:   faults{slowdown: 1},
	}
}

// Start listens and serves until Kill: on a free port at first, at the same address afterwards. It fails
// where it cannot listen.
func (s *Server) Start() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	addr := s.addr
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("emulator: server %s: listen at %s: %w", s.Name, addr, err)
	}
	s.listener, s.addr, s.conns = listener, listener.Addr().String(), map[net.Conn]bool{}
	s.cores = make(chan struct{}, s.capacity.Cores)
	s.ctx, s.cancel = context.WithCancel(context.Background())
	go s.acceptConns(listener)
	return nil
}

// Kill ends a running server abruptly: connections are reset, and with forget it loses what it held.
func (s *Server) Kill(forget bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener == nil {
		return
	}
	_ = s.listener.Close()
	s.listener = nil
	s.cancel()
	for conn := range s.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
	if forget {
		s.indices = map[string]*indexReplica{}
	}
}

// Restart starts a killed server, which warms up from now. It fails as Start does.
func (s *Server) Restart() error {
	s.mu.Lock()
	s.startedAt, s.drainedAt, s.warmup = time.Now(), time.Time{}, warmupLoad{updatedAt: time.Now()}
	s.mu.Unlock()
	return s.Start()
}

// Alive says whether the server runs.
func (s *Server) Alive() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listener != nil
}

// Addr is the address (host:port) of the latest start, "" before the first one.
func (s *Server) Addr() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.addr
}

// StartedAtUnixMS is the time of the latest restart in Unix milliseconds; 0: never restarted.
func (s *Server) StartedAtUnixMS() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.startedAt.IsZero() {
		return 0
	}
	return s.startedAt.UnixMilli()
}

// SetDrainedAt sets since when no coordinator may send parts; the zero time: the server is in service.
func (s *Server) SetDrainedAt(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drainedAt = at
}

func (s *Server) runContext() context.Context {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ctx
}
