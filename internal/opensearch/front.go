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

// Core takes queries and has the clock that they are timed by.
type Core interface {
	// Submit starts a query, whose Reply is called once. cancel ends it before its time.
	Submit(coordinator.Query) (cancel func())
	Now() time.Duration
}

// Class is what the front needs of a class.
type Class struct {
	Name           string
	Deadline       time.Duration // the longest timeout of a search, and the default
	PriorityWeight float64
}

// Front answers searches. Its fields are set before the first request; its methods may be called by several
// goroutines.
type Front struct {
	Core            Core
	Classes         []Class // by number
	Shards          int     // of the site; an index of fixed shards names them from 0 on
	SearchConfig    func() *searchconfig.Config
	Settings        http1.Handler    // of /_cluster/settings
	SettingsUpdater SettingsUpdater  // of shard maps; nil: they are a file's and don't change
	BodyStore       *bodystore.Store // of large searches; nil: these stay in memory
	Prefix          string           // of the names of this instance's searches
	Counters        *metrics.Counters

	searchCount atomic.Uint64
	rejections  eventlog.RateLimited // of invalid requests
}

// Serve answers one request, which was received at startedAt on the core's clock. It returns when the search
// has ended; ctx cancels the search.
func (f *Front) Serve(ctx context.Context, startedAt time.Duration, req *http1.Request) *http1.Response {
	steps := strings.Split(strings.TrimPrefix(req.Path, "/"), "/")
	reads := req.Method == "GET" || req.Method == "POST"
	switch {
	case req.Path == settingsPath:
		return f.Settings.Serve(ctx, startedAt, req)
	case steps[0] == "_cat" && len(steps) >= 2 && len(steps) <= 3 && steps[1] == "shards" && req.Method == "GET":
		return f.catShards(strings.Join(steps[2:], ""), req)
	case len(steps) == 2 && steps[1] == "_search_shards" && reads:
		return f.searchShards(steps[0], req)
	case req.Path == reroutePath && req.Method == "POST":
		return f.reroute(req)
	case len(steps) == 2 && steps[1] == "_search" && reads:
		return f.search(ctx, startedAt, steps[0], req)
	case len(steps) == 2 && steps[1] == "_search":
		return errorResponse(methodNotAllowed(req, "POST, GET"))
	}
	return f.reject(illegalArgument("no handler found for uri [%.200s] and method [%s]", req.Path, req.Method))
}

// reject answers a request that can't be served: with err where it is an apiError, else with status 400.
func (f *Front) reject(err error) *http1.Response {
	var e *apiError
	if !errors.As(err, &e) {
		e = illegalArgument("%v", err)
	}
	f.Counters.Add("search_rejected", 1)
	f.rejections.Log(eventlog.SearchRejected, e.Status, e.Type, e.Reason)
	return errorResponse(e)
}
