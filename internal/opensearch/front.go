package opensearch

import (
	"context"
	"errors"
	"strings"
	"sync/atomic"
	"time"

	"linkpass/internal/bodystore"
	"linkpass/internal/coordinator"
	"linkpass/internal/eventlog"
	"linkpass/internal/http1"
	"linkpass/internal/metrics"
	"linkpass/internal/searchconfig"
)

// Core processes queries and provides the clock by which they are timed.
type Core interface {
	// Submit starts a query and calls its Reply exactly once. cancel ends the query early.
	Submit(coordinator.Query) (cancel func())
	// Now returns the time on the core's clock.
	Now() time.Duration
}

// Class is what Front needs to know about a query class.
type Class struct {
	Name           string
	Deadline       time.Duration // the longest timeout of a search, and the default
	PriorityWeight float64       // of its searches, for the body store
}

// Front serves OpenSearch's HTTP API to clients. Its fields are set before the first request; its methods may be
// called concurrently.
type Front struct {
	Core    Core
	Classes []Class // indexed by class number
	Shards  int     // number of shards of the site; an index of fixed shards numbers them from 0
	// SearchConfig returns the settings in force. Its error means that they are not known yet, as this instance has not
	// caught up with the store since its start; nothing is answered from settings that may be older then.
	SearchConfig    func() (*searchconfig.Config, error)
	Settings        http1.Handler    // serves /_cluster/settings
	SettingsUpdater SettingsUpdater  // updates shard maps; nil: they come from a file and don't change
	BodyStore       *bodystore.Store // stores the bodies of large searches; nil: these stay in memory
	Prefix          string           // of the names of this instance's searches
	Counters        *metrics.Counters

	searchCount atomic.Uint64        // numbers the names of searches
	rejections  eventlog.RateLimited // limits the log events of invalid requests
}

// Serve returns the response to one request, which was received at startedAt on the core's clock. It returns when
// the search has ended; canceling ctx cancels the search.
func (f *Front) Serve(ctx context.Context, startedAt time.Duration, req *http1.Request) (res *http1.Response) {
	segments := strings.Split(strings.TrimPrefix(req.Path, "/"), "/")
	isRead := req.Method == "GET" || req.Method == "POST"
	switch {
	case req.Path == settingsPath:
		return f.Settings.Serve(ctx, startedAt, req)
	case segments[0] == "_cat" && len(segments) >= 2 && len(segments) <= 3 && segments[1] == "shards" && req.Method == "GET":
		req.Work(func() { res = f.catShards(strings.Join(segments[2:], ""), req) })
		return res
	case len(segments) == 2 && segments[1] == "_search_shards" && isRead:
		req.Work(func() { res = f.searchShards(segments[0], req) })
		return res
	case req.Path == reroutePath && req.Method == "POST":
		return f.reroute(req)
	case len(segments) == 2 && segments[1] == "_search" && isRead:
		return f.search(ctx, startedAt, segments[0], req)
	case len(segments) == 2 && segments[1] == "_search":
		return errorResponse(methodNotAllowed(req, "POST, GET"))
	}
	return f.reject(illegalArgument("no handler found for uri [%.200s] and method [%.20s]", req.Path, req.Method))
}

// currentConfig returns the settings in force, or the error of a request that needs them while they are not known.
func (f *Front) currentConfig() (*searchconfig.Config, error) {
	config, err := f.SearchConfig()
	if err != nil {
		f.Counters.Add("search_not_caught_up", 1)
		return nil, settingsUnknown(err)
	}
	return config, nil
}

// reject counts and logs a request that can't be served and returns the response: err if it is an apiError, and
// otherwise an illegal argument with status 400.
func (f *Front) reject(err error) *http1.Response {
	var e *apiError
	if !errors.As(err, &e) {
		e = illegalArgument("%v", err)
	}
	f.Counters.Add("search_rejected", 1)
	f.Counters.Add("search_rejected_"+e.Type, 1)
	f.rejections.Log(eventlog.SearchRejected, e.Status, e.Type, e.Reason)
	response := errorResponse(e)
	if e.Type == errTypeClusterBlock {
		response.Header["Retry-After"] = []string{catchUpRetryAfter}
	}
	return response
}
