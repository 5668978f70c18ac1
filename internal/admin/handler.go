package admin

import (
	"context"
	"fmt"
	"net/textproto"
	"slices"
	"time"

	"linkpass/internal/http1"
	"linkpass/internal/metrics"
)

const (
	// MaxConns bounds the listener's connections. File descriptors are reserved for them, so that no number of
	// clients keeps operators out; connections that stay idle are closed to make room for others.
	MaxConns = 8
	// ContentType is that of every response.
	ContentType = "text/plain; charset=utf-8"
)

// Handler answers the calls of the admin listener, one on a connection. It reads state and counters and never blocks.
type Handler struct {
	Readiness *Readiness
	Totals    *metrics.Totals
}

// route is a call that the handler answers.
type route struct {
	method string
	serve  func(*Handler) (status int, body []byte)
}

// routes are the calls by path.
var routes = map[string]route{
	"/v1/readyz":               {"GET", (*Handler).readyz},
	"/v1/metrics":              {"GET", (*Handler).metrics},
	"/v1/coordinator/drain":    {"PUT", (*Handler).drain},
	"/v1/coordinator/activate": {"PUT", (*Handler).activate},
}

// Serve answers one call.
func (h *Handler) Serve(_ context.Context, _ time.Duration, req *http1.Request) *http1.Response {
	res := &http1.Response{Close: true, Header: textproto.MIMEHeader{"Content-Type": {ContentType}}}
	matched, known := routes[req.Path]
	switch {
	case !known:
		res.Status, res.Body = 404, []byte("no such call\n")
	case matched.method != req.Method:
		res.Status, res.Body = 405, []byte("use "+matched.method+"\n")
		res.Header["Allow"] = []string{matched.method}
	default:
		res.Status, res.Body = matched.serve(h)
	}
	return res
}

func (h *Handler) readyz() (status int, body []byte) {
	return stateResponse(h.Readiness.State(), Serving)
}

func (h *Handler) metrics() (status int, body []byte) {
	return 200, formatTotals(h.Totals)
}

// drain succeeds in a process that shuts down, too, as that drains itself.
func (h *Handler) drain() (status int, body []byte) {
	return stateResponse(h.Readiness.Drain(), Drained, ShuttingDown)
}

func (h *Handler) activate() (status int, body []byte) {
	return stateResponse(h.Readiness.Activate(), Serving, Starting)
}

// stateResponse returns the state's name, with a 200 if the state is one of those expected.
func stateResponse(state State, expected ...State) (status int, body []byte) {
	status = 503
	if slices.Contains(expected, state) {
		status = 200
	}
	return status, []byte(state.String() + "\n")
}

// formatTotals returns the counters, one on a line.
func formatTotals(t *metrics.Totals) (b []byte) {
	for i, class := range t.Classes {
		b = fmt.Appendf(b, "app.served.%s=%d\n", class, t.Served[i].Load())
		b = fmt.Appendf(b, "app.refused.%s=%d\n", class, t.Rejected[i].Load())
		b = fmt.Appendf(b, "app.failed.%s=%d\n", class, t.Failed[i].Load())
	}
	b = fmt.Appendf(b, "app.attempts=%d\n", t.Attempts.Load())
	b = fmt.Appendf(b, "app.in_flight=%d\n", t.InFlight.Load())
	b = fmt.Appendf(b, "app.league_servers_known=%d\n", t.ServersKnown.Load())
	return fmt.Appendf(b, "app.league_servers_excluded=%d\n", t.ServersExcluded.Load())
}
