// Package platform is the thin front of the platform: clients post queries
// that are already divided into parts, and get one JSON answer.
package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"net/textproto"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"linkpass/internal/bodystore"
	"linkpass/internal/coordinator"
	"linkpass/internal/eventlog"
	"linkpass/internal/http1"
	"linkpass/internal/metrics"
	"linkpass/internal/settings"
)

// Core takes queries.
type Core interface {
	Submit(coordinator.Query) (leave func())
}

// Front answers the platform's requests.
type Front struct {
	Core            Core
	Classes         []string // names, by number
	Tenants         []string // the same; nil: the site has none
	Shards          int
	Counters        *metrics.Counters
	Ready           func() bool
	BodyStore       *bodystore.Store // of large texts; nil: they lie in memory
	PriorityWeights []float64        // of the classes, by number
	RetryAfter      string           // what a client is told whose body finds no room, in seconds; "": nothing

	lines eventlog.RateLimited // on requests that are no query

	mu   sync.Mutex
	open map[string]bool // names of the queries being answered
}

const (
	maxName    = 128            // bytes of a query's name
	maxTimeout = 10 * time.Hour // guards the sums of times
	rounding   = 0.001          // forgives sums of weights that were written with few digits
)

type body struct {
	Parts []struct {
		ID   *int    `json:"id"`
		W    float64 `json:"w"`
		Hint float64 `json:"hint"`
		Tag  string  `json:"tag"`
	} `json:"parts"`
	Expr *string `json:"expr"`
}

type row struct {
	ID   int    `json:"id"`
	Data string `json:"data"`
}

type answer struct {
	Exact bool  `json:"exact"`
	Rows  []row `json:"rows"`
}

// Serve answers one request.
func (f *Front) Serve(ctx context.Context, began time.Duration, req *http1.Request) *http1.Response {
	if req.Path == "/health/ready" {
		if f.Ready() {
			return &http1.Response{Status: 200, Body: []byte("ready\n")}
		}
		return &http1.Response{Status: 503, Body: []byte("not ready\n")}
	}
	query, status, err := f.query(req)
	if err == nil && !f.enter(query.Name) {
		status, err = 409, fmt.Errorf("a query named %.40q is open", query.Name)
	}
	if err != nil {
		f.Counters.Add("platform_rejected", 1)
		f.lines.Log(eventlog.QueryRejected, status, err)
		return &http1.Response{Status: status, Body: []byte(err.Error() + "\n")}
	}
	defer f.leave(query.Name)
	if !f.keep(&query) {
		f.Counters.Add("platform_no_room", 1)
		res := &http1.Response{Status: 503, Body: []byte("no room for the query's text\n"), Header: textproto.MIMEHeader{}}
		if f.RetryAfter != "" {
			res.Header.Set("Retry-After", f.RetryAfter)
		}
		return res
	}
	query.StartedAt = began
	done := make(chan coordinator.Answer, 1)
	query.Reply = func(a coordinator.Answer) { done <- a }
	leave := f.Core.Submit(query)
	select {
	case a := <-done:
		return response(a)
	case <-ctx.Done():
		leave()
		return response(<-done)
	}
}

// keep hands a large text to the store of bodies. It is false where that has no room.
func (f *Front) keep(q *coordinator.Query) bool {
	text := q.Parts[0].Payload // the same for all
	if f.BodyStore == nil || len(text) <= bodystore.InlineLimit {
		return true
	}
	w := f.BodyStore.NewWriter(q.Class, f.PriorityWeights[q.Class])
	if _, err := w.Write(text); err != nil {
		return false
	}
	body, err := w.Commit()
	if err != nil {
		return false
	}
	q.Body = body
	for i := range q.Parts {
		q.Parts[i].Payload = nil
	}
	return true
}

// enter notes that a query is open. It guards an open query against another client
// that takes its name: the parts of the two could not be told apart on the wire.
func (f *Front) enter(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.open == nil {
		f.open = map[string]bool{}
	}
	if f.open[name] {
		return false
	}
	f.open[name] = true
	return true
}

func (f *Front) leave(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.open, name)
}

