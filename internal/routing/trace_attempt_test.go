package routing_test

import "time"

// sendPart sends an attempt to its server and schedules its outcome.
func (w *world) sendPart(id, server uint64, timeout, until time.Duration) {
	p := w.parts[id]
	a := &simAttempt{part: p, number: len(p.attempts), server: w.servers[server-1], sent: w.now}
	p.attempts = append(p.attempts, a)
	written := w.now + w.between(200*time.Microsecond, time.Millisecond)
	if w.set.MaxWriteDelay > 0 && w.chance(10) {
		written += w.between(0, w.set.MaxWriteDelay)
	}
	if w.chance(200) || written >= until {
		w.end(a, written, "moot")
		return
	}
	if next, moved := w.moved[p.shard]; moved {
		w.at(written+time.Millisecond, func() []event { return w.stale(a, next) })
		return
	}
	due, code := w.fate(a, written)
	if limit := w.now + timeout; due > limit {
		due, code = limit, "timed-out"
	}
	w.end(a, due, code)
	if w.chance(50) {
		w.at(w.now+time.Millisecond, func() []event { return []event{streamStartedEvent(a)} })
	}
}

// fate determines when an attempt ends at its server, and with which outcome.
func (w *world) fate(a *simAttempt, written time.Duration) (due time.Duration, code string) {
	s := a.server
	never := w.now + time.Hour
	switch {
	case s.unreachable || s.state == "gone":
		return written + w.between(time.Millisecond, 20*time.Millisecond), "connect-failed"
	case s.silent || w.random.Float64() < w.phase.lost:
		return never, "timed-out"
	case s.jammed:
		return written + time.Millisecond, "full"
	case w.random.Float64() < s.failing:
		return written + w.between(2*time.Millisecond, 200*time.Millisecond), "errored"
	}
	work := time.Duration(float64(a.part.query.work) * (0.6 + 0.8*w.random.Float64()))
	end, accepted := s.serve(written, work)
	if !accepted {
		return written + time.Millisecond, "full"
	}
	if w.chance(60) {
		return end - work/2, "reset"
	}
	return end + w.between(200*time.Microsecond, 2*time.Millisecond), "ok"
}

// end schedules the outcome of an attempt. An attempt that is closed earlier has no further outcome.
func (w *world) end(a *simAttempt, due time.Duration, code string) {
	w.at(due, func() []event {
		if a.closed {
			return nil
		}
		return []event{w.outcome(a, code)}
	})
}

// outcome closes an attempt and returns its result event. A response of the server may carry its load report.
func (w *world) outcome(a *simAttempt, code string) event {
	a.closed = true
	a.part.answered = a.part.answered || code == "ok"
	w.counts["outcome "+code]++
	var report []float64
	answered := code == "ok" || code == "errored" || code == "full"
	if answered && (w.site.Tier[0].Report.How == "answers" || w.chance(20)) {
		report = a.server.load(w.now, w.set.ReportFields, w.random)
	}
	return attemptResultEvent(a, code, w.now-a.sent, report)
}

// cancelAttempt schedules the cancellation of an attempt; a response may arrive before it. One cancel in five has no
// effect.
func (w *world) cancelAttempt(part uint64, number int) {
	a := w.attempt(part, number)
	if a == nil || a.closed || w.chance(5) {
		return
	}
	w.end(a, w.now+w.between(500*time.Microsecond, 3*time.Millisecond), "cancelled")
}

// attempt returns an attempt of a part, also of a part whose query has ended; nil if it does not exist.
func (w *world) attempt(part uint64, number int) *simAttempt {
	p := w.parts[part]
	if p == nil {
		p = w.ended[part]
	}
	if p == nil || number >= len(p.attempts) {
		return nil
	}
	return p.attempts[number]
}

// stale returns the events of an attempt whose shard has moved: its outcome and, if its part is still open, the
// replacement of the part.
func (w *world) stale(a *simAttempt, next int) []event {
	if a.closed {
		return nil
	}
	out := []event{w.outcome(a, "stale")}
	p := a.part
	if w.parts[p.id] == nil {
		return out
	}
	yielding := []*simPart{p}
	for _, other := range p.query.parts {
		if other != p && w.parts[other.id] != nil && !other.answered && (len(other.attempts) > 1 || w.chance(2)) {
			yielding = append(yielding, other)
		}
	}
	return append(out, w.replace(yielding, next)...)
}

// replace replaces some parts of a query by two parts of another shard. A quarter of the weight may have been received
// already.
func (w *world) replace(yielding []*simPart, next int) []event {
	weight := 0.0
	for _, p := range yielding {
		weight += p.weight
		w.retire(p)
	}
	in := 0.0
	if w.chance(2) {
		in = weight / 4
	}
	q := yielding[0].query
	heirs := []*simPart{
		w.newPart(q, next, (weight-in)/2),
		w.newPart(q, next, (weight-in)/2),
	}
	if w.chance(4) {
		w.at(w.now+w.between(0, 60*time.Millisecond), func() []event {
			return []event{bodyEvictedEvent(heirs[0].id), bodyEvictedEvent(heirs[1].id)}
		})
	}
	return []event{partsReplacedEvent(yielding, in, heirs)}
}

// retire moves a part that is no longer open to the ended parts: its attempts may still have results.
func (w *world) retire(p *simPart) {
	delete(w.parts, p.id)
	w.ended[p.id] = p
}

// checkHealth sends a health check to its server and schedules the result.
func (w *world) checkHealth(server uint64) {
	s := w.servers[server-1]
	sent := w.now
	took := w.between(400*time.Microsecond, 6*time.Millisecond)
	code := "ok"
	switch {
	case s.unreachable || s.state == "gone":
		code = "connect-failed"
	case s.silent || w.random.Float64() < s.lossy:
		took = w.site.Tier[0].Probe.Timeout.milliseconds()
		code = "timed-out"
	case w.chance(4):
		took += w.between(0, 25*time.Millisecond)
	}
	w.at(sent+took, func() []event {
		var report []float64
		if code == "ok" && (w.site.Tier[0].Report.How == "probes" || w.chance(3)) {
			report = s.load(w.now, w.set.ReportFields, w.random)
		}
		w.counts["probed "+code]++
		return []event{healthCheckResultEvent(server, code, w.now-sent, report)}
	})
}
