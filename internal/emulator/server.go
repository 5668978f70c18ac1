package emulator

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"linkpass/internal/reshardexec"
	"linkpass/internal/shardmap"
)

// Capacity is the processing capacity of a server. Work is the time that a part occupies a core at full speed.
type Capacity struct {
	Cores              int           // number of parts processed at the same time
	WorkPerPart        time.Duration // mean work of a part; each takes from half to one and a half times as long
	WorkPerRecord      time.Duration // additional work for each record found
	Queue              int           // largest number of parts that wait for a core; further parts are rejected
	CopyRate           int           // records copied per second; 0 for no limit
	WarmupDuration     time.Duration // time from a restart to full speed; 0 for no warm-up
	WarmupInitialShare float64       // share of full speed at a restart, from 0 to 1
}

// Server is one emulated league server. Its methods may be called from any goroutine.
type Server struct {
	Name             string
	AnswersSubranges bool // answers the largest held subrange of a requested shard that has moved; set before Start

	capacity Capacity
	records  []Record                 // all records of the league, sorted by key
	addrOf   func(name string) string // returns the address of another server

	mu        sync.Mutex // guards the fields from rng to warmup
	rng       *rand.Rand
	addr      string                   // of the latest start; "" before the first one
	listener  net.Listener             // nil while the server is not running
	conns     map[net.Conn]bool        // open connections
	ctx       context.Context          // set by Start, canceled by Kill
	cancel    context.CancelFunc       // cancels ctx
	cores     chan struct{}            // an element for each busy core
	startedAt time.Time                // time of the latest restart; zero if never restarted
	indices   map[string]*indexReplica // by name of the index
	// acceptedOrder is the newest order of assignments that was accepted. It is kept as long as the shards are.
	acceptedOrder reshardexec.Order
	faults        faults
	drainedAt     time.Time // start of the drain; zero while the server is in service
	warmup        warmupLoad

	queued, active atomic.Int64 // parts waiting for a core, and parts being processed
	averageWorkNS  atomic.Int64 // moving average of a part's work, in nanoseconds

	Parts                  atomic.Int64 // parts received
	LateParts              atomic.Int64 // parts received more than a second, plus drainTolerance, after a drain began
	MovedParts             atomic.Int64 // parts answered with status 409 because the shard has moved
	StaleOrders            atomic.Int64 // assignments refused because their order was older than an accepted one
	OverloadedWhileWarming atomic.Int64 // parts started during warm-up while too much work was pending
}

// NewServer returns a server that holds no shards; Start starts it. The records of the league must be sorted by key.
// addrOf returns the address (host:port) of another server by its name. Random choices depend on the seed and the name.
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

// Start listens and serves until Kill. The first start uses a free port, later ones the same address. It returns an
// error if it cannot listen.
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

// Kill ends a running server abruptly: it resets the connections and, if forget is set, drops all shards. It does
// nothing if the server is not running.
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
		s.acceptedOrder = reshardexec.Order{}
	}
}

// Restart starts a killed server again and begins its warm-up. A drain ends. It returns an error if it cannot listen.
func (s *Server) Restart() error {
	s.mu.Lock()
	s.startedAt, s.drainedAt, s.warmup = time.Now(), time.Time{}, warmupLoad{updatedAt: time.Now()}
	s.mu.Unlock()
	return s.Start()
}

// Alive reports whether the server is running.
func (s *Server) Alive() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listener != nil
}

// Addr returns the address (host:port) of the latest start, or "" before the first one.
func (s *Server) Addr() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.addr
}

// StartedAtUnixMS returns the time of the latest restart in Unix milliseconds, or 0 if the server never restarted.
func (s *Server) StartedAtUnixMS() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.startedAt.IsZero() {
		return 0
	}
	return s.startedAt.UnixMilli()
}

// SetDrainedAt sets the start of the server's drain, after which no coordinator may send it parts; LateParts counts
// those that come too late. The zero time puts the server in service.
func (s *Server) SetDrainedAt(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drainedAt = at
}

// runContext returns the context that Kill cancels.
func (s *Server) runContext() context.Context {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ctx
}
