package opensearch

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"linkpass/internal/bodystore"
	"linkpass/internal/bodystore/tier"
	"linkpass/internal/coordinator"
	"linkpass/internal/http1"
	"linkpass/internal/metrics"
)

// newLargeSearch returns a front with a body store, and a search whose body was written to the store.
func newLargeSearch(t *testing.T, c *fakeCore, limits tier.Limits, body string) (*Front, *http1.Request, *bodystore.Store) {
	t.Helper()
	s := bodystore.Open(bodystore.Config{
		Limits:   limits,
		Dir:      t.TempDir(),
		Counters: metrics.NewCounters(),
		Now:      func() time.Duration { return 0 },
	})
	t.Cleanup(s.Close)
	f := newFront(c)
	f.BodyStore = s
	upload := &BodyUpload{Writer: s.NewWriter(1, 1), Rejection: &http1.Error{Status: 429}}
	if _, err := io.WriteString(upload, body); err != nil {
		t.Fatal(err)
	}
	return f, &http1.Request{Method: "POST", Path: "/players/_search", BodySink: upload}, s
}

// termsQuery returns a query for n ids.
func termsQuery(n int) string {
	var ids []string
	for i := range n {
		ids = append(ids, fmt.Sprintf("%q", fmt.Sprint("player-", i)))
	}
	return `{"bool": {"must": [{"terms":{"id": [` + strings.Join(ids, ", ") + `]}}]} }`
}

// Guards against a body that stays in the store after its search has ended, and against a query that is not sent to
// the servers byte for byte.
func TestLargeSearchSendsStoredQuery(t *testing.T) {
	for _, limits := range []tier.Limits{
		{Memory: 4 << 20, Files: 0, MaxMemoryBodySize: 4 << 20},
		{Memory: 64 << 10, Files: 4 << 20, MaxMemoryBodySize: 16 << 10},
	} {
		query := termsQuery(20_000)
		var sent []byte
		c := &fakeCore{answer: func(q coordinator.Query) coordinator.Answer {
			payload := string(q.Parts[0].Payload)
			if q.Body == nil || len(payload) > 100 && payload != `{"from":0,"query":{"match_all":{}},"size":7}` {
				t.Errorf("query = %+v, want a stored body and a payload without the client's query", q)
			}
			r, err := q.Body.Open()
			if err != nil {
				t.Fatal(err)
			}
			sent, _ = io.ReadAll(r)
			_ = r.Close()
			q.Body.Release()
			return coordinator.Answer{Status: coordinator.Answered, Complete: true}
		}}
		f, req, s := newLargeSearch(t, c, limits, `{"size": 5, "query" : `+query+`, "timeout":"300ms", "from":2}`)
		res := f.Serve(context.Background(), 0, req)
		if res.Status != 200 || c.queries[0].Timeout != 300*time.Millisecond {
			t.Fatalf("status %d, queries %+v, want status 200 and a timeout of 300ms: %s", res.Status, c.queries, res.Body)
		}
		if want := `{"from":0,"query":` + query + `,"size":7}`; string(sent) != want {
			t.Errorf("sent %d bytes %.60q, want %d bytes %.60q", len(sent), sent, len(want), want)
		}
		if totals := s.Totals(); totals.Bodies != 0 || totals.Memory+totals.Files != 0 {
			t.Errorf("store has %+v after the search, want nothing", totals)
		}
	}
}

// Guards against a rejected search that leaves its body in the store.
func TestLargeSearchRejectsInvalidBody(t *testing.T) {
	for body, errType := range map[string]string{
		`{"query":` + termsQuery(2000) + `,"aggs":{}}`:                             "parsing_exception",
		`{"query":` + termsQuery(2000):                                             "json_parse_exception",
		`{"query":{"knn":` + termsQuery(2000) + `}}`:                               "parsing_exception",
		`{"from":99999,"query":` + termsQuery(2000) + `}`:                          "illegal_argument_exception",
		`{"timeout":"soon","query":` + termsQuery(10) + `}`:                        "illegal_argument_exception",
		`{"query":{"match":{"a":"` + strings.Repeat("x", 2*maxTokenBytes) + `"}}}`: "json_parse_exception",
	} {
		c := &fakeCore{answer: completeAnswer}
		f, req, s := newLargeSearch(t, c, tier.Limits{Memory: 8 << 20, MaxMemoryBodySize: 8 << 20}, body)
		res := f.Serve(context.Background(), 0, req)
		var out struct{ Error struct{ Type string } }
		_ = json.Unmarshal(res.Body, &out)
		if res.Status != 400 || out.Error.Type != errType || len(c.queries) != 0 || s.Totals().Bodies != 0 {
			t.Errorf("%.40s: status %d, body %s, %d queries, store %+v, want status 400, %s, no query, no stored body",
				body, res.Status, res.Body, len(c.queries), s.Totals(), errType)
		}
	}
}