// query reads what a client asks; an error comes with its status.
func (f *Front) query(req *http1.Request) (q coordinator.Query, status int, err error) {
	first, _, _ := strings.Cut(strings.TrimPrefix(req.Path, "/"), "/")
	q.Class = slices.Index(f.Classes, first)
	if q.Class < 0 {
		return q, 404, fmt.Errorf("unknown class %q", first)
	}
	if req.Method != "POST" {
		return q, 405, fmt.Errorf("method %q on a class", req.Method)
	}
	if name := req.Header.Get("X-Priority-Class"); name != "" && name != first {
		return q, 400, fmt.Errorf("class %q in the header and %q in the path", name, first)
	}
	q.Name = req.Header.Get("X-Request-Id")
	if !plainName(q.Name) {
		return q, 400, fmt.Errorf("X-Request-ID %.40q", q.Name)
	}
	ms, err := strconv.ParseInt(req.Header.Get("X-Timeout-Ms"), 10, 64)
	if err != nil || ms <= 0 || ms > maxTimeout.Milliseconds() {
		return q, 400, fmt.Errorf("X-Timeout-Ms %.40q", req.Header.Get("X-Timeout-Ms"))
	}
	q.Timeout = time.Duration(ms) * time.Millisecond
	q.IsRetry = req.Header.Get("X-Retried") == "1"
	if q.Tenant, err = f.tenant(req.Header.Get("X-Tenant-Id")); err != nil {
		return q, 400, err
	}
	q.Parts, err = f.parts(req.Body)
	return q, 400, err
}

// tenant numbers whose query it is, from 1 on. What names nobody is held against nobody's share.
func (f *Front) tenant(name string) (int, error) {
	if name == "" || len(f.Tenants) == 0 {
		return 0, nil
	}
	i := slices.Index(f.Tenants, settings.EncodeName(name))
	if i < 0 {
		return 0, fmt.Errorf("unknown tenant %.40q", name)
	}
	return i + 1, nil
}

// plainName tells whether a name can stand in a line of a frame.
func plainName(s string) bool {
	return s != "" && len(s) <= maxName && !strings.ContainsFunc(s, func(r rune) bool { return r <= ' ' || r > '~' })
}

func (f *Front) parts(data []byte) ([]coordinator.Part, error) {
	var b body
	if err := json.Unmarshal(data, &b); err != nil {
		return nil, fmt.Errorf("body: %w", err)
	}
	if b.Expr == nil || len(b.Parts) == 0 {
		return nil, fmt.Errorf("body needs expr and parts")
	}
	seen, sum, text := map[int]bool{}, 0.0, []byte(*b.Expr) // once, for all parts
	parts := make([]coordinator.Part, 0, len(b.Parts))
	for _, p := range b.Parts {
		if p.ID == nil || *p.ID < 0 || *p.ID >= f.Shards || seen[*p.ID] {
			return nil, fmt.Errorf("body: a part names no slice, an unknown one, or one twice")
		}
		if p.W < 0 || p.W > 1 || p.Hint < 0 || p.Hint > 1e12 {
			return nil, fmt.Errorf("body: part %d has a weight or a hint out of range", *p.ID)
		}
		sum += p.W
		var key uint64
		if p.Tag != "" {
			var err error
			if key, err = strconv.ParseUint(p.Tag, 16, 64); err != nil {
				return nil, fmt.Errorf("body: tag of part %d: %w", *p.ID, err)
			}
		}
		seen[*p.ID] = true
		parts = append(parts, coordinator.Part{Shard: *p.ID, Weight: p.W, Key: key,
			ExpectedWork: time.Duration(p.Hint) * time.Microsecond, Payload: text})
	}
	if math.Abs(sum-1) > rounding { // what is missing from such a query could not be told honestly
		return nil, fmt.Errorf("body: the weights add up to %g", sum)
	}
	return parts, nil
}

// response words the core's answer.
func response(a coordinator.Answer) *http1.Response {
	switch a.Status {
	case coordinator.Answered:
		out := answer{Exact: a.Complete, Rows: []row{}}
		for _, v := range a.Values {
			out.Rows = append(out.Rows, row{ID: v.Shard, Data: string(v.Data)})
		}
		data, err := json.Marshal(out)
		if err != nil { // strings, numbers and a flag always encode
			return &http1.Response{Status: 500}
		}
		return &http1.Response{Status: 200, Body: data,
			Header: textproto.MIMEHeader{"Content-Type": {"application/json"}}}
	case coordinator.Rejected:
		res := &http1.Response{Status: 503, Body: []byte(bare(a))}
		if a.RetryAfter > 0 {
			seconds := strconv.FormatFloat(a.RetryAfter.Seconds(), 'f', 3, 64)
			res.Header = textproto.MIMEHeader{"Retry-After": {seconds}}
		}
		return res
	}
	return &http1.Response{Status: 500, Body: []byte("failed\n" + bare(a))}
}

// bare words that a query ended because its text could not be sent again.
func bare(a coordinator.Answer) string {
	for _, m := range a.Missing {
		if m.BodyEvicted {
			return "its text is not kept any more, so it was not sent again\n"
		}
	}
	return ""
}
