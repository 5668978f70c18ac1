package endpoints

import (
	"maps"
	"time"

	"linkpass/internal/config/restriction"
)

// recentRequestRetention is how long after its issue or receipt a request is broadcast even if the log has settled it
// here.
const recentRequestRetention = 10 * time.Second

// recentRequests has the requests that were issued or received in the last recentRequestRetention. They are broadcast
// even after the log has settled them here, because another instance may be reachable and yet be far behind in the
// log.
type recentRequests map[restriction.ID]recentRequest

type recentRequest struct {
	request restriction.Request
	until   time.Time
}

// add adds a request. Beyond restriction.MaxPending requests it drops the request, which is then broadcast only while
// it is pending.
func (r recentRequests) add(request restriction.Request) {
	now := time.Now()
	maps.DeleteFunc(r, func(_ restriction.ID, recent recentRequest) bool { return recent.until.Before(now) })
	if len(r) < restriction.MaxPending {
		r[request.ID] = recentRequest{request: request, until: now.Add(recentRequestRetention)}
	}
}

// appendTo appends to requests the recent ones that have not expired and are not in it yet.
func (r recentRequests) appendTo(requests []restriction.Request) []restriction.Request {
	listed := make(map[restriction.ID]bool, len(requests))
	for _, request := range requests {
		listed[request.ID] = true
	}
	now := time.Now()
	for id, recent := range r {
		if recent.until.After(now) && !listed[id] {
			requests = append(requests, recent.request)
		}
	}
	return requests
}
