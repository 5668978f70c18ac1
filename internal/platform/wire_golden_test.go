package platform

import (
	"bytes"
	"context"
	"reflect"
	"strconv"
	"strings"
	"testing"
	"time"

	"linkpass/internal/bodystore"
	"linkpass/internal/bodystore/tier"
	"linkpass/internal/coordinator"
	"linkpass/internal/goldentest"
	"linkpass/internal/http1"
	"linkpass/internal/metrics"
	"linkpass/internal/outcome"
)

func goldenFront(c *core) *Front {
	return &Front{Core: c, Classes: []string{"browse", "checkout"}, Tenants: []string{"north", "south_coast"}, Shards: 6,
		Counters: metrics.NewCounters(), Ready: func() bool { return true }}
}

// exchange serves a request given by its bytes and returns the response's bytes.
func exchange(t *testing.T, f *Front, wire string) string {
	t.Helper()
	req, err := http1.NewReader(strings.NewReader(wire), 0).Request()
	if err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	if err := http1.WriteResponse(&out, f.Serve(context.Background(), 3*time.Second, req)); err != nil {
		t.Fatal(err)
	}
	return out.String()
}

func TestRequestGolden(t *testing.T) {
	requests := goldentest.ReadEntries(t, "requests.txt")
	both := []byte("c41e77d0 \"quoted\" \u00e9\n")
	cases := map[string]coordinator.Query{
		"every field": {Name: "9b1f03aa5c7e2d41", Class: 1, Tenant: 2, StartedAt: 3 * time.Second, Timeout: 480 * time.Millisecond, IsRetry: true,
			Parts: []coordinator.Part{
				{Shard: 3, Weight: 0.25, ExpectedWork: 9 * time.Millisecond, Key: 0xff00000000000001, Payload: both},
				{Shard: 5, Weight: 0.75, ExpectedWork: 1500 * time.Microsecond, Key: 0xff, Payload: both},
			}},
		"needed fields only": {Name: "a", Class: 0, StartedAt: 3 * time.Second, Timeout: 36000000 * time.Millisecond,
			Parts: []coordinator.Part{{Shard: 0, Weight: 1, Payload: []byte{}}}},
		"unknown fields are skipped": {Name: "a", Class: 0, StartedAt: 3 * time.Second, Timeout: time.Millisecond,
			Parts: []coordinator.Part{{Shard: 1, Weight: 1, Payload: []byte("x")}}},
	}
	if len(requests) != len(cases) {
		t.Errorf("%d golden requests, %d cases", len(requests), len(cases))
	}
	for name, want := range cases {
		t.Run(name, func(t *testing.T) {
			wire, ok := requests[name]
			if !ok {
				t.Fatal("no golden request")
			}
			c := &core{}
			exchange(t, goldenFront(c), wire)
			if len(c.queries) != 1 {
				t.Fatalf("%d queries", len(c.queries))
			}
			got := c.queries[0]
			got.Reply = nil // a function: not comparable
			if !reflect.DeepEqual(got, want) {
				t.Errorf("got  %+v\nwant %+v", got, want)
			}
		})
	}
}

