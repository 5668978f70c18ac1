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
	// MaxConns is the maximum number of connections of the admin listener. The process reserves a file descriptor for
	// each, so operators can connect however many clients there are. The listener closes idle connections to make room
	// for new ones.
	MaxConns = 8
	// ContentType is the Content-Type header of every response.
	ContentType = "text/plain; charset=utf-8"
)

// Handler serves the requests of the admin listener. Every response closes its connection. The handler only
// accesses state and counters in memory and never blocks. It is safe for concurrent use.
type Handler struct {
	Readiness *Readiness
	Totals    *metrics.Totals
	Counters  *metrics.Counters // counts the calls that are rejected
}

// route is the method and the implementation of one path.
type route struct {
	method string
	serve  func(*Handler) (status int, body []byte)
}

// routes holds the routes by path.
var routes = map[string]route{
	"/v1/readyz":               {"GET", (*Handler).readyz},
	"/v1/metrics":              {"GET", (*Handler).metrics},
	"/v1/coordinator/drain":    {"PUT", (*Handler).drain},
	"/v1/coordinator/activate": {"PUT", (*Handler).activate},
}

// Serve handles one request: 404 for an unknown path, 405 with an Allow header for another method than the route's.
func (h *Handler) Serve(_ context.Context, _ time.Duration, req *http1.Request) (res *http1.Response) {
	req.Work(func() { res = h.serve(req) })
	return res
}

func (h *Handler) serve(req *http1.Request) *http1.Response {
	res := &http1.Response{Close: true, Header: textproto.MIMEHeader{"Content-Type": {ContentType}}}
	matched, known := routes[req.Path]
	switch {
	case !known:
		h.Counters.Add("operator_rejected_unknown_path", 1)
		res.Status, res.Body = 404, []byte("no such call\n")
	case matched.method != req.Method:
		h.Counters.Add("operator_rejected_method", 1)
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

// drain also succeeds while the process shuts down: a shutdown drains the coordinator, too.
func (h *Handler) drain() (status int, body []byte) {
	return stateResponse(h.Readiness.Drain(), Drained, ShuttingDown)
}

func (h *Handler) activate() (status int, body []byte) {
	return stateResponse(h.Readiness.Activate(), Serving, Starting)
}

// stateResponse returns the state's name as the body, with status 200 if the state is one of those expected, else 503.
func stateResponse(state State, expected ...State) (status int, body []byte) {
	status = 503
	if slices.Contains(expected, state) {
		status = 200
	}
	return status, []byte(state.String() + "\n")
}

// formatTotals returns the counters as text, one name=value pair per line.
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
