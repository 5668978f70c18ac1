package emulator

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"linkpass/internal/frame"
	"linkpass/internal/shardmap"
)

// The headers of a layout's version and ranges, as docs/slices.md gives them.
const (
	headerVersion = "X-Layout-Version"
	headerRange   = "X-Layout-Range"
	headerCovers  = "X-Layout-Covers"
	headerLoad    = "X-Server-Load"
)

// handler serves searches, duties and copies.
func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /{$}", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(headerLoad, s.report())
		fmt.Fprintf(w, `{"name":%q}`, s.Name)
	})
	mux.HandleFunc("POST /{index}/_search", s.search)
	mux.HandleFunc("PUT /_layout", s.duty)
	mux.HandleFunc("GET /_layout/records", s.give)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.cut() || s.standing() {
			s.still(r)
		}
		mux.ServeHTTP(w, r)
	})
}

// standing tells whether it stands still now.
func (s *Server) standing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Before(s.stalled)
}

// still waits until it is neither cut off nor stalled, or dies.
func (s *Server) still(r *http.Request) {
	s.mu.Lock()
	run := s.run
	s.mu.Unlock()
	for s.cut() || s.standing() {
		select {
		case <-time.After(5 * time.Millisecond):
		case <-run.Done():
			return
		case <-r.Context().Done():
			return
		}
	}
}

// lookUp finds the records of a slice's range. Where the slice is not held whole it says so:
// moved with the version that it knows, or, while it copies, unready.
func (s *Server) lookUp(index string, id shardmap.ShardID, asked shardmap.Range) (found []Record, version uint64, moved, ready bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lie > 0 {
		return nil, s.lie, true, false
	}
	h := s.held[index]
	if h == nil {
		return nil, 0, false, false // it has just started and knows of no version
	}
	sl := h.slices[id]
	if sl == nil {
		return nil, h.version, true, false
	}
	if !sl.complete {
		return nil, h.version, false, false
	}
	return within(sl.records, asked), h.version, false, true
}

// piece finds the largest part of a range that lies whole in one slice held here.
func (s *Server) piece(index string, asked shardmap.Range) (covers shardmap.Range, found []Record, some bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.held[index]
	if h == nil || s.lie > 0 {
		return covers, nil, false
	}
	for _, sl := range h.slices {
		if both, ok := sl.rng.Intersect(asked); ok && sl.complete && (!some || both.Size() > covers.Size()) {
			covers, found, some = both, within(sl.records, both), true
		}
	}
	return covers, found, some
}

// search answers one part.
func (s *Server) search(w http.ResponseWriter, r *http.Request) {
	s.came()
	_, _ = io.Copy(io.Discard, io.LimitReader(r.Body, 64<<20))
	w.Header().Set(headerLoad, s.report())
	id, err := strconv.ParseUint(strings.TrimPrefix(r.URL.Query().Get("preference"), "_shards:"), 10, 64)
	asked, err2 := shardmap.ParseRange(r.Header.Get(headerRange))
	if err != nil || err2 != nil {
		http.Error(w, `{"error":"a part needs a slice and a range"}`, http.StatusBadRequest)
		return
	}
	release, ok := s.core()
	if !ok {
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	defer release()
	// It looks when it comes to the part, not when that came: it may have waited a while.
	found, version, moved, ready := s.lookUp(r.PathValue("index"), shardmap.ShardID(id), asked)
	if version > 0 {
		w.Header().Set(headerVersion, strconv.FormatUint(version, 10))
	}
	covers := asked
	if moved && s.AnswersSubranges {
		covers, found, ready = s.piece(r.PathValue("index"), asked)
		moved = !ready
	}
	switch {
	case moved:
		s.MovedParts.Add(1)
		w.WriteHeader(http.StatusConflict)
		return
	case !ready || !s.toil(len(found)):
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	w.Header().Set(headerLoad, s.report())
	if s.fails() {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set(headerCovers, covers.String())
	type hit struct {
		ID    string  `json:"_id"`
		Score float64 `json:"_score"`
	}
	hits := make([]hit, len(found))
	for i, rec := range found {
		hits[i] = hit{rec.ID, float64(rec.Key>>40) / (1 << 24)}
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"took": 1, "timed_out": false,
		"_shards": map[string]int{"total": 1, "successful": 1, "failed": 0},
		"hits":    map[string]any{"total": map[string]any{"value": len(hits), "relation": "eq"}, "hits": hits}})
}

// plain answers one connection in frames: parts are of whole slices, whatever the layout.
func (s *Server) plain(c *peeked) {
	defer c.Close()
	var write sync.Mutex
	var open sync.WaitGroup
	defer open.Wait()
	send := func(letter byte, text string) {
		write.Lock()
		defer write.Unlock()
		_, _ = c.Write(frame.Append(nil, letter, []byte(text)))
	}
	for {
		letter, rest, err := frame.Read(c.r)
		if err != nil || s.cut() {
			return
		}
		switch letter {
		case frame.LetterHealthCheck:
			send(letter, "200")
		case frame.LetterLoadCheck:
			send(letter, s.report())
		case frame.LetterRequest:
			for len(rest) > 0 {
				var name string
				var shard, ms, size int
				line, text, _ := strings.Cut(string(rest), "\n")
				if _, err := fmt.Sscanf(line, "%s %d d=%d %d", &name, &shard, &ms, &size); err != nil || size > len(text) {
					send(frame.LetterError, "a call that cannot be read")
					return
				}
				rest = rest[len(line)+1+size:]
				s.came()
				open.Go(func() {
					release, ok := s.core()
					if ok {
						defer release()
						ok = s.toil(1)
					}
					if !ok {
						send(frame.LetterReply, fmt.Sprintf("%s 503 0 %s\n", name, s.report()))
						return
					}
					send(frame.LetterReply, fmt.Sprintf("%s 200 %d %s\nslice %d by %s", name, shard, s.report(), shard, s.Name))
				})
			}
		}
	}
}
