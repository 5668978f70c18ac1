package routing_test

import "time"

// sendPart sends an attempt to its server and schedules its outcome.
func (w *world) sendPart(id, server uint64, timeout, until time.Duration) {
	p := w.parts[id]
	a := &simAttempt{part: p, number: len(p.attempts), server: w.servers[server-1], sentAt: w.now}
	p.attempts = append(p.attempts, a)
	written := w.now + w.drawDuration(200*time.Microsecond, time.Millisecond)
	if w.settings.MaxWriteDelay > 0 && w.oneIn(10) {
		written += w.drawDuration(0, w.settings.MaxWriteDelay)
	}
	if w.oneIn(200) || written >= until {
		w.scheduleOutcome(a, written, "moot")
		return
	}
	if next, moved := w.movedTo[p.shard]; moved {
		w.schedule(written+time.Millisecond, func() []event { return w.shardMoved(a, next) })
		return
	}
	due, code := w.drawOutcome(a, written)
	if limit := w.now + timeout; due > limit {
		due, code = limit, "timed-out"
	}
	w.scheduleOutcome(a, due, code)
	if w.oneIn(50) {
		w.schedule(w.now+time.Millisecond, func() []event { return []event{streamStartedEvent(a)} })
	}
}

// drawOutcome determines when an attempt ends at its server, and with which outcome.
func (w *world) drawOutcome(a *simAttempt, written time.Duration) (due time.Duration, code string) {
	s := a.server
	never := w.now + time.Hour
	switch {
	case s.unreachable || s.state == "gone":
		return written + w.drawDuration(time.Millisecond, 20*time.Millisecond), "connect-failed"
	case s.silent || w.random.Float64() < w.phase.lostShare:
		return never, "timed-out"
	case s.overloaded:
		return written + time.Millisecond, "full"
	case w.random.Float64() < s.failureRate:
		return written + w.drawDuration(2*time.Millisecond, 200*time.Millisecond), "errored"
	}
	work := time.Duration(float64(a.part.query.work) * (0.6 + 0.8*w.random.Float64()))
	end, accepted := s.serve(written, work)
	if !accepted {
		return written + time.Millisecond, "full"
	}
	if w.oneIn(60) {
		return end - work/2, "reset"
	}
	return end + w.drawDuration(200*time.Microsecond, 2*time.Millisecond), "ok"
}

// scheduleOutcome schedules the outcome of an attempt. An attempt that is closed earlier has no further outcome.
func (w *world) scheduleOutcome(a *simAttempt, due time.Duration, code string) {
	w.schedule(due, func() []event {
		if a.closed {
			return nil
		}
		return []event{w.closeAttempt(a, code)}
	})
}

// closeAttempt closes an attempt and returns its result event. A response of the server may carry its load report.
func (w *world) closeAttempt(a *simAttempt, code string) event {
	a.closed = true
	a.part.answered = a.part.answered || code == "ok"
	w.counts["outcome "+code]++
	var report []float64
	answered := code == "ok" || code == "errored" || code == "full"
	if answered && (w.site.Tier[0].Report.How == "answers" || w.oneIn(20)) {
		report = a.server.loadReport(w.now, w.settings.ReportFields, w.random)
	}
	return attemptResultEvent(a, code, w.now-a.sentAt, report)
}

// cancelAttempt schedules the cancellation of an attempt; a response may arrive before it. One cancel in five has no
// effect.
func (w *world) cancelAttempt(part uint64, number int) {
	a := w.attempt(part, number)
	if a == nil || a.closed || w.oneIn(5) {
		return
	}
	w.scheduleOutcome(a, w.now+w.drawDuration(500*time.Microsecond, 3*time.Millisecond), "cancelled")
}

// attempt returns an attempt of a part, also of a part whose query has ended; nil if it does not exist.
func (w *world) attempt(part uint64, number int) *simAttempt {
	p := w.parts[part]
	if p == nil {
		p = w.closedParts[part]
	}
	if p == nil || number >= len(p.attempts) {
		return nil
	}
	return p.attempts[number]
}

// shardMoved returns the events of an attempt whose shard has moved: its outcome and, if its part is still open, the
// replacement of the part.
func (w *world) shardMoved(a *simAttempt, newShard int) []event {
	if a.closed {
		return nil
	}
	out := []event{w.closeAttempt(a, "stale")}
	p := a.part
	if w.parts[p.id] == nil {
		return out
	}
	replaced := []*simPart{p}
	for _, other := range p.query.parts {
		if other != p && w.parts[other.id] != nil && !other.answered && (len(other.attempts) > 1 || w.oneIn(2)) {
			replaced = append(replaced, other)
		}
	}
	return append(out, w.replaceParts(replaced, newShard)...)
}

// replaceParts replaces some parts of a query by two parts of another shard. A quarter of the weight may have been
// received already.
func (w *world) replaceParts(replaced []*simPart, newShard int) []event {
	weight := 0.0
	for _, p := range replaced {
		weight += p.weight
		w.closePart(p)
	}
	receivedWeight := 0.0
	if w.oneIn(2) {
		receivedWeight = weight / 4
	}
	q := replaced[0].query
	replacements := []*simPart{
		w.newPart(q, newShard, (weight-receivedWeight)/2),
		w.newPart(q, newShard, (weight-receivedWeight)/2),
	}
	if w.oneIn(4) {
		w.schedule(w.now+w.drawDuration(0, 60*time.Millisecond), func() []event {
			return []event{bodyEvictedEvent(replacements[0].id), bodyEvictedEvent(replacements[1].id)}
		})
	}
	return []event{partsReplacedEvent(replaced, receivedWeight, replacements)}
}

// closePart moves a part that is no longer open to closedParts: its attempts may still have results.
func (w *world) closePart(p *simPart) {
	delete(w.parts, p.id)
	w.closedParts[p.id] = p
}

// checkHealth sends a health check to its server and schedules the result.
func (w *world) checkHealth(server uint64) {
	s := w.servers[server-1]
	sent := w.now
	took := w.drawDuration(400*time.Microsecond, 6*time.Millisecond)
	code := "ok"
	switch {
	case s.unreachable || s.state == "gone":
		code = "connect-failed"
	case s.silent || w.random.Float64() < s.checkLossRate:
		took = w.site.Tier[0].Probe.Timeout.milliseconds()
		code = "timed-out"
	case w.oneIn(4):
		took += w.drawDuration(0, 25*time.Millisecond)
	}
	w.schedule(sent+took, func() []event {
		var report []float64
		if code == "ok" && (w.site.Tier[0].Report.How == "probes" || w.oneIn(3)) {
			report = s.loadReport(w.now, w.settings.ReportFields, w.random)
		}
		w.counts["probed "+code]++
		return []event{healthCheckResultEvent(server, code, w.now-sent, report)}
	})
}
