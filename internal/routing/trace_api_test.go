package routing_test

import (
	"fmt"
	"time"

	"linkpass/internal/routing"
)

// This is the only file of the golden trace that refers to the package's events and actions. The strings here are part
// of the hashed traces in the golden files, so they stay as they are when the package's interface is renamed.

type (
	event          = routing.Event
	routerSettings = routing.Settings
	reportField    = routing.ReportField
)

// outcomeCodes maps the trace's words for the outcome of an attempt or a health check to the package's codes.
var outcomeCodes = map[string]routing.Code{
	"ok":             routing.OK,
	"errored":        routing.ServerError,
	"full":           routing.Overloaded,
	"timed-out":      routing.TimedOut,
	"connect-failed": routing.ConnectFailed,
	"reset":          routing.ConnReset,
	"cancelled":      routing.Canceled,
	"moot":           routing.NotSent,
	"stale":          routing.ShardMoved,
}

// listModes maps the trace's words for the kind of an endpoint update to its mode.
var listModes = map[string]routing.UpdateMode{
	"delta":  routing.UpdateDelta,
	"full":   routing.UpdateFull,
	"cached": routing.UpdateCached,
	"failed": routing.UpdateFailed,
}

// serverStates maps the trace's words for the state of a server to the state in an endpoint update.
var serverStates = map[string]routing.EndpointState{
	"draining": routing.Draining,
	"ready":    routing.Ready,
	"gone":     routing.Removed,
}

// eventWord returns the word under which events of this type are counted.
func eventWord(e event) string {
	switch e.(type) {
	case routing.EndpointUpdate:
		return "endpoint-update"
	case routing.Arrival:
		return "arrival"
	case routing.StreamStarted:
		return "stream-started"
	case routing.AttemptResult:
		return "attempt-result"
	case routing.ClientDisconnected:
		return "client-disconnected"
	case routing.TimerFired:
		return "timer-fired"
	case routing.HealthCheckResult:
		return "health-check-result"
	case routing.CapacityChange:
		return "capacity-change"
	case routing.WarmUp:
		return "warm-up"
	case routing.ShardPlacement:
		return "shard-placement"
	case routing.PartsReplaced:
		return "parts-replaced"
	case routing.BodyEvicted:
		return "body-evicted"
	case routing.GossipMessage:
		return "gossip-message"
	}
	return fmt.Sprintf("unknown event %T", e)
}

func arrivalOfQuery(q *simQuery, repeat bool) event {
	return routing.Arrival{
		ID:           routing.RequestID(q.id),
		Shard:        -1,
		Timeout:      q.timeout,
		Class:        q.class,
		IsRetry:      repeat,
		ExpectedWork: time.Duration(q.partCount) * q.work,
		Key:          q.id % 7,
		Weight:       float64(q.partCount),
		QueryNumber:  q.number,
		Tenant:       q.tenant,
	}
}

func arrivalOfPart(p *simPart) routing.Arrival {
	return routing.Arrival{
		ID:           routing.RequestID(p.id),
		Shard:        p.shard,
		Timeout:      p.query.timeout,
		Class:        p.query.class,
		ExpectedWork: p.query.work,
		Weight:       p.weight,
		QueryNumber:  p.query.number,
		Tenant:       p.query.tenant,
	}
}

func attemptResultEvent(a *simAttempt, code string, took time.Duration, report []float64) event {
	return routing.AttemptResult{
		ID:         routing.RequestID(a.part.id),
		Attempt:    a.number,
		Server:     routing.ServerID(a.server.id),
		Code:       outcomeCodes[code],
		Latency:    took,
		Final:      true,
		LoadReport: report,
	}
}

func healthCheckResultEvent(server uint64, code string, took time.Duration, report []float64) event {
	return routing.HealthCheckResult{Server: routing.ServerID(server), Code: outcomeCodes[code], Latency: took, LoadReport: report}
}

func shardPlacementEvent(shard int, servers []uint64) event {
	var ids []routing.ServerID
	for _, id := range servers {
		ids = append(ids, routing.ServerID(id))
	}
	return routing.ShardPlacement{Shard: shard, Servers: ids}
}

