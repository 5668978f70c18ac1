package linkpass_test

import (
	"fmt"
	"time"

	"linkpass"
)

// Of the trace's files only this one names the package's events and actions. The words here are those of the golden
// files: they stay as they are when the interface is renamed.

type (
	event          = linkpass.Event
	routerSettings = linkpass.Settings
	reportField    = linkpass.ReportField
)

// outcomeCodes are the words for how an attempt or a probe ended.
var outcomeCodes = map[string]linkpass.Code{
	"ok":             linkpass.OK,
	"errored":        linkpass.Errored,
	"full":           linkpass.Full,
	"timed-out":      linkpass.TimedOut,
	"connect-failed": linkpass.ConnectFailed,
	"reset":          linkpass.Reset,
	"cancelled":      linkpass.Cancelled,
	"moot":           linkpass.Moot,
	"stale":          linkpass.Stale,
}

// listModes are the words for how news of the server list is to be read.
var listModes = map[string]linkpass.ListMode{
	"delta":  linkpass.ListDelta,
	"full":   linkpass.ListFull,
	"cached": linkpass.ListCached,
	"failed": linkpass.ListFailed,
}

// serverStates are the words for what the list says of a server.
var serverStates = map[string]linkpass.ServerState{
	"draining": linkpass.Draining,
	"ready":    linkpass.Ready,
	"gone":     linkpass.Gone,
}

// eventWord names the kind of an event for the counters.
func eventWord(e event) string {
	switch e.(type) {
	case linkpass.ListUpdate:
		return "list"
	case linkpass.Arrival:
		return "arrival"
	case linkpass.Started:
		return "started"
	case linkpass.Outcome:
		return "outcome"
	case linkpass.ClientGone:
		return "client-gone"
	case linkpass.Alarm:
		return "alarm"
	case linkpass.Probed:
		return "probed"
	case linkpass.Room:
		return "room"
	case linkpass.Warm:
		return "warm"
	case linkpass.Placed:
		return "placed"
	case linkpass.Replaced:
		return "replaced"
	case linkpass.Bare:
		return "bare"
	case linkpass.PeerMessage:
		return "peer-message"
	}
	return fmt.Sprintf("unknown event %T", e)
}

func arrivalOfQuery(q *simQuery, repeat bool) event {
	return linkpass.Arrival{
		ID:     linkpass.RequestID(q.id),
		Shard:  -1,
		Left:   q.left,
		Class:  q.class,
		Repeat: repeat,
		Cost:   time.Duration(q.count) * q.work,
		Key:    q.id % 7,
		Amount: float64(q.count),
		Query:  q.number,
		Tenant: q.tenant,
	}
}

func arrivalOfPart(p *simPart) linkpass.Arrival {
	return linkpass.Arrival{
		ID:     linkpass.RequestID(p.id),
		Shard:  p.shard,
		Left:   p.query.left,
		Class:  p.query.class,
		Cost:   p.query.work,
		Amount: p.weight,
		Query:  p.query.number,
		Tenant: p.query.tenant,
	}
}

func outcomeEvent(a *simAttempt, code string, took time.Duration, report []float64) event {
	return linkpass.Outcome{
		ID:      linkpass.RequestID(a.part.id),
		Attempt: a.number,
		Server:  linkpass.ServerID(a.server.id),
		Code:    outcomeCodes[code],
		Took:    took,
		Final:   true,
		Report:  report,
	}
}

func probedEvent(server uint64, code string, took time.Duration, report []float64) event {
	return linkpass.Probed{Server: linkpass.ServerID(server), Code: outcomeCodes[code], Took: took, Report: report}
}

func placedEvent(shard int, servers []uint64) event {
	var ids []linkpass.ServerID
	for _, id := range servers {
		ids = append(ids, linkpass.ServerID(id))
	}
	return linkpass.Placed{Shard: shard, Servers: ids}
}

