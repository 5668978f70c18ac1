// Package opensearch is the second front and the second way to league servers:
// searches in OpenSearch's terms. It decides nothing; every search goes through
// the same core as the platform's queries.
package opensearch

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"linkpass/internal/bodystore"
	"linkpass/internal/coordinator"
	"linkpass/internal/eventlog"
	"linkpass/internal/http1"
	"linkpass/internal/metrics"
	"linkpass/internal/searchconfig"
)

// Core takes queries and tells the time.
type Core interface {
	Submit(coordinator.Query) (leave func())
	Now() time.Duration
}

// Class is what the front needs of a class.
type Class struct {
	Name           string
	Deadline       time.Duration
	PriorityWeight float64
}

// Front answers searches.
type Front struct {
	Core            Core
	Classes         []Class
	Shards          int
	SearchConfig    func() *searchconfig.Config
	Settings        http1.Handler    // of /_cluster/settings
	SettingsUpdater SettingsUpdater  // of layouts; nil: they are a file's
	BodyStore       *bodystore.Store // of large searches; nil: they lie in memory
	Prefix          string           // makes this instance's names of searches its own
	Counters        *metrics.Counters

	searchCount atomic.Uint64
	rejections  eventlog.RateLimited // on searches that are turned down
}

type shardCounts struct {
	Total      int            `json:"total"`
	Successful int            `json:"successful"`
	Skipped    int            `json:"skipped"`
	Failed     int            `json:"failed"`
	Failures   []shardFailure `json:"failures,omitempty"`
}

type total struct {
	Value    int64  `json:"value"`
	Relation string `json:"relation"`
}

type searchHit struct {
	Index  string          `json:"_index"`
	ID     string          `json:"_id"`
	Score  *float64        `json:"_score"`
	Source json.RawMessage `json:"_source,omitempty"`
}

type searchHits struct {
	Total    total       `json:"total"`
	MaxScore *float64    `json:"max_score"`
	Hits     []searchHit `json:"hits"`
}

type searchResponse struct {
	Took     int64       `json:"took"`
	TimedOut bool        `json:"timed_out"`
	Shards   shardCounts `json:"_shards"`
	Hits     searchHits  `json:"hits"`
}

// Serve answers one request.
func (f *Front) Serve(ctx context.Context, began time.Duration, req *http1.Request) *http1.Response {
	steps := strings.Split(strings.TrimPrefix(req.Path, "/"), "/")
	switch {
	case req.Path == "/_cluster/settings":
		return f.Settings.Serve(ctx, began, req)
	case steps[0] == "_cat" && len(steps) >= 2 && len(steps) <= 3 && steps[1] == "shards" && req.Method == "GET":
		return f.catShards(strings.Join(steps[2:], ""), req)
	case len(steps) == 2 && steps[1] == "_search_shards" && (req.Method == "GET" || req.Method == "POST"):
		return f.searchShards(steps[0], req)
	case req.Path == "/_cluster/reroute" && req.Method == "POST":
		return f.reroute(req)
	case len(steps) == 2 && steps[1] == "_search":
		if req.Method != "POST" && req.Method != "GET" {
			return errorResponse(&apiError{Type: "illegal_argument_exception", Status: 405,
				Reason: fmt.Sprintf("Incorrect HTTP method for uri [%s] and method [%s], allowed: [POST, GET]", req.Path, req.Method)})
		}
		return f.search(ctx, began, steps[0], req)
	}
	return f.reject(badRequest("illegal_argument_exception", fmt.Sprintf("no handler found for uri [%.200s] and method [%s]", req.Path, req.Method)))
}

func (f *Front) reject(c *apiError) *http1.Response {
	f.Counters.Add("search_rejected", 1)
	f.rejections.Log(eventlog.SearchRejected, c.Status, c.Type, c.Reason)
	return errorResponse(c)
}

