package admin

import (
	"context"
	"fmt"
	"net/textproto"
	"time"

	"linkpass/internal/http1"
	"linkpass/internal/metrics"
)

// Limits of the door. Its callers have descriptors set aside for them, so that no
// number of clients keeps staff out; those who say nothing make room for the next.
const (
	MaxConns    = 8
	ContentType = "text/plain; charset=utf-8"
)

// Handler answers the operators' calls, one on a connection. It reads the gate and the
// figures and waits for nobody.
type Handler struct {
	Readiness *Readiness
	Totals    *metrics.Totals
}

// Serve answers one call.
func (d *Handler) Serve(_ context.Context, _ time.Duration, req *http1.Request) *http1.Response {
	calls := map[string]struct {
		method string
		answer func() (status int, body []byte)
	}{
		"/v1/readyz":  {"GET", func() (int, []byte) { return stateResponse(d.Readiness.State(), Serving) }},
		"/v1/metrics": {"GET", func() (int, []byte) { return 200, formatTotals(d.Totals) }},
		"/v1/coordinator/drain": {"PUT", func() (int, []byte) {
			status, body := stateResponse(d.Readiness.Drain(), Drained, ShuttingDown) // an ending process empties itself too
			return status, body
		}},
		"/v1/coordinator/activate": {"PUT", func() (int, []byte) { return stateResponse(d.Readiness.Activate(), Serving, Starting) }},
	}
	res := &http1.Response{Close: true, Header: textproto.MIMEHeader{"Content-Type": {ContentType}}}
	switch call, known := calls[req.Path]; {
	case !known:
		res.Status, res.Body = 404, []byte("no such call\n")
	case call.method != req.Method:
		res.Status, res.Body = 405, []byte("use "+call.method+"\n")
		res.Header["Allow"] = []string{call.method}
	default:
		res.Status, res.Body = call.answer()
	}
	return res
}

// stateResponse words a state: yes if it is one of those asked for.
func stateResponse(state State, yes ...State) (status int, body []byte) {
	status = 503
	for _, s := range yes {
		if s == state {
			status = 200
		}
	}
	return status, []byte(state.String() + "\n")
}

// formatTotals words the figures, one on a line.
func formatTotals(f *metrics.Totals) (b []byte) {
	for i, class := range f.Classes {
		b = fmt.Appendf(b, "app.served.%s=%d\napp.refused.%s=%d\napp.failed.%s=%d\n", class, f.Served[i].Load(),
			class, f.Rejected[i].Load(), class, f.Failed[i].Load())
	}
	return fmt.Appendf(b, "app.attempts=%d\napp.in_flight=%d\napp.league_servers_known=%d\napp.league_servers_excluded=%d\n",
		f.Attempts.Load(), f.InFlight.Load(), f.ServersKnown.Load(), f.ServersExcluded.Load())
}
