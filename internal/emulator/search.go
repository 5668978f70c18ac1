package emulator

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
)

// handler returns the HTTP handler of health checks, searches, shard assignments and requests for records. It delays
// requests while the server is partitioned or paused.
func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(routeHealthCheck, s.serveHealthCheck)
	mux.HandleFunc(routeSearch, s.serveSearch)
	mux.HandleFunc(routeAssignment, s.serveAssignment)
	mux.HandleFunc(routeRecords, s.serveRecords)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.isPartitioned() || s.isPaused() {
			s.awaitResponsive(r)
		}
		if name := r.Header.Get(headerRequestName); name != "" {
			w.Header().Set(headerRequestName, name)
		}
		mux.ServeHTTP(w, r)
	})
}

func (s *Server) serveHealthCheck(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(headerLoadReport, s.loadReport())
	fmt.Fprintf(w, `{"name":%q}`, s.Name)
}

// serveSearch answers one part. The status is 200 with the records, 400 for a malformed request, 409 if the shard has
// moved, 429 if the queue is full, the shard is not ready or the server is killed, and 500 for a simulated error.
func (s *Server) serveSearch(w http.ResponseWriter, r *http.Request) {
	s.countPart()
	_, _ = io.Copy(io.Discard, io.LimitReader(r.Body, maxRequestBytes))
	w.Header().Set(headerLoadReport, s.loadReport())
	request, ok := parsePartRequest(r)
	if !ok {
		http.Error(w, malformedPartText, http.StatusBadRequest)
		return
	}
	release, ok := s.acquireCore()
	if !ok {
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	defer release()
	s.answerPart(w, request)
}

// answerPart answers a part that has a core. It looks the records up only now, because the shard may have moved while
// the part waited for the core.
func (s *Server) answerPart(w http.ResponseWriter, request partRequest) {
	result := s.lookUp(request.index, request.shard, request.keys)
	if result.version > 0 {
		w.Header().Set(headerShardMapVersion, strconv.FormatUint(result.version, 10))
	}
	covered := request.keys
	if result.moved && s.AnswersSubranges {
		covered, result.records, result.ready = s.largestSubrange(request.index, request.keys)
		result.moved = !result.ready
	}
	if result.moved {
		s.MovedParts.Add(1)
		w.WriteHeader(http.StatusConflict)
		return
	}
	if !result.ready || !s.doWork(len(result.records)) {
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	w.Header().Set(headerLoadReport, s.loadReport())
	if s.drawError() {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set(headerCoveredRange, covered.String())
	encodeSearchResponse(w, result.records)
}
