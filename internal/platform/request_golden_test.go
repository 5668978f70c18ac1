package platform

import (
	"bytes"
	"context"
	"reflect"
	"strings"
	"testing"
	"time"

	"linkpass/internal/coordinator"
	"linkpass/internal/goldentest"
	"linkpass/internal/http1"
)

func goldenFront(c *fakeCore) *Front {
	f := newFront(c)
	f.Tenants = []string{"north", "south_coast"}
	return f
}

// exchange serves the request with the given bytes and returns the bytes of the response.
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
	cases := goldenQueries()
	if len(requests) != len(cases) {
		t.Errorf("%d golden requests, want one for each of the %d cases", len(requests), len(cases))
	}
	for name, want := range cases {
		t.Run(name, func(t *testing.T) {
			wire, ok := requests[name]
			if !ok {
				t.Fatal("requests.txt has no request of this name")
			}
			c := &fakeCore{}
			exchange(t, goldenFront(c), wire)
			if len(c.queries) != 1 {
				t.Fatalf("%d queries reached the core, want 1", len(c.queries))
			}
			got := c.queries[0]
			got.Reply, got.Held = nil, nil // functions, which cannot be compared
			if !reflect.DeepEqual(got, want) {
				t.Errorf("got  %+v\nwant %+v", got, want)
			}
		})
	}
}

// goldenQueries returns the queries that the golden requests must decode to, by the name of the request.
func goldenQueries() map[string]coordinator.Query {
	payload := []byte("c41e77d0 \"quoted\" \u00e9\n")
	return map[string]coordinator.Query{
		"every field": {
			Name:      "9b1f03aa5c7e2d41",
			Class:     1,
			Tenant:    2,
			StartedAt: 3 * time.Second,
			Timeout:   480 * time.Millisecond,
			IsRetry:   true,
			Parts: []coordinator.Part{
				{
					Shard:        3,
					Weight:       0.25,
					ExpectedWork: 9 * time.Millisecond,
					Key:          0xff00000000000001,
					Payload:      payload,
				},
				{Shard: 5, Weight: 0.75, ExpectedWork: 1500 * time.Microsecond, Key: 0xff, Payload: payload},
			},
		},
		"needed fields only": {
			Name:      "a",
			StartedAt: 3 * time.Second,
			Timeout:   36000000 * time.Millisecond,
			Parts:     []coordinator.Part{{Shard: 0, Weight: 1, Payload: []byte{}}},
		},
		"unknown fields are skipped": {
			Name:      "a",
			StartedAt: 3 * time.Second,
			Timeout:   time.Millisecond,
			Parts:     []coordinator.Part{{Shard: 1, Weight: 1, Payload: []byte("x")}},
		},
	}
}
