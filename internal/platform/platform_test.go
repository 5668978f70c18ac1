package platform

import (
	"context"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"linkpass/internal/coordinator"
	"linkpass/internal/http1"
	"linkpass/internal/metrics"
	_ "linkpass/internal/testrand"
)

const valid = `{"parts":[{"id":3,"w":0.5,"hint":9000},{"id":5,"w":0.5,"tag":"00000000000000ff"}],"expr":"c41e77d0"}`

type core struct {
	queries []coordinator.Query
	answer  coordinator.Answer
	during  func() // runs while the query is open
}

func (c *core) Submit(q coordinator.Query) func() {
	c.queries = append(c.queries, q)
	if c.during != nil {
		c.during()
	}
	q.Reply(c.answer)
	return func() {}
}

func request(path, body string, header ...string) *http1.Request {
	r := &http1.Request{Method: "POST", Path: path, Body: []byte(body), Header: map[string][]string{
		"X-Request-Id": {"9b1f03aa5c7e2d41"}, "X-Timeout-Ms": {"480"}, "X-Priority-Class": {"checkout"}, "X-Retried": {"1"}}}
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	return r
}

func front(c *core) *Front {
	return &Front{Core: c, Classes: []string{"browse", "checkout"}, Shards: 6, Counters: metrics.NewCounters(), Ready: func() bool { return true }}
}

func TestQueriesAndAnswers(t *testing.T) {
	c := &core{answer: coordinator.Answer{Status: coordinator.Answered, Complete: true,
		Values: []coordinator.Value{{Shard: 3, Data: []byte("5be2")}}}}
	f := front(c)
	res := f.Serve(context.Background(), time.Second, request("/checkout", valid))
	if res.Status != 200 || string(res.Body) != `{"exact":true,"rows":[{"id":3,"data":"5be2"}]}` {
		t.Errorf("%d %s", res.Status, res.Body)
	}
	q := c.queries[0]
	if q.Name != "9b1f03aa5c7e2d41" || q.Class != 1 || q.Timeout != 480*time.Millisecond || q.StartedAt != time.Second || !q.IsRetry ||
		len(q.Parts) != 2 || q.Parts[0].ExpectedWork != 9*time.Millisecond || q.Parts[1].Key != 255 || string(q.Parts[1].Payload) != "c41e77d0" {
		t.Errorf("%+v", q)
	}
	c.answer = coordinator.Answer{Status: coordinator.Rejected, RetryAfter: 375 * time.Millisecond}
	if res := f.Serve(context.Background(), 0, request("/checkout", valid)); res.Status != 503 || res.Header.Get("Retry-After") != "0.375" {
		t.Errorf("%+v", res)
	}
	c.answer = coordinator.Answer{Status: coordinator.Failed}
	if res := f.Serve(context.Background(), 0, request("/checkout", valid)); res.Status != 500 {
		t.Errorf("%+v", res)
	}
	if res := f.Serve(context.Background(), 0, &http1.Request{Method: "GET", Path: "/health/ready"}); res.Status != 200 {
		t.Errorf("%+v", res)
	}
	f.Ready = func() bool { return false }
	if res := f.Serve(context.Background(), 0, &http1.Request{Method: "GET", Path: "/health/ready"}); res.Status != 503 {
		t.Errorf("%+v", res)
	}
}

// One tenant's queries are never held against another's share, nor are those that name nobody.
func TestTenantsAreToldApart(t *testing.T) {
	c := &core{}
	f := front(c)
	for name, want := range map[string]int{"north": 0, "": 0} { // the site has none
		f.Serve(context.Background(), 0, request("/checkout", valid, "X-Tenant-Id", name))
		if q := c.queries[len(c.queries)-1]; q.Tenant != want {
			t.Errorf("%q is tenant %d", name, q.Tenant)
		}
	}
	f.Tenants = []string{"north", "south_coast"} // as the settings write it
	for name, want := range map[string]int{"north": 1, "south coast": 2, "": 0} {
		f.Serve(context.Background(), 0, request("/checkout", valid, "X-Tenant-Id", name))
		if q := c.queries[len(c.queries)-1]; q.Tenant != want {
			t.Errorf("%q is tenant %d, want %d", name, q.Tenant, want)
		}
	}
	if res := f.Serve(context.Background(), 0, request("/checkout", valid, "X-Tenant-Id", "east")); res.Status != 400 || f.Counters.Get("platform_rejected") != 1 {
		t.Errorf("an unknown tenant: %d", res.Status)
	}
}

