package platform

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"linkpass/internal/coordinator"
	"linkpass/internal/http1"
)

// immediateCore answers every query at once.
type immediateCore struct{}

func (immediateCore) Submit(q coordinator.Query) func() {
	q.Reply(coordinator.Answer{Status: coordinator.Rejected})
	return func() {}
}

// A query with a small payload through the front.
func BenchmarkSmallQuery(b *testing.B) {
	f := newFront(nil)
	f.Core = immediateCore{}
	var parts []string
	for i := range 5 {
		parts = append(parts, fmt.Sprintf(`{"id":%d,"w":0.2,"hint":9000}`, i))
	}
	req := &http1.Request{
		Method: "POST",
		Path:   "/checkout",
		Body:   []byte(`{"parts":[` + strings.Join(parts, ",") + `],"expr":"c41e77d0"}`),
		Header: map[string][]string{"X-Request-Id": {"9b1f"}, "X-Priority-Class": {"checkout"}, "X-Timeout-Ms": {"480"}},
	}
	b.ReportAllocs()
	for b.Loop() {
		if res := f.Serve(context.Background(), 0, req); res.Status != 503 {
			b.Fatalf("%d %s", res.Status, res.Body)
		}
	}
}
