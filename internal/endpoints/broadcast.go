package endpoints

import (
	"context"
	"time"

	"linkpass/internal/config"
	"linkpass/internal/config/restriction"
	"linkpass/internal/eventlog"
)

// broadcastTimeout limits one call of a BroadcastFunc.
const broadcastTimeout = 300 * time.Millisecond

// newBroadcaster returns a worker that sends another instance all requests until it has acknowledged them.
func (r *Registry) newBroadcaster(id string, send BroadcastFunc) *worker {
	acknowledged := map[restriction.ID]bool{}
	return newWorker(r.requestsToBroadcast, func(ctx context.Context, requests []restriction.Request) {
		r.broadcast(ctx, id, send, requests, acknowledged)
	})
}

// requestsToBroadcast returns the requests that the other instances must receive: the pending and the recent ones, none
// before Attach.
func (r *Registry) requestsToBroadcast() []restriction.Request {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.log == nil {
		return nil
	}
	return r.recent.appendTo(r.pending.List())
}

// broadcast sends another instance those of the requests that it has not acknowledged. Afterwards acknowledged has the
// ids of the given requests that the instance has received, and no others.
func (r *Registry) broadcast(ctx context.Context, id string, send BroadcastFunc, requests []restriction.Request,
	acknowledged map[restriction.ID]bool) {
	var unacknowledged, delivered []restriction.Request
	for _, request := range requests {
		if acknowledged[request.ID] {
			delivered = append(delivered, request)
		} else {
			unacknowledged = append(unacknowledged, request)
		}
	}
	if len(unacknowledged) > 0 {
		if err := sendWithTimeout(ctx, broadcastTimeout, send, unacknowledged); err != nil {
			r.cfg.Counters.Add("restrictions_unacknowledged_"+id, 1)
		} else {
			delivered = append(delivered, unacknowledged...)
		}
	}
	clear(acknowledged)
	for _, request := range delivered {
		acknowledged[request.ID] = true
	}
}

func sendWithTimeout(ctx context.Context, timeout time.Duration, send BroadcastFunc, requests []restriction.Request) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return send(ctx, requests)
}

// requestsToPropose returns the pending requests, none before Attach.
func (r *Registry) requestsToPropose() []restriction.Request {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.log == nil {
		return nil
	}
	return r.pending.List()
}

// propose proposes pending requests to the log, if this instance leads it.
func (r *Registry) propose(ctx context.Context, requests []restriction.Request) {
	r.mu.Lock()
	log := r.log // not nil: there are no requests before Attach
	r.mu.Unlock()
	if !log.IsLeader() {
		return
	}
	for _, request := range requests {
		command := config.Command{Kind: config.RestrictServer, Restriction: &request}
		result, err := log.Propose(ctx, command)
		if err != nil {
			r.cfg.Counters.Add("restrictions_not_proposed", 1)
			return // there is no quorum at present; the worker retries
		}
		if result.Reason != config.Applied && result.Reason != config.AlreadySettled {
			eventlog.RestrictionRejected.Log(request.ID, request.Server, request.Level, string(result.Reason))
		}
	}
}
