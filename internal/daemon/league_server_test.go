package daemon

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"linkpass/internal/discovery"
	"linkpass/internal/frame"
	"linkpass/internal/http1"
)

// leagueServer is an emulated league server. It speaks both protocols, on each connection the one that the connection
// begins with, and answers each part by its mode.
type leagueServer struct {
	fleet *fleet
	name  string
	cell  int
	addr  string
	mu    sync.Mutex    // guards mode
	mode  string        // "", "error", "full", "silent", "reset", "wait" (for another), "plain only"
	delay time.Duration // before each answer
}

func (s *leagueServer) setMode(mode string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = mode
}

func (s *leagueServer) currentMode() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mode
}

// entry is the server's entry in the endpoint list.
func (s *leagueServer) entry(state string, started int64) discovery.Endpoint {
	return discovery.Endpoint{ID: s.name, Addr: s.addr, Zone: "ebene", Kind: "m2", Cell: s.cell, State: state, Weight: 1, StartedMS: started}
}

// record records a part, waits for the delay and the end of mode "wait", and returns the mode in which to answer the
// part.
func (s *leagueServer) record(p receivedPart) (mode string) {
	p.server = s.name
	s.fleet.mu.Lock()
	s.fleet.parts = append(s.fleet.parts, p)
	s.fleet.mu.Unlock()
	time.Sleep(s.delay) // as if it worked on the part
	for s.currentMode() == "wait" {
		time.Sleep(time.Millisecond)
	}
	return s.currentMode()
}

// serve detects the protocol of a connection by its first byte: that of a length or of an HTTP method.
func (s *leagueServer) serve(nc net.Conn) {
	r := bufio.NewReader(nc)
	first, err := r.Peek(1)
	if err != nil {
		return
	}
	if first[0] == 'P' || first[0] == 'G' {
		s.serveSearch(nc, r)
		return
	}
	var write sync.Mutex
	var wg sync.WaitGroup
	defer wg.Wait()
	send := func(letter byte, text string) {
		write.Lock()
		defer write.Unlock()
		_, _ = nc.Write(frame.Append(nil, letter, []byte(text)))
	}
	for {
		letter, rest, err := frame.Read(r)
		if err != nil {
			return
		}
		switch letter {
		case frame.LetterLoadCheck:
			send(letter, "active=1,avg_ms=5,waiting=0")
		case frame.LetterRequest:
			line, text, _ := strings.Cut(string(rest), "\n")
			var p receivedPart
			var ms, size int
			if _, err := fmt.Sscanf(line, "%s %d d=%d %d", &p.name, &p.shard, &ms, &size); err != nil || size != len(text) {
				s.fleet.t.Errorf("malformed request %q", rest)
				return
			}
			p.text, p.protocol, p.wait = text, "plain", time.Duration(ms)*time.Millisecond
			wg.Go(func() {
				switch s.record(p) {
				case "error":
					send(frame.LetterReply, p.name+" 500 0 -\n")
				case "full":
					send(frame.LetterReply, p.name+" 503 0 active=9,avg_ms=5,waiting=9\n")
				case "silent":
				case "reset":
					nc.Close()
				default:
					send(frame.LetterReply, fmt.Sprintf("%s 200 %d active=1,avg_ms=5,waiting=0\nvalue-%d", p.name, 100+p.shard, p.shard))
				}
			})
		}
	}
}

// serveSearch serves one connection of the search protocol.
func (s *leagueServer) serveSearch(nc net.Conn, buffered *bufio.Reader) {
	r := http1.NewReader(buffered, 0)
	for {
		req, err := r.Request()
		if err != nil || s.currentMode() == "plain only" {
			return
		}
		res := &http1.Response{Status: 200, Header: map[string][]string{"X-Server-Load": {"active=1,avg_ms=5,waiting=0"}}}
		if req.Path == "/" {
			res.Body = []byte(`{"name":"` + s.name + `"}`)
		} else {
			p := receivedPart{name: req.Header.Get("X-Opaque-Id"), text: string(req.Body), protocol: "search"}
			rest, _ := strings.CutPrefix(req.Query, "preference=_shards:")
			shard, limit, _ := strings.Cut(rest, "&timeout=")
			var err error
			if p.shard, err = strconv.Atoi(shard); err != nil {
				s.fleet.t.Errorf("search with query %q, want the number of a shard as its preference", req.Query)
			}
			p.wait, _ = time.ParseDuration(limit)
			switch s.record(p) {
			case "error":
				res.Status = 500
			case "full":
				res.Status = 429
			case "silent":
				_ = r.Wait()
				return
			case "reset":
				return
			default:
				res.Body = fmt.Appendf(nil, `{"took":1,"timed_out":false,"_shards":{"total":1,"successful":1,"failed":0},"hits":{"total":{"value":2,"relation":"eq"},`+
					`"hits":[{"_id":"%d-a","_score":%d.5,"_source":{"s":%d}},{"_id":"%d-b","_score":0.25}]}}`, p.shard, 100+p.shard, p.shard, p.shard)
			}
		}
		if http1.WriteResponse(nc, res) != nil {
			return
		}
	}
}