// planSearch reads a search and finds its class and slices. Nothing is sent unless
// all of it is known.
func (f *Front) planSearch(index string, req *http1.Request) (s searchRequest, body coordinator.Body, bad *apiError) {
	settings := f.SearchConfig()
	where, ok := settings.Indices[index]
	if !ok {
		return s, nil, indexNotFound(index)
	}
	class := slices.IndexFunc(f.Classes, func(c Class) bool { return c.Name == where.Class })
	if req.BodySink != nil {
		s, body, bad = f.readLargeSearch(max(0, class), req, settings)
	} else {
		s, bad = readSearch(req.Query, req.Body, settings)
	}
	if bad == nil {
		s.index, s.class = index, class
		bad = f.resolveShards(&s, where, settings)
	}
	if bad != nil && body != nil {
		body.Release()
		body = nil
	}
	return s, body, bad
}

// resolveShards finds a search's slices or keys.
func (f *Front) resolveShards(s *searchRequest, where searchconfig.Index, settings *searchconfig.Config) (bad *apiError) {
	index := s.index
	if l := settings.ShardMap(index); l != nil {
		if s.keyRanges, bad = s.requestedRanges(l); bad != nil {
			return bad
		}
	} else if s.fixedShards = where.Shards; s.preferredShards != nil {
		s.fixedShards = s.preferredShards
	}
	if s.keyRanges == nil && (s.preferredRanges != nil || s.routingValues != nil) {
		return badRequest("illegal_argument_exception", fmt.Sprintf("index [%s] has a fixed layout: neither routing nor _ranges is known there", index))
	}
	for _, slice := range s.fixedShards {
		if !slices.Contains(where.Shards, slice) || slice >= f.Shards {
			return &apiError{Type: "shard_not_found_exception", Reason: fmt.Sprintf("no such shard [%d] in index [%s]", slice, index), Index: index, Status: 404}
		}
	}
	if s.class < 0 {
		return &apiError{Type: "illegal_state_exception", Reason: fmt.Sprintf("index [%s] is of class [%s], which is not served here", index, where.Class), Index: index, Status: 500}
	}
	if limit := f.Classes[s.class].Deadline; s.timeout <= 0 || s.timeout > limit {
		s.timeout = limit
	}
	return nil
}

// search puts one search through the core.
func (f *Front) search(ctx context.Context, began time.Duration, index string, req *http1.Request) *http1.Response {
	s, body, refusal := f.planSearch(index, req)
	if refusal != nil {
		return f.reject(refusal)
	}
	text, err := json.Marshal(map[string]any{"query": s.query, "from": 0, "size": s.from + s.size})
	if err != nil {
		return f.reject(badRequest("json_parse_exception", err.Error()))
	}
	parts := make([]coordinator.Part, len(s.fixedShards))
	for i, slice := range s.fixedShards {
		parts[i] = coordinator.Part{Shard: slice, Weight: 1 / float64(len(s.fixedShards)), Payload: text}
	}
	done := make(chan coordinator.Answer, 1)
	leave := f.Core.Submit(coordinator.Query{
		Name: f.Prefix + "-" + strconv.FormatUint(f.searchCount.Add(1), 10), Collection: index, Class: s.class,
		StartedAt: began, Timeout: s.timeout, Parts: parts, KeyRanges: s.keyRanges, Payload: text, Body: body, Reply: func(a coordinator.Answer) { done <- a },
	})
	var a coordinator.Answer
	select {
	case a = <-done:
	case <-ctx.Done():
		leave()
		a = <-done
	}
	return f.encodeAnswer(s, a, (f.Core.Now() - began).Milliseconds())
}

// encodeAnswer words the core's answer. What is missing is always told.
func (f *Front) encodeAnswer(s searchRequest, a coordinator.Answer, took int64) *http1.Response {
	counts := shardCounts{Total: len(s.fixedShards), Successful: len(s.fixedShards) - len(a.Missing), Failed: len(a.Missing)}
	if s.keyRanges != nil { // as many as it was cut into in the end
		counts.Total, counts.Successful = len(a.Values)+len(a.Missing), len(a.Values)
	}
	for _, m := range a.Missing {
		lost := shardFailure{Shard: m.Shard, Index: s.index, Reason: missingReason(m)}
		if m.Request != nil {
			lost.Shard, lost.KeyRange, lost.MapVersion = int(m.Request.Shard), m.Request.Range.String(), m.Request.MapVersion
		}
		counts.Failures = append(counts.Failures, lost)
	}
	res := f.encodeOutcome(s, a, took, counts)
	if a.ShardMapVersion > 0 {
		res.Header[headerMapVersion] = []string{strconv.FormatUint(a.ShardMapVersion, 10)}
	}
	return res
}

