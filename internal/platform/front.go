package platform

import (
	"context"
	"net/textproto"
	"slices"
	"time"

	"linkpass/internal/bodystore"
	"linkpass/internal/coordinator"
	"linkpass/internal/eventlog"
	"linkpass/internal/http1"
	"linkpass/internal/metrics"
	"linkpass/internal/querynames"
)

// Core runs queries; coordinator.Core implements it.
type Core interface {
	// Submit starts a query. The query's Reply is called exactly once, also after cancel. cancel reports that the
	// client has disconnected, which ends the query early.
	Submit(coordinator.Query) (cancel func())
}

// costPerPart is what a client's connection pays for the work of the core on one part of its query.
const costPerPart = 20 * time.Microsecond

// Front answers the requests of the platform's clients. Its exported fields must be set before the first request. Its
// methods are safe for concurrent use.
type Front struct {
	Core            Core
	Classes         []string // names of the classes, indexed by class number
	Tenants         []string // names as settings.EncodeName encodes them; tenant n is at index n-1; nil: no tenants
	ShardCount      int      // number of shards of the site; parts refer to them by number, from 0
	Counters        *metrics.Counters
	Ready           func() bool      // whether the readiness check succeeds
	BodyStore       *bodystore.Store // holds large payloads; nil: all payloads are held in memory
	PriorityWeights []float64        // weights of the classes, indexed by class number; used with BodyStore only
	RetryAfter      string           // Retry-After in seconds, sent if BodyStore has no capacity; "": no such header

	// Names are those of the queries that run, and of those that ran for a client that did not stay. It ensures that they
	// are unique: the parts of two queries with one name could not be told apart by the servers.
	Names *querynames.Table

	rejectionLog eventlog.RateLimited // log of invalid requests
}

// Serve answers one request. startedAt is the time at which it was received, on the core's clock. Serve returns when
// the query has ended; canceling ctx ends it early.
func (f *Front) Serve(ctx context.Context, startedAt time.Duration, req *http1.Request) (res *http1.Response) {
	if req.Path == readinessPath {
		return f.readiness()
	}
	var query coordinator.Query
	var err error
	req.Work(func() { query, err = f.decodeQuery(req) })
	if err != nil {
		return f.reject(err)
	}
	name, ok := f.Names.Claim(query.Name)
	if !ok {
		return f.reject(nameInUse(query.Name))
	}
	stored := false
	req.Measure(func() { stored = f.storePayload(&query) })
	if !stored {
		name.Release()
		return f.rejectPayload()
	}
	req.Body = nil // the query has its own copy of the payload
	if query.Body != nil {
		req.ReleaseBody()
	}
	query.StartedAt, query.Held = startedAt, req.Hold
	answer := coordinator.Await(ctx, f.Core.Submit, query)
	if ctx.Err() == nil || !mayHaveRun(answer) {
		name.Release()
	}
	req.Charge(time.Duration(len(query.Parts)) * costPerPart)
	req.Work(func() { res = encodeAnswer(answer) })
	return res
}

// mayHaveRun reports whether a part of the query with this answer may have run at a server.
func mayHaveRun(answer coordinator.Answer) bool {
	attempted := func(m coordinator.MissingPart) bool { return m.Attempted }
	return len(answer.Values) > 0 || answer.Status == coordinator.Answered || slices.ContainsFunc(answer.Missing, attempted)
}

// readiness answers the health check of a load balancer.
func (f *Front) readiness() *http1.Response {
	if f.Ready() {
		return &http1.Response{Status: 200, Body: []byte("ready\n")}
	}
	return &http1.Response{Status: 503, Body: []byte("not ready\n")}
}

// reject answers a request that cannot be served, and logs and counts it.
func (f *Front) reject(err error) *http1.Response {
	status := statusOf(err)
	f.Counters.Add("platform_rejected", 1)
	f.Counters.Add("platform_rejected_"+reasonOf(err), 1)
	f.rejectionLog.Log(eventlog.QueryRejected, status, err)
	return &http1.Response{Status: status, Body: []byte(err.Error() + "\n")}
}

// rejectPayload answers a query whose payload the body store has no capacity for.
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

// storePayload moves the query's payload to the body store if it is larger than bodystore.InlineLimit. It returns false
// if the store has no capacity.
func (f *Front) storePayload(q *coordinator.Query) bool {
	payload := q.Parts[0].Payload // all parts have the same payload
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
