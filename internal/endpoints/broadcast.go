package endpoints

import (
	"context"
	"time"

	"linkpass/internal/config"
	"linkpass/internal/config/restriction"
	"linkpass/internal/eventlog"
)

// broadcastTimeout bounds one call of a BroadcastFunc.
const broadcastTimeout = 300 * time.Millisecond

// toBroadcast returns the requests that the other instances must receive.
func (r *Registry) toBroadcast() []restriction.Request {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.recent.appendTo(r.pending.List())
}

// broadcast sends another instance the requests that it has not acknowledged, and brings acknowledged up to
// date: it has the given requests only.
func (r *Registry) broadcast(ctx context.Context, id string, send BroadcastFunc, requests []restriction.Request,
	acknowledged map[restriction.ID]bool) {
	var unacknowledged, known []restriction.Request
	for _, request := range requests {
		if acknowledged[request.ID] {
			known = append(known, request)
		} else {
			unacknowledged = append(unacknowledged, request)
		}
	}
	if len(unacknowledged) > 0 {
		if err := sendWithin(ctx, broadcastTimeout, send, unacknowledged); err != nil {
			r.cfg.Counters.Add("restrictions_unacknowledged_"+id, 1)
		} else {
			known = append(known, unacknowledged...)
		}
	}
	clear(acknowledged)
	for _, request := range known {
		acknowledged[request.ID] = true
	}
}

func sendWithin(ctx context.Context, timeout time.Duration, send BroadcastFunc, requests []restriction.Request) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return send(ctx, requests)
}

// propose proposes pending requests to the log, if this instance leads it.
func (r *Registry) propose(ctx context.Context, requests []restriction.Request) {
	r.mu.Lock()
	log := r.log // attached: there are no requests before
	r.mu.Unlock()
	if !log.IsLeader() {
		return
	}
	for _, request := range requests {
		command := config.Command{Kind: config.RestrictServer, Restriction: &request}
		result, err := log.Propose(ctx, command)
		if err != nil {
			r.cfg.Counters.Add("restrictions_not_proposed", 1)
			return // no quorum at present: the worker retries
		}
		if result.Reason != config.Applied && result.Reason != config.AlreadySettled {
			eventlog.RestrictionRejected.Log(request.ID, request.Server, request.Level, string(result.Reason))
		}
	}
}
