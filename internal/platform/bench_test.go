package platform

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"linkpass/internal/coordinator"
	"linkpass/internal/http1"
)

// immediateCore is a Core that rejects every query at once.
type immediateCore struct{}

func (immediateCore) Submit(q coordinator.Query) func() {
	q.Reply(coordinator.Answer{Status: coordinator.Rejected})
	return func() {}
}

// BenchmarkSmallQuery measures serving one query with a small payload, without the time that the core takes.
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
			b.Fatalf("status = %d, body = %s, want status 503", res.Status, res.Body)
		}
	}
}