func TestResponseGolden(t *testing.T) {
	every := goldentest.ReadEntries(t, "requests.txt")["every field"]
	with := func(old, new string) string {
		if !strings.Contains(every, old) {
			t.Fatalf("the golden request has no %q", old)
		}
		return strings.Replace(every, old, new, 1)
	}
	// body puts another body of the request in place.
	body := func(text string) string {
		head, _, _ := strings.Cut(every, "Content-Length: ")
		return head + "Content-Length: " + strconv.Itoa(len(text)) + "\r\n\r\n" + text
	}
	get := func(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: router\r\n\r\n" }
	values := []coordinator.Value{{Shard: 3, Data: []byte("5be2")}, {Shard: 5, Data: []byte("<a & \"b\">\n\u00e9\u2028\xff")}}
	bare := []coordinator.MissingPart{{Shard: 3, LastOutcome: outcome.Success}, {Shard: 5, LastOutcome: outcome.BodyEvicted, Attempted: true, BodyEvicted: true}}
	var got []goldentest.Entry
	for _, c := range []struct {
		name    string
		answer  coordinator.Answer
		set     func(*Front)
		request string
	}{
		{name: "complete answer", answer: coordinator.Answer{Status: coordinator.Answered, Complete: true, Values: values}, request: every},
		{name: "partial answer", answer: coordinator.Answer{Status: coordinator.Answered, Values: values[:1], Missing: bare}, request: every},
		{name: "answer without rows", answer: coordinator.Answer{Status: coordinator.Answered}, request: every},
		{name: "overloaded", answer: coordinator.Answer{Status: coordinator.Rejected}, request: every},
		{name: "overloaded, with retry after", answer: coordinator.Answer{Status: coordinator.Rejected, RetryAfter: 1375 * time.Millisecond}, request: every},
		{name: "overloaded, body no longer kept", answer: coordinator.Answer{Status: coordinator.Rejected, Missing: bare, RetryAfter: time.Millisecond}, request: every},
		{name: "failed", answer: coordinator.Answer{Status: coordinator.Failed}, request: every},
		{name: "failed, body no longer kept", answer: coordinator.Answer{Status: coordinator.Failed, Missing: bare}, request: every},
		{name: "ready", request: get("/health/ready")},
		{name: "not ready", set: func(f *Front) { f.Ready = func() bool { return false } }, request: get("/health/ready")},
		{name: "no room for the body", set: fullStore(t, ""), request: body(`{"parts":[{"id":0,"w":1}],"expr":"` + strings.Repeat("x", bodystore.InlineLimit+1) + `"}`)},
		{name: "no room for the body, with retry after", set: fullStore(t, "2"), request: body(`{"parts":[{"id":0,"w":1}],"expr":"` + strings.Repeat("x", bodystore.InlineLimit+1) + `"}`)},
		{name: "unknown class", request: with("/checkout", "/nowhere")},
		{name: "other method", request: get("/checkout")},
		{name: "class of header and path differ", request: with("X-Priority-Class: checkout", "X-Priority-Class: browse")},
		{name: "request id missing", request: with("X-Request-ID: 9b1f03aa5c7e2d41\r\n", "")},
		{name: "request id with a space", request: with("X-Request-ID: 9b1f03aa5c7e2d41", "X-Request-ID: 9b1f 03aa")},
		{name: "timeout missing", request: with("X-Timeout-Ms: 480\r\n", "")},
		{name: "timeout not a number", request: with("X-Timeout-Ms: 480", "X-Timeout-Ms: soon")},
		{name: "unknown tenant", request: with("X-Tenant-ID: south coast", "X-Tenant-ID: east")},
		{name: "body not JSON", request: body(`{`)},
		{name: "body without parts", request: body(`{"expr":"x"}`)},
		{name: "body without expr", request: body(`{"parts":[{"id":0,"w":1}]}`)},
		{name: "part without id", request: body(`{"parts":[{"w":1}],"expr":"x"}`)},
		{name: "part of no slice", request: body(`{"parts":[{"id":6,"w":1}],"expr":"x"}`)},
		{name: "part given twice", request: body(`{"parts":[{"id":1,"w":0.5},{"id":1,"w":0.5}],"expr":"x"}`)},
		{name: "weight out of range", request: body(`{"parts":[{"id":1,"w":1.5}],"expr":"x"}`)},
		{name: "hint out of range", request: body(`{"parts":[{"id":1,"w":1,"hint":-1}],"expr":"x"}`)},
		{name: "tag not hexadecimal", request: body(`{"parts":[{"id":1,"w":1,"tag":"xyz"}],"expr":"x"}`)},
		{name: "weights do not add up", request: body(`{"parts":[{"id":1,"w":0.5}],"expr":"x"}`)},
	} {
		f := goldenFront(&core{answer: c.answer})
		if c.set != nil {
			c.set(f)
		}
		got = append(got, goldentest.Entry{Name: c.name, Data: exchange(t, f, c.request)})
	}
	c := &core{answer: coordinator.Answer{Status: coordinator.Answered}}
	f := goldenFront(c)
	c.during = func() {
		c.during = nil
		got = append(got, goldentest.Entry{Name: "request id of an open query", Data: exchange(t, f, every)})
	}
	exchange(t, f, every)
	goldentest.CheckEntries(t, "responses.txt", got)
}

// fullStore gives a front a store of bodies without room for any.
func fullStore(t *testing.T, retry string) func(*Front) {
	return func(f *Front) {
		s := bodystore.Open(bodystore.Config{Limits: tier.Limits{Memory: 16, Largest: 16}, Classes: f.Classes, Counters: f.Counters,
			Now: func() time.Duration { return 0 }})
		t.Cleanup(s.Close)
		f.BodyStore, f.PriorityWeights, f.RetryAfter = s, []float64{1, 2}, retry
	}
}
