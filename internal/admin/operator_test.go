package admin

import (
	"testing"

	"linkpass/internal/http1"
	"linkpass/internal/metrics"
)

type front struct{ drained, orders int }

func (f *front) Drain()  { f.drained, f.orders = 1, f.orders+1 }
func (f *front) Resume() { f.drained, f.orders = 0, f.orders+1 }

// Door, readiness and SIGTERM go through one state machine, whatever their order.
func TestDoorAndGate(t *testing.T) {
	var g Readiness
	var f front
	g.AddFront(&f)
	d := &Handler{Readiness: &g, Totals: metrics.NewTotals([]string{"a", "b"})}
	ask := func(method, path string, status int, drained, orders int) {
		t.Helper()
		res := d.Serve(t.Context(), 0, &http1.Request{Method: method, Path: path})
		if res.Status != status || !res.Close || f.drained != drained || f.orders != orders {
			t.Errorf("%s %s: %d %q, drained %d by %d orders", method, path, res.Status, res.Body, f.drained, f.orders)
		}
		if allow := res.Header.Get("Allow"); (status == 405) != (allow != "") {
			t.Errorf("%s %s: Allow %q", method, path, allow)
		}
	}
	ask("GET", "/v1/readyz", 503, 0, 0)
	ask("PUT", "/v1/coordinator/activate", 200, 0, 0)
	g.MarkUsable()
	ask("GET", "/v1/readyz", 200, 0, 0)
	ask("GET", "/v1/metrics", 200, 0, 0)
	ask("PUT", "/v1/metrics", 405, 0, 0)
	ask("GET", "/v1/coordinator/drain", 405, 0, 0)
	ask("GET", "/v1/drain", 404, 0, 0)
	ask("PUT", "/v1/coordinator/drain", 200, 1, 1)
	ask("PUT", "/v1/coordinator/drain", 200, 1, 1) // twice is as once
	ask("GET", "/v1/readyz", 503, 1, 1)
	ask("PUT", "/v1/coordinator/activate", 200, 0, 2)
	ask("PUT", "/v1/coordinator/activate", 200, 0, 2)
	ask("GET", "/v1/readyz", 200, 0, 2)
	g.Shutdown()
	ask("GET", "/v1/readyz", 503, 1, 3)
	ask("PUT", "/v1/coordinator/drain", 200, 1, 3)
	ask("PUT", "/v1/coordinator/activate", 503, 1, 3) // nothing leads back from the end
	var late front
	if g.AddFront(&late); late.drained != 1 {
		t.Error("a front that follows an ended gate takes clients")
	}
}
