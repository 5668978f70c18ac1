//go:build review2

package main

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// arrival is a part that has reached a league server.
type arrival struct {
	at    time.Time // of the first byte of its frame
	part  string    // its id
	shard int
}

// leagueServer is a league server with the plain protocol: two cores, and a queue in front of them.
type leagueServer struct {
	name, zone string
	cell       int
	work       time.Duration // of a part
	record     *record
	listener   net.Listener
	cores      chan struct{}
	held       atomic.Int64 // parts that run or wait

	mu       sync.Mutex
	arrivals []arrival
}

func newLeagueServer(r *record, name, zone string, cell int, work time.Duration) *leagueServer {
	listener := listen()
	s := &leagueServer{name: name, zone: zone, cell: cell, work: work, record: r, listener: listener,
		cores: make(chan struct{}, 2)}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s
}

func (s *leagueServer) addr() string { return s.listener.Addr().String() }

// arrivalsAfter returns the parts that came after a time.
func (s *leagueServer) arrivalsAfter(t time.Time) (out []arrival) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.arrivals {
		if a.at.After(t) {
			out = append(out, a)
		}
	}
	return out
}

// plainValue is the value that a league server makes of a part.
func plainValue(expr string, shard int) string {
	h := fnv.New64a()
	fmt.Fprintf(h, "%s/%d", expr, shard)
	return fmt.Sprintf("%016x", h.Sum64())
}

// serve answers the frames of one connection.
func (s *leagueServer) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	var writing sync.Mutex
	send := func(letter byte, text string) {
		frame := binary.LittleEndian.AppendUint32(nil, uint32(1+len(text)))
		frame = append(append(frame, letter), text...)
		writing.Lock()
		defer writing.Unlock()
		_, _ = conn.Write(frame)
	}
	for {
		if _, err := reader.Peek(1); err != nil {
			return
		}
		at := time.Now()
		var length [4]byte
		if _, err := io.ReadFull(reader, length[:]); err != nil {
			return
		}
		size := binary.LittleEndian.Uint32(length[:])
		if size < 1 || size > 1<<20 {
			send('Z', "length")
			return
		}
		frame := make([]byte, size)
		if _, err := io.ReadFull(reader, frame); err != nil {
			return
		}
		switch frame[0] {
		case 'I':
			send('I', "200")
		case 'U':
			send('U', s.report())
		case 'D':
			if !s.call(at, string(frame[1:]), send) {
				send('Z', "call")
				return
			}
		}
	}
}

func (s *leagueServer) report() string {
	held := s.held.Load()
	return fmt.Sprintf("active=%d,avg_ms=%d,waiting=%d", held, s.work.Milliseconds(), max(0, held-2))
}

// call runs the parts of one call. It returns false if the call can't be read.
func (s *leagueServer) call(at time.Time, text string, send func(byte, string)) bool {
	for text != "" {
		line, rest, ok := strings.Cut(text, "\n")
		fields := strings.Fields(line)
		if !ok || len(fields) != 4 {
			return false
		}
		shard, err1 := strconv.Atoi(fields[1])
		size, err2 := strconv.Atoi(fields[3])
		if err1 != nil || err2 != nil || size > len(rest) {
			return false
		}
		expr := rest[:size]
		text = rest[size:]
		part := fields[0]
		s.mu.Lock()
		s.arrivals = append(s.arrivals, arrival{at, part, shard})
		s.mu.Unlock()
		s.record.note("%s part %s", s.name, part)
		s.held.Add(1)
		go func() {
			s.cores <- struct{}{}
			time.Sleep(s.work)
			<-s.cores
			s.held.Add(-1)
			send('O', fmt.Sprintf("%s 200 1 %s\n%s", part, s.report(), plainValue(expr, shard)))
		}()
	}
	return true
}
