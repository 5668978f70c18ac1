package emulator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"time"

	"linkpass/internal/reshardexec"
	"linkpass/internal/shardmap"
	"linkpass/internal/shardmap/resharding"
)

const copyPage = 50 // records a call

// duty takes what the server is to hold and says what it holds. What is no duty any more is
// dropped at once; what is missing is copied.
func (s *Server) duty(w http.ResponseWriter, r *http.Request) {
	var call reshardexec.AssignmentRequest
	if err := json.NewDecoder(io.LimitReader(r.Body, 64<<20)).Decode(&call); err != nil {
		http.Error(w, "duties", http.StatusBadRequest)
		return
	}
	reply := reshardexec.AssignmentResponse{Indices: map[string]reshardexec.IndexStatus{}}
	s.mu.Lock()
	for _, d := range call.Assignments {
		reply.Indices[d.Index] = s.take(d)
	}
	for index, h := range s.held { // no duty of an index: nothing of it is to be held
		if !slices.ContainsFunc(call.Assignments, func(d resharding.Assignment) bool { return d.Index == index }) {
			clear(h.slices)
		}
	}
	s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(reply)
}

// take follows one duty. An older one than was heard already changes nothing.
func (s *Server) take(d resharding.Assignment) (out reshardexec.IndexStatus) {
	h := s.held[d.Index]
	if h == nil {
		h = &indexHeld{slices: map[shardmap.ShardID]*sliceHeld{}}
		s.held[d.Index] = h
	}
	if d.Version >= h.version {
		h.version = d.Version
		for id := range h.slices {
			if !slices.ContainsFunc(d.Tasks, func(t resharding.Task) bool { return t.Shard == id }) {
				delete(h.slices, id)
			}
		}
		for _, t := range d.Tasks {
			sl := h.slices[t.Shard]
			if sl == nil {
				sl = &sliceHeld{rng: t.Range}
				h.slices[t.Shard] = sl
			}
			if !sl.complete && !sl.copying && len(t.Sources) > 0 {
				sl.copying = true
				go s.copy(s.run, d.Index, sl, t)
			}
		}
	}
	out.Version = h.version
	for id, sl := range h.slices {
		out.Shards = append(out.Shards, resharding.ShardStatus{Shard: id, Complete: sl.complete, Records: int64(len(sl.records))})
	}
	slices.SortFunc(out.Shards, func(a, b resharding.ShardStatus) int { return int(int64(a.Shard) - int64(b.Shard)) })
	return out
}

// copy fetches a slice's records from those that hold them, at the server's rate. Cut short,
// it is begun again by the next duty.
func (s *Server) copy(run context.Context, index string, sl *sliceHeld, t resharding.Task) {
	var got []Record
	ok := true
	for _, src := range t.Sources {
		list, err := s.fetchAny(run, index, src, func(n int) {
			s.mu.Lock()
			sl.records = make([]Record, len(got)+n) // progress, for the report
			s.mu.Unlock()
		})
		if err != nil {
			ok = false
			break
		}
		got = append(got, list...)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if sl.copying = false; ok {
		slices.SortFunc(got, func(a, b Record) int {
			if a.Key < b.Key {
				return -1
			}
			return 1
		})
		sl.records, sl.complete = got, true
		return
	}
	sl.records = nil
}

// fetchAny copies a source's range from the first of its servers that gives it whole. What
// lies here already is not fetched.
func (s *Server) fetchAny(run context.Context, index string, src resharding.Source, progress func(int)) (out []Record, err error) {
	if list, _, _, ready := s.lookUp(index, src.Shard, src.Range); ready {
		return list, nil
	}
	err = fmt.Errorf("no server to copy %s from", src.Range)
	for _, name := range src.Servers {
		if name == s.Name {
			continue
		}
		if out, err = s.fetch(run, name, index, src, progress); err == nil {
			return out, nil
		}
	}
	return nil, err
}

type page struct {
	IDs  []string `json:"ids"`
	Next int      `json:"next"` // 0: that was all
}

func (s *Server) fetch(run context.Context, name, index string, src resharding.Source, progress func(int)) (out []Record, err error) {
	for from := 0; ; {
		q := url.Values{"index": {index}, "slice": {strconv.FormatUint(uint64(src.Shard), 10)}, "range": {src.Range.String()}, "from": {strconv.Itoa(from)}}
		ctx, cancel := context.WithTimeout(run, 2*time.Second)
		req, err := http.NewRequestWithContext(ctx, "GET", "http://"+s.sources(name)+"/_layout/records?"+q.Encode(), nil)
		if err != nil {
			cancel()
			return nil, err
		}
		var p page
		res, err := copies.Do(req)
		if err == nil {
			if res.StatusCode != 200 {
				err = fmt.Errorf("status %d", res.StatusCode)
			} else {
				err = json.NewDecoder(res.Body).Decode(&p)
			}
			_ = res.Body.Close()
		}
		cancel()
		if err != nil {
			return nil, fmt.Errorf("copy from %s: %w", name, err)
		}
		for _, id := range p.IDs {
			out = append(out, Record{shardmap.HashKey(id), id})
		}
		progress(len(out))
		if s.work.CopyRate > 0 {
			time.Sleep(time.Duration(len(p.IDs)) * time.Second / time.Duration(s.work.CopyRate))
		}
		if p.Next == 0 {
			return out, nil
		}
		from = p.Next
	}
}

var copies = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: 5 * time.Second}}

// give hands out records of a slice that is held whole, a page at a time.
func (s *Server) give(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	id, _ := strconv.ParseUint(q.Get("slice"), 10, 64)
	asked, err := shardmap.ParseRange(q.Get("range"))
	from, err2 := strconv.Atoi(q.Get("from"))
	if err != nil || err2 != nil || from < 0 {
		http.Error(w, "which records", http.StatusBadRequest)
		return
	}
	found, _, _, ready := s.lookUp(q.Get("index"), shardmap.ShardID(id), asked)
	if !ready || from > len(found) {
		http.Error(w, "not held", http.StatusConflict)
		return
	}
	var p page
	for _, rec := range found[from:min(len(found), from+copyPage)] {
		p.IDs = append(p.IDs, rec.ID)
	}
	if from+copyPage < len(found) {
		p.Next = from + copyPage
	}
	_ = json.NewEncoder(w).Encode(p)
}