func partsReplacedEvent(replaced []*simPart, receivedWeight float64, parts []*simPart) event {
	out := routing.PartsReplaced{ReceivedWeight: receivedWeight}
	for _, p := range replaced {
		out.IDs = append(out.IDs, routing.RequestID(p.id))
	}
	for _, p := range parts {
		out.Parts = append(out.Parts, arrivalOfPart(p))
	}
	return out
}

func endpointUpdateEvent(mode string, servers []*simServer) event {
	out := routing.EndpointUpdate{Mode: listModes[mode]}
	for _, s := range servers {
		out.Endpoints = append(out.Endpoints, routing.Endpoint{
			Server:    routing.ServerID(s.id),
			Zone:      s.zone,
			Kind:      s.kind,
			Cell:      s.cell,
			State:     serverStates[s.state],
			Weight:    float64(s.coreCount),
			StartedAt: s.startedAt,
		})
	}
	return out
}

func streamStartedEvent(a *simAttempt) event {
	return routing.StreamStarted{ID: routing.RequestID(a.part.id), Attempt: a.number}
}

func clientDisconnectedEvent(query uint64) event {
	return routing.ClientDisconnected{ID: routing.RequestID(query)}
}

func timerFiredEvent(token uint64) event { return routing.TimerFired{Token: token} }

func bodyEvictedEvent(part uint64) event { return routing.BodyEvicted{ID: routing.RequestID(part)} }

func capacityChangeEvent(open int) event { return routing.CapacityChange{MaxOpen: open} }

func warmUpEvent() event { return routing.WarmUp{} }

func gossipMessageEvent() event { return routing.GossipMessage{From: 1, Data: []byte("load")} }

// router wraps the router under test with what the trace needs.
type router struct{ *routing.Router }

func newRouter(set routerSettings, seed uint64) (router, error) {
	r, err := routing.New(set, seed)
	return router{r}, err
}

// play runs one turn of the router. It writes each action to the trace and carries it out in the simulation.
func (r router) play(w *world, events []event) {
	for _, action := range r.Turn(w.now, events) {
		switch a := action.(type) {
		case routing.Send:
			w.writeAction("send", "part=%d server=%d timeout=%d until=%d", a.ID, a.Server, a.Timeout, a.WriteBefore)
			w.sendPart(uint64(a.ID), uint64(a.Server), a.Timeout, a.WriteBefore)
		case routing.Cancel:
			w.writeAction("cancel", "part=%d attempt=%d", a.ID, a.Attempt)
			w.cancelAttempt(uint64(a.ID), a.Attempt)
		case routing.Reject:
			w.writeAction("reject", "query=%d after=%d", a.ID, a.RetryAfter)
			w.retryRejected(uint64(a.ID), a.RetryAfter)
		case routing.Fail:
			w.writeAction("fail", "query=%d", a.ID)
			w.closeQuery(uint64(a.ID))
		case routing.Answer:
			w.writeAction("answer", "query=%d whole=%t", a.ID, a.Complete)
			w.closeQuery(uint64(a.ID))
		case routing.SetTimer:
			w.writeAction("timer", "after=%d token=%d", a.After, a.Token)
			w.schedule(w.now+a.After, func() []event { return []event{timerFiredEvent(a.Token)} })
		case routing.HealthCheck:
			w.writeAction("health-check", "server=%d", a.Server)
			w.checkHealth(uint64(a.Server))
		case routing.Subscribe:
			w.writeAction("subscribe", "")
			w.replyToSubscription()
		default:
			w.writeAction("unknown", "%T", a)
		}
	}
}

// writeSnapshot writes the router's snapshot of its servers to the trace.
func (r router) writeSnapshot(w *world) {
	for _, s := range r.Snapshot(w.now) {
		w.writeAction("belief", "server=%d state=%s out=%d median=%d lost=%d cold=%t down=%t pause=%d quiet=%d health=%x",
			s.Server, stateWord(s.State), s.InFlight, s.MedianLatency, s.FailedHealthChecks, s.WarmingUp, s.Unreachable, s.Backoff, s.SinceLastSend, s.Health)
	}
	known, avoided := r.EndpointCounts(w.now)
	w.writeAction("listed", "known=%d avoided=%d", known, avoided)
}

func stateWord(state routing.EndpointState) string {
	for word, s := range serverStates {
		if s == state {
			return word
		}
	}
	return "unknown"
}
