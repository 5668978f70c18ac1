package admin

import (
	"testing"

	"linkpass/internal/http1"
	"linkpass/internal/metrics"
)

type fakeFront struct{ drained, calls int }

func (f *fakeFront) Drain()  { f.drained, f.calls = 1, f.calls+1 }
func (f *fakeFront) Resume() { f.drained, f.calls = 0, f.calls+1 }

// Drains, activations and the shutdown may come in any order. Each response and the fronts must follow the one state
// machine: a repeated change has no effect, and a shutdown is final.
func TestHandlerFollowsReadiness(t *testing.T) {
	var r Readiness
	var f fakeFront
	r.AddFront(&f)
	h := &Handler{Readiness: &r, Totals: metrics.NewTotals([]string{"a", "b"}), Counters: metrics.NewCounters()}
	call := func(method, path string, status int, drained, calls int) {
		t.Helper()
		res := h.Serve(t.Context(), 0, &http1.Request{Method: method, Path: path})
		if res.Status != status || !res.Close || f.drained != drained || f.calls != calls {
			t.Errorf("%s %s: status = %d %q, close = %t, front drained = %d after %d calls; want %d, true, %d after %d",
				method, path, res.Status, res.Body, res.Close, f.drained, f.calls, status, drained, calls)
		}
		if allow := res.Header.Get("Allow"); (status == 405) != (allow != "") {
			t.Errorf("%s %s: status = %d, Allow = %q; want Allow with status 405 only", method, path, res.Status, allow)
		}
	}
	call("GET", "/v1/readyz", 503, 0, 0)
	call("PUT", "/v1/coordinator/activate", 200, 0, 0)
	r.MarkEndpointsUsable()
	call("GET", "/v1/readyz", 200, 0, 0)
	call("GET", "/v1/metrics", 200, 0, 0)
	call("PUT", "/v1/metrics", 405, 0, 0)
	call("GET", "/v1/coordinator/drain", 405, 0, 0)
	call("GET", "/v1/drain", 404, 0, 0)
	call("PUT", "/v1/coordinator/drain", 200, 1, 1)
	call("PUT", "/v1/coordinator/drain", 200, 1, 1) // idempotent
	call("GET", "/v1/readyz", 503, 1, 1)
	call("PUT", "/v1/coordinator/activate", 200, 0, 2)
	call("PUT", "/v1/coordinator/activate", 200, 0, 2)
	call("GET", "/v1/readyz", 200, 0, 2)
	r.Shutdown()
	call("GET", "/v1/readyz", 503, 1, 3)
	call("PUT", "/v1/coordinator/drain", 200, 1, 3)
	call("PUT", "/v1/coordinator/activate", 503, 1, 3) // a shutdown is final
	var late fakeFront
	if r.AddFront(&late); late.drained != 1 {
		t.Error("a front added after the shutdown is not drained")
	}
}