func replacedEvent(yielding []*simPart, in float64, parts []*simPart) event {
	out := linkpass.Replaced{In: in}
	for _, p := range yielding {
		out.IDs = append(out.IDs, linkpass.RequestID(p.id))
	}
	for _, p := range parts {
		out.Parts = append(out.Parts, arrivalOfPart(p))
	}
	return out
}

func listEvent(mode string, servers []*simServer) event {
	out := linkpass.ListUpdate{Mode: listModes[mode]}
	for _, s := range servers {
		out.Entries = append(out.Entries, linkpass.Entry{
			Server: linkpass.ServerID(s.id),
			Zone:   s.zone,
			Kind:   s.kind,
			Cell:   s.cell,
			State:  serverStates[s.state],
			Weight: float64(s.size),
			Since:  s.since,
		})
	}
	return out
}

func startedEvent(a *simAttempt) event {
	return linkpass.Started{ID: linkpass.RequestID(a.part.id), Attempt: a.number}
}

func clientGoneEvent(query uint64) event { return linkpass.ClientGone{ID: linkpass.RequestID(query)} }

func alarmEvent(token uint64) event { return linkpass.Alarm{Token: token} }

func bareEvent(part uint64) event { return linkpass.Bare{ID: linkpass.RequestID(part)} }

func roomEvent(open int) event { return linkpass.Room{Open: open} }

func warmEvent() event { return linkpass.Warm{} }

func peerMessageEvent() event { return linkpass.PeerMessage{From: 1, Data: []byte("load")} }

// router is what the trace needs of the decision module.
type router struct{ *linkpass.Router }

func newRouter(set routerSettings, seed uint64) (router, error) {
	r, err := linkpass.New(set, seed)
	return router{r}, err
}

// play gives the router one turn and carries out its actions, each of which is written to the trace.
func (r router) play(w *world, events []event) {
	for _, action := range r.Turn(w.now, events) {
		switch a := action.(type) {
		case linkpass.Send:
			w.write("send", "part=%d server=%d timeout=%d until=%d", a.ID, a.Server, a.Timeout, a.Until)
			w.sendPart(uint64(a.ID), uint64(a.Server), a.Timeout, a.Until)
		case linkpass.Cancel:
			w.write("cancel", "part=%d attempt=%d", a.ID, a.Attempt)
			w.cancelAttempt(uint64(a.ID), a.Attempt)
		case linkpass.Refuse:
			w.write("reject", "query=%d after=%d", a.ID, a.RetryAfter)
			w.rejected(uint64(a.ID), a.RetryAfter)
		case linkpass.Fail:
			w.write("fail", "query=%d", a.ID)
			w.closeQuery(uint64(a.ID))
		case linkpass.Answer:
			w.write("answer", "query=%d whole=%t", a.ID, a.Whole)
			w.closeQuery(uint64(a.ID))
		case linkpass.SetTimer:
			w.write("timer", "after=%d token=%d", a.After, a.Token)
			w.at(w.now+a.After, func() []event { return []event{alarmEvent(a.Token)} })
		case linkpass.Probe:
			w.write("health-check", "server=%d", a.Server)
			w.checkHealth(uint64(a.Server))
		case linkpass.Subscribe:
			w.write("subscribe", "")
			w.subscribed()
		default:
			w.write("unknown", "%T", a)
		}
	}
}

// show writes what the router tells of its servers.
func (r router) show(w *world) {
	for _, b := range r.Beliefs(w.now) {
		w.write("belief", "server=%d state=%s out=%d median=%d lost=%d cold=%t down=%t pause=%d quiet=%d health=%x",
			b.Server, stateWord(b.State), b.Out, b.Median, b.Lost, b.Cold, b.Down, b.Pause, b.LastOut, b.Health)
	}
	known, avoided := r.Listed(w.now)
	w.write("listed", "known=%d avoided=%d", known, avoided)
}

func stateWord(state linkpass.ServerState) string {
	for word, s := range serverStates {
		if s == state {
			return word
		}
	}
	return "unknown"
}
