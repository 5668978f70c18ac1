//go:build review2

package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// searchServer is a league server that speaks the search protocol. It answers the requests of a connection in turn.
type searchServer struct {
	name, zone string
	cell       int
	work       time.Duration
	hits       int     // of a part
	bytes      int     // of a hit's record
	copies     float64 // share of the answers that bring a second copy right behind
	record     *record
	listener   net.Listener
	cores      chan struct{}
	answers    atomic.Int64
	copied     atomic.Int64

	mu      sync.Mutex
	failing float64        // share of the parts that are answered with 500 after they have run
	ran     map[string]int // how often the search for each name has run
}

// setFailing sets the share of the parts that fail.
func (s *searchServer) setFailing(share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failing = share
}

// runs returns how often the search for each name has run here.
func (s *searchServer) runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.ran)
}

// run counts a run, and reports whether it fails.
func (s *searchServer) run(name string) (fails bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ran == nil {
		s.ran = map[string]int{}
	}
	s.ran[name]++
	return rand.Float64() < s.failing
}

func newSearchServer(r *record, s *searchServer) *searchServer {
	listener := listen()
	out := s
	out.record, out.listener, out.cores = r, listener, make(chan struct{}, 2)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go out.serve(conn)
		}
	}()
	return out
}

func (s *searchServer) addr() string { return s.listener.Addr().String() }

// oneWay has the shortest and the longest time that the network takes one way: within the coordinator's data centre, and
// from another one.
var oneWay = map[bool][2]time.Duration{
	true:  {98 * time.Microsecond, 340 * time.Microsecond},
	false: {420 * time.Microsecond, 780 * time.Microsecond},
}

// wire carries what a server writes to a connection: each message takes its time, and none overtakes another.
type wire struct {
	conn     net.Conn
	delays   [2]time.Duration
	messages chan delayed
}

type delayed struct {
	arrives time.Time
	data    []byte
}

func newWire(conn net.Conn, sameZone bool) *wire {
	w := &wire{conn: conn, delays: oneWay[sameZone], messages: make(chan delayed, 64)}
	go func() {
		defer conn.Close()
		for m := range w.messages {
			time.Sleep(time.Until(m.arrives))
			if _, err := conn.Write(m.data); err != nil {
				break
			}
		}
		for range w.messages { // until the server has seen the end
		}
	}()
	return w
}

func (w *wire) write(data []byte) {
	delay := w.delays[0] + rand.N(w.delays[1]-w.delays[0])
	w.messages <- delayed{time.Now().Add(delay), data}
}

func (s *searchServer) serve(conn net.Conn) {
	w := newWire(conn, s.zone == zones[0])
	defer close(w.messages)
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		out := s.respond(req, body)
		w.write(out)
		// A copy comes right behind, and only when nothing else waits on the connection.
		if req.Method == "POST" && rand.Float64() < s.copies && reader.Buffered() == 0 && !bytesWait(conn) {
			s.copied.Add(1)
			s.record.note("%s answers %s twice", s.name, req.Header.Get("X-Opaque-Id"))
			w.write(out)
		}
	}
}

// bytesWait reports whether bytes have arrived on a connection that nobody has read yet.
func bytesWait(conn net.Conn) (wait bool) {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return true
	}
	_ = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		wait = err == nil && n > 0
	})
	return wait
}

// searched is the body of a part's search, as far as this server reads it.
type searched struct {
	Query struct {
		Match struct {
			Name string `json:"name"`
		} `json:"match"`
	} `json:"query"`
}

// respond returns the response to a request.
func (s *searchServer) respond(req *http.Request, body []byte) []byte {
	if req.Method == "GET" {
		return s.encode(`{"name":"` + s.name + `","version":{"number":"2.11.0"}}`)
	}
	var asked searched
	_, shard, ok := strings.Cut(req.URL.Query().Get("preference"), "_shards:")
	if err := json.Unmarshal(body, &asked); err != nil || !ok {
		return []byte("HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n")
	}
	s.cores <- struct{}{}
	time.Sleep(s.work)
	<-s.cores
	s.answers.Add(1)
	if s.run(asked.Query.Match.Name) {
		s.record.note("%s has run a part of %s, and answers 500", s.name, asked.Query.Match.Name)
		return []byte("HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n")
	}
	var hits []string
	for i := range s.hits {
		hits = append(hits, fmt.Sprintf(`{"_index":"players","_id":"%s-%s-%d","_score":%g,"_source":{"name":%q,"bio":%q}}`,
			asked.Query.Match.Name, shard, i, 10-float64(i)/10, asked.Query.Match.Name, strings.Repeat("x", s.bytes)))
	}
	return s.encode(fmt.Sprintf(`{"took":%d,"timed_out":false,"_shards":{"total":1,"successful":1,"skipped":0,"failed":0},`+
		`"hits":{"total":{"value":%d,"relation":"eq"},"max_score":10,"hits":[%s]}}`,
		s.work.Milliseconds(), s.hits, strings.Join(hits, ",")))
}

func (s *searchServer) encode(body string) []byte {
	return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nX-Server-Load: active=%d,avg_ms=%d,waiting=0\r\n"+
		"Content-Length: %d\r\n\r\n%s", len(s.cores), s.work.Milliseconds(), len(body), body)
}
