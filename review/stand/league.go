//go:build review

package main

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// league is a league server with the plain protocol. It answers each part after workTime with a value made from the
// part's id, and records each part that arrives.
type league struct {
	r    *run
	name string
	ln   net.Listener

	active atomic.Int64
	mu     sync.Mutex
	parts  []arrival
}

// arrival is a part that a league server received.
type arrival struct {
	at   time.Time
	part string
}

const maxFrame = 256 << 10 // bytes

const workTime = 60 * time.Millisecond

func (r *run) newLeague(name string) (*league, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &league{r: r, name: name, ln: ln}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s, nil
}

func (s *league) addr() string { return s.ln.Addr().String() }

// after returns the parts that arrived later than at.
func (s *league) after(at time.Time) (out []arrival) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.parts {
		if a.at.After(at) {
			out = append(out, a)
		}
	}
	return out
}

func (s *league) serve(conn net.Conn) {
	defer conn.Close()
	var write sync.Mutex
	send := func(letter byte, content string) {
		b := binary.LittleEndian.AppendUint32(nil, uint32(1+len(content)))
		b = append(append(b, letter), content...)
		write.Lock()
		defer write.Unlock()
		_, _ = conn.Write(b)
	}
	in := bufio.NewReader(conn)
	for {
		var head [5]byte
		if _, err := io.ReadFull(in, head[:]); err != nil {
			return
		}
		size := binary.LittleEndian.Uint32(head[:4])
		if size < 1 || size > maxFrame {
			send('Z', "not a frame")
			return
		}
		content := make([]byte, size-1)
		if _, err := io.ReadFull(in, content); err != nil {
			return
		}
		switch head[4] {
		case 'I':
			send('I', "200")
		case 'U':
			send('U', s.report())
		case 'D':
			if !s.startParts(string(content), send) {
				send('Z', "not a call")
				return
			}
		}
	}
}

func (s *league) report() string {
	n := s.active.Load()
	return fmt.Sprintf("active=%d,avg_ms=%d,waiting=0", n, workTime.Milliseconds())
}

func (s *league) startParts(content string, send func(byte, string)) bool {
	for content != "" {
		line, rest, ok := strings.Cut(content, "\n")
		fields := strings.Fields(line)
		if !ok || len(fields) != 4 {
			return false
		}
		size, err := strconv.Atoi(fields[3])
		if err != nil || size > len(rest) {
			return false
		}
		content = rest[size:]
		id := fields[0]
		s.mu.Lock()
		s.parts = append(s.parts, arrival{time.Now(), id})
		s.mu.Unlock()
		s.r.notef("%s received part %s", s.name, id)
		s.active.Add(1)
		go func() {
			time.Sleep(workTime)
			s.active.Add(-1)
			send('O', fmt.Sprintf("%s 200 %d %s\n%s", id, len(id), s.report(), valueOf(id)))
		}()
	}
	return true
}

// valueOf is the value that a league server makes for a part.
func valueOf(part string) string { return "v" + strings.ReplaceAll(part, ".", "x") }
