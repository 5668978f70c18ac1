package platform

import (
	"context"
	"strings"
	"testing"
	"time"

	"linkpass/internal/coordinator"
	"linkpass/internal/http1"
	"linkpass/internal/metrics"
	"linkpass/internal/querynames"
	_ "linkpass/internal/testrand"
)

const validBody = `{"parts":[{"id":3,"w":0.5,"hint":9000},{"id":5,"w":0.5,"tag":"00000000000000ff"}],"expr":"c41e77d0"}`

// fakeCore is a Core that records the queries and gives each one the same answer.
type fakeCore struct {
	queries  []coordinator.Query
	answer   coordinator.Answer
	onSubmit func() // runs while the query is in flight
}

func (c *fakeCore) Submit(q coordinator.Query) func() {
	c.queries = append(c.queries, q)
	if c.onSubmit != nil {
		c.onSubmit()
	}
	q.Reply(c.answer)
	return func() {}
}

// newRequest returns a request with a valid header. header holds pairs of names and values that replace or extend it.
func newRequest(path, body string, header ...string) *http1.Request {
	r := &http1.Request{Method: "POST", Path: path, Body: []byte(body), Header: map[string][]string{
		"X-Request-Id":     {"9b1f03aa5c7e2d41"},
		"X-Timeout-Ms":     {"480"},
		"X-Priority-Class": {"checkout"},
		"X-Retried":        {"1"},
	}}
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	return r
}

func newFront(c *fakeCore) *Front {
	return &Front{
		Core:       c,
		Classes:    []string{"browse", "checkout"},
		ShardCount: 6,
		Counters:   metrics.NewCounters(),
		Ready:      func() bool { return true },
		Names:      querynames.New(),
	}
}

func serve(f *Front, req *http1.Request) *http1.Response {
	return f.Serve(context.Background(), 0, req)
}

func TestServeSubmitsQueryAndEncodesAnswer(t *testing.T) {
	c := &fakeCore{answer: coordinator.Answer{Status: coordinator.Answered, Complete: true,
		Values: []coordinator.Value{{Shard: 3, Data: []byte("5be2")}}}}
	f := newFront(c)
	res := f.Serve(context.Background(), time.Second, newRequest("/checkout", validBody))
	if res.Status != 200 || string(res.Body) != `{"exact":true,"rows":[{"id":3,"data":"5be2"}]}` {
		t.Errorf("status = %d, body = %s, want status 200 and one row", res.Status, res.Body)
	}
	q := c.queries[0]
	if q.Name != "9b1f03aa5c7e2d41" || q.Class != 1 || q.Timeout != 480*time.Millisecond ||
		q.StartedAt != time.Second || !q.IsRetry || len(q.Parts) != 2 ||
		q.Parts[0].ExpectedWork != 9*time.Millisecond || q.Parts[1].Key != 255 ||
		string(q.Parts[1].Payload) != "c41e77d0" {
		t.Errorf("query = %+v, want the fields of the request", q)
	}
	c.answer = coordinator.Answer{Status: coordinator.Rejected, RetryAfter: 375 * time.Millisecond}
	if res := serve(f, newRequest("/checkout", validBody)); res.Status != 503 || res.Header.Get("Retry-After") != "0.375" {
		t.Errorf("response to a rejected query = %+v, want status 503 and Retry-After 0.375", res)
	}
	c.answer = coordinator.Answer{Status: coordinator.Failed}
	if res := serve(f, newRequest("/checkout", validBody)); res.Status != 500 {
		t.Errorf("response to a failed query = %+v, want status 500", res)
	}
	if res := serve(f, &http1.Request{Method: "GET", Path: "/health/ready"}); res.Status != 200 {
		t.Errorf("readiness response = %+v, want status 200", res)
	}
	f.Ready = func() bool { return false }
	if res := serve(f, &http1.Request{Method: "GET", Path: "/health/ready"}); res.Status != 503 {
		t.Errorf("readiness response while not ready = %+v, want status 503", res)
	}
}

// A query must count against the quota of the tenant that it names, and against no quota if it names none or the site
// has no tenants.
func TestServeNumbersTenants(t *testing.T) {
	c := &fakeCore{}
	f := newFront(c)
	for name, want := range map[string]int{"north": 0, "": 0} { // the site has no tenants
		serve(f, newRequest("/checkout", validBody, "X-Tenant-Id", name))
		if q := c.queries[len(c.queries)-1]; q.Tenant != want {
			t.Errorf("site without tenants: number of tenant %q = %d, want %d", name, q.Tenant, want)
		}
	}
	f.Tenants = []string{"north", "south_coast"} // as the settings encode them
	for name, want := range map[string]int{"north": 1, "south coast": 2, "": 0} {
		serve(f, newRequest("/checkout", validBody, "X-Tenant-Id", name))
		if q := c.queries[len(c.queries)-1]; q.Tenant != want {
			t.Errorf("number of tenant %q = %d, want %d", name, q.Tenant, want)
		}
	}
	res := serve(f, newRequest("/checkout", validBody, "X-Tenant-Id", "east"))
	if res.Status != 400 || f.Counters.Get("platform_rejected") != 1 {
		t.Errorf("unknown tenant: status = %d, want 400 and platform_rejected = 1", res.Status)
	}
}