// What can't be served as asked gets a 4xx and never reaches the core.
func TestUnusableQueries(t *testing.T) {
	c := &core{}
	f := front(c)
	bad := 0
	for _, r := range []*http1.Request{
		request("/nowhere", valid), request("/checkout", valid, "X-Priority-Class", "browse"),
		request("/checkout", valid, "X-Timeout-Ms", "soon"), request("/checkout", valid, "X-Timeout-Ms", "0"),
		request("/checkout", valid, "X-Request-Id", ""), request("/checkout", valid, "X-Request-Id", "a b"),
		request("/checkout", valid, "X-Request-Id", strings.Repeat("x", 200)),
		request("/checkout", `{}`), request("/checkout", `{"parts":[],"expr":"x"}`), request("/checkout", `{"parts":[{"id":3,"w":1}]}`),
		request("/checkout", `{"parts":[{"id":6,"w":1}],"expr":"x"}`), request("/checkout", `{"parts":[{"w":1}],"expr":"x"}`),
		request("/checkout", `{"parts":[{"id":3,"w":1},{"id":3,"w":1}],"expr":"x"}`),
		request("/checkout", `{"parts":[{"id":3,"w":-1}],"expr":"x"}`), request("/checkout", `{"parts":[{"id":3,"w":1,"tag":"xyz"}],"expr":"x"}`),
		request("/checkout", `{"parts":[{"id":3,"w":0.5},{"id":4,"w":0.4}],"expr":"x"}`),
		request("/checkout", `{"parts":[{"id":3,"w":1.5}],"expr":"x"}`), request("/checkout", `{"parts":[{"id":3,"w":1},{"id":4,"w":1}],"expr":"x"}`),
		{Method: "GET", Path: "/checkout"},
	} {
		if res := f.Serve(context.Background(), 0, r); res.Status < 400 || res.Status > 499 {
			t.Errorf("%s %s %v: %d", r.Path, r.Body, r.Header, res.Status)
		}
		bad++
	}
	if len(c.queries) != 0 || f.Counters.Get("platform_rejected") != int64(bad) {
		t.Errorf("%d reached the core; %s", len(c.queries), f.Counters)
	}
}

// Who takes the name of another client's open query is told so, and that query goes on.
func TestNameOfAnOpenQuery(t *testing.T) {
	c := &core{answer: coordinator.Answer{Status: coordinator.Answered}}
	f := front(c)
	c.during = func() {
		c.during = nil
		if res := f.Serve(context.Background(), 0, request("/checkout", valid)); res.Status != 409 {
			t.Errorf("while it is open: %d", res.Status)
		}
	}
	for range 2 { // after its end the name is free
		if res := f.Serve(context.Background(), 0, request("/checkout", valid)); res.Status != 200 {
			t.Errorf("%d", res.Status)
		}
	}
	if len(c.queries) != 2 {
		t.Errorf("%d reached the core", len(c.queries))
	}
}

func TestBodiesFromAnything(t *testing.T) {
	f := front(&core{})
	rapid.Check(t, func(t *rapid.T) {
		if _, err := f.parts([]byte(valid[:rapid.IntRange(0, len(valid)-1).Draw(t, "at")])); err == nil {
			t.Fatal("took a cut body")
		}
		parts, err := f.parts(rapid.SliceOf(rapid.Byte()).Draw(t, "garbage"))
		if err == nil && len(parts) == 0 {
			t.Fatal("took garbage")
		}
	})
}

// Whatever bytes a league server gave as a value, the answer stays readable.
func TestValuesOfAnyBytes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		res := response(coordinator.Answer{Status: coordinator.Answered,
			Values: []coordinator.Value{{Shard: 1, Data: rapid.SliceOf(rapid.Byte()).Draw(t, "value")}}})
		if res.Status != 200 || !json.Valid(res.Body) {
			t.Fatalf("%d %q", res.Status, res.Body)
		}
	})
}
