package platform

import (
	"context"
	"net/textproto"
	"time"

	"linkpass/internal/bodystore"
	"linkpass/internal/coordinator"
	"linkpass/internal/eventlog"
	"linkpass/internal/http1"
	"linkpass/internal/metrics"
)

// Core takes queries.
type Core interface {
	// Submit starts a query, whose Reply is called once. cancel ends it before its time.
	Submit(coordinator.Query) (cancel func())
}

// Front answers the requests of the platform's clients. Its fields are set before the first request; its
// methods may be called by several goroutines.
type Front struct {
	Core            Core
	Classes         []string // names, by number
	Tenants         []string // names as the settings encode them, by number less one; nil: the site has none
	Shards          int      // of the site; parts name them from 0 on
	Counters        *metrics.Counters
	Ready           func() bool
	BodyStore       *bodystore.Store // of large payloads; nil: these stay in memory
	PriorityWeights []float64        // of the classes, by number
	RetryAfter      string           // seconds, for a client whose payload finds no capacity; "": no header

	rejections eventlog.RateLimited // of invalid requests
	openNames  nameSet              // of the queries in flight
}

// Serve answers one request, which was received at startedAt on the core's clock. It returns when the query
// has ended; ctx cancels the query.
func (f *Front) Serve(ctx context.Context, startedAt time.Duration, req *http1.Request) *http1.Response {
	if req.Path == readinessPath {
		return f.readiness()
	}
	query, err := f.decodeQuery(req)
	if err == nil {
		err = f.openNames.add(query.Name)
	}
	if err != nil {
		return f.reject(err)
	}
	defer f.openNames.remove(query.Name)
	if !f.storePayload(&query) {
		return f.rejectPayload()
	}
	query.StartedAt = startedAt
	return encodeAnswer(f.await(ctx, query))
}

// readiness answers the health check of a load balancer.
func (f *Front) readiness() *http1.Response {
	if f.Ready() {
		return &http1.Response{Status: 200, Body: []byte("ready\n")}
	}
	return &http1.Response{Status: 503, Body: []byte("not ready\n")}
}

// reject answers a request that can't be served.
func (f *Front) reject(err error) *http1.Response {
	status := statusOf(err)
	f.Counters.Add("platform_rejected", 1)
	f.rejections.Log(eventlog.QueryRejected, status, err)
	return &http1.Response{Status: status, Body: []byte(err.Error() + "\n")}
}

// rejectPayload answers a query whose payload finds no capacity.
func (f *Front) rejectPayload() *http1.Response {
	f.Counters.Add("platform_no_room", 1)
	res := &http1.Response{
		Status: 503,
		Body:   []byte("no room for the query's text\n"),
		Header: textproto.MIMEHeader{},
	}
	if f.RetryAfter != "" {
		res.Header.Set(headerRetryAfter, f.RetryAfter)
	}
	return res
}

// await submits a query and waits for its answer. A query that ctx cancels is answered by the core too.
func (f *Front) await(ctx context.Context, query coordinator.Query) coordinator.Answer {
	answers := make(chan coordinator.Answer, 1) // buffered: the core's event loop never waits for this goroutine
	query.Reply = func(a coordinator.Answer) { answers <- a }
	cancel := f.Core.Submit(query)
	select {
	case a := <-answers:
		return a
	case <-ctx.Done():
		cancel()
		return <-answers
	}
}

// storePayload moves a large payload to the body store. It is false where that has no capacity.
func (f *Front) storePayload(q *coordinator.Query) bool {
	payload := q.Parts[0].Payload // the same for all parts
	if f.BodyStore == nil || len(payload) <= bodystore.InlineLimit {
		return true
	}
	w := f.BodyStore.NewWriter(q.Class, f.PriorityWeights[q.Class])
	if _, err := w.Write(payload); err != nil {
		return false
	}
	body, err := w.Commit()
	if err != nil {
		return false
	}
	q.Body = body
	for i := range q.Parts {
		q.Parts[i].Payload = nil
	}
	return true
}