func TestServeRejectsInvalidRequests(t *testing.T) {
	c := &fakeCore{}
	f := newFront(c)
	rejected := 0
	for _, r := range []*http1.Request{
		newRequest("/nowhere", validBody),
		newRequest("/checkout", validBody, "X-Priority-Class", "browse"),
		newRequest("/checkout", validBody, "X-Timeout-Ms", "soon"),
		newRequest("/checkout", validBody, "X-Timeout-Ms", "0"),
		newRequest("/checkout", validBody, "X-Request-Id", ""),
		newRequest("/checkout", validBody, "X-Request-Id", "a b"),
		newRequest("/checkout", validBody, "X-Request-Id", strings.Repeat("x", 200)),
		newRequest("/checkout", `{}`),
		newRequest("/checkout", `{"parts":[],"expr":"x"}`),
		newRequest("/checkout", `{"parts":[{"id":3,"w":1}]}`),
		newRequest("/checkout", `{"parts":[{"id":6,"w":1}],"expr":"x"}`),
		newRequest("/checkout", `{"parts":[{"w":1}],"expr":"x"}`),
		newRequest("/checkout", `{"parts":[{"id":3,"w":1},{"id":3,"w":1}],"expr":"x"}`),
		newRequest("/checkout", `{"parts":[{"id":3,"w":-1}],"expr":"x"}`),
		newRequest("/checkout", `{"parts":[{"id":3,"w":1,"tag":"xyz"}],"expr":"x"}`),
		newRequest("/checkout", `{"parts":[{"id":3,"w":0.5},{"id":4,"w":0.4}],"expr":"x"}`),
		newRequest("/checkout", `{"parts":[{"id":3,"w":1.5}],"expr":"x"}`),
		newRequest("/checkout", `{"parts":[{"id":3,"w":1},{"id":4,"w":1}],"expr":"x"}`),
		{Method: "GET", Path: "/checkout"},
	} {
		if res := serve(f, r); res.Status < 400 || res.Status > 499 {
			t.Errorf("request %s %s %v: status = %d, want 4xx", r.Path, r.Body, r.Header, res.Status)
		}
		rejected++
	}
	if len(c.queries) != 0 || f.Counters.Get("platform_rejected") != int64(rejected) {
		t.Errorf("%d queries reached the core, want 0; counters: %s; want platform_rejected = %d",
			len(c.queries), f.Counters, rejected)
	}
}

func TestServeRejectsRequestIDInUse(t *testing.T) {
	c := &fakeCore{answer: coordinator.Answer{Status: coordinator.Answered}}
	f := newFront(c)
	c.onSubmit = func() {
		c.onSubmit = nil
		if res := serve(f, newRequest("/checkout", validBody)); res.Status != 409 {
			t.Errorf("request ID of a query in flight: status = %d, want 409", res.Status)
		}
	}
	for range 2 { // the name can be used again after its query has ended
		if res := serve(f, newRequest("/checkout", validBody)); res.Status != 200 {
			t.Errorf("status = %d, want 200", res.Status)
		}
	}
	if len(c.queries) != 2 {
		t.Errorf("%d queries reached the core, want 2", len(c.queries))
	}
}

// Guards against an id that runs twice (report 9bf5e0): the name of a query that may have run for a client that has left
// is not served again; that of a query of which nothing was sent is.
func TestNameStaysInUseAfterClientHasLeft(t *testing.T) {
	for name, want := range map[string]struct {
		attempted bool
		status    int
	}{"sent": {true, 409}, "unsent": {false, 500}} {
		t.Run(name, func(t *testing.T) {
			c := &fakeCore{answer: coordinator.Answer{Status: coordinator.Failed, Missing: []coordinator.MissingPart{{Attempted: want.attempted}}}}
			f := newFront(c)
			left, leave := context.WithCancel(context.Background())
			c.onSubmit = leave
			f.Serve(left, 0, newRequest("/checkout", validBody))
			c.onSubmit = nil
			if res := serve(f, newRequest("/checkout", validBody)); res.Status != want.status {
				t.Errorf("the same name again: status = %d, want %d", res.Status, want.status)
			}
		})
	}
}