// encodeOutcome words an answer of which so much is in.
func (*Front) encodeOutcome(s searchRequest, a coordinator.Answer, took int64, counts shardCounts) *http1.Response {
	if a.Status == coordinator.Answered && (a.Complete || s.allowPartial) {
		return jsonResponse(200, searchResponse{Took: took, TimedOut: a.TimedOut && !a.Complete, Shards: counts, Hits: s.merge(a.Values)})
	}
	c := &apiError{Type: "search_phase_execution_exception", Reason: "all shards failed", Phase: "query", Grouped: true,
		FailedShards: counts.Failures, Status: 503}
	switch {
	case a.Status == coordinator.Rejected:
		c.Type, c.Reason, c.Status = "rejected_execution_exception", "the search was refused for want of room; asking again is harmless", 429
	case a.TimedOut:
		c.Reason, c.Status = "the search's time is over", 504
	case a.Status == coordinator.Answered:
		c.Reason = "Partial shards failure"
	}
	res := searchError(c, &took, &a.TimedOut, &counts)
	if a.Status == coordinator.Rejected && a.RetryAfter > 0 {
		res.Header["Retry-After"] = []string{strconv.FormatFloat(a.RetryAfter.Seconds(), 'f', 3, 64)}
	}
	return res
}

// merge brings the hits of all slices into one list, best first; a plain value
// counts as one hit with the score that its server gave.
func (s *searchRequest) merge(values []coordinator.Value) searchHits {
	out := searchHits{Total: total{Relation: "eq"}, Hits: []searchHit{}}
	all := []searchHit{}
	for _, v := range values {
		if v.Hits == nil {
			score := v.Score
			slice := v.Shard
			if v.Request != nil {
				slice = int(v.Request.Shard)
			}
			source, err := json.Marshal(map[string]any{"slice": slice, "data": string(v.Data)})
			if err != nil { // a number and a string always encode
				continue
			}
			all = append(all, searchHit{Index: s.index, ID: strconv.Itoa(slice), Score: &score, Source: source})
			out.Total.Value++
			continue
		}
		out.Total.Value += v.Hits.Total
		if v.Hits.AtLeast {
			out.Total.Relation = "gte"
		}
		for _, h := range v.Hits.List {
			score := h.Score
			all = append(all, searchHit{Index: s.index, ID: h.ID, Score: &score, Source: h.Source})
		}
	}
	slices.SortStableFunc(all, func(a, b searchHit) int {
		switch {
		case *a.Score > *b.Score:
			return -1
		case *a.Score < *b.Score:
			return 1
		}
		return 0
	})
	if len(all) > 0 {
		out.MaxScore = all[0].Score
	}
	from := min(s.from, len(all))
	out.Hits = all[from:min(from+s.size, len(all))]
	return out
}

// FixedSettingsHandler answers for settings that come from the file alone.
func FixedSettingsHandler(current func() *searchconfig.Config) http1.Handler {
	return http1.HandlerFunc(func(_ context.Context, _ time.Duration, req *http1.Request) *http1.Response {
		if req.Method != "GET" {
			return errorResponse(badRequest("illegal_argument_exception", "the store is off: settings come from the file and stay as they are"))
		}
		return settingsResponse(current(), false)
	})
}

func settingsResponse(c *searchconfig.Config, changed bool) *http1.Response {
	out := map[string]any{"persistent": c, "transient": struct{}{}}
	if changed {
		out["acknowledged"] = true
	}
	return jsonResponse(200, out)
}
