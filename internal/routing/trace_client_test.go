package routing_test

import (
	"slices"
	"time"
)

// pickClass draws the class of a query, weighted by the classes' shares.
func (w *world) pickClass() int {
	sum := 0.0
	for _, c := range w.site.Class {
		sum += float64(c.Share)
	}
	draw := w.random.Float64() * sum
	for i, c := range w.site.Class {
		draw -= float64(c.Share)
		if draw < 0 {
			return i
		}
	}
	return 0
}

// newQuery creates a query and returns its arrival and those of its parts.
func (w *world) newQuery(earlierTries int) []event {
	class := w.pickClass()
	w.nextID++
	q := &simQuery{
		id:           w.nextID,
		number:       w.nextID,
		class:        class,
		partCount:    int(w.site.Fam.Class[class].Parts) + w.random.IntN(3),
		work:         w.site.Class[class].Work.milliseconds(),
		earlierTries: earlierTries,
	}
	if w.oneIn(150) {
		q.partCount = 0
	}
	if len(w.settings.Tenants) > 0 {
		q.tenant = w.random.IntN(len(w.settings.Tenants) + 1) // the last is unknown
	}
	deadline := w.settings.Classes[class].Deadline
	q.timeout = w.drawDuration(deadline*7/10, deadline)
	w.queries = append(w.queries, q)
	w.openQueries[q.id] = q
	out := []event{arrivalOfQuery(q, earlierTries > 0)}
	for _, weight := range w.weights(q.partCount) {
		out = append(out, arrivalOfPart(w.newPart(q, w.pickShard(), weight)))
	}
	if w.oneIn(300) {
		unknownQuery := &simQuery{number: 1 << 40, timeout: time.Second}
		out = append(out, arrivalOfPart(&simPart{id: 1 << 40, query: unknownQuery, weight: 1}))
	}
	return out
}

func (w *world) newPart(q *simQuery, shard int, weight float64) *simPart {
	w.nextID++
	p := &simPart{id: w.nextID, query: q, shard: shard, weight: weight}
	w.parts[p.id] = p
	q.parts = append(q.parts, p)
	return p
}

// weights draws the weights of a query's parts. Their sum may be slightly below 1, as sums of rounded weights are.
func (w *world) weights(count int) []float64 {
	out := make([]float64, count)
	sum := 0.0
	for i := range out {
		out[i] = 0.5 + w.random.Float64()
		sum += out[i]
	}
	total := 1.0
	if w.oneIn(4) {
		total -= 3e-4 * w.random.Float64()
	}
	for i := range out {
		out[i] *= total / sum
	}
	return out
}

// pickShard draws a shard; low numbers are more frequent. For a shard that has moved it returns the new one.
func (w *world) pickShard() int {
	draw := w.random.Float64()
	shard := int(draw * draw * float64(w.settings.Shards))
	for {
		next, moved := w.movedTo[shard]
		if !moved {
			return shard
		}
		shard = next
	}
}

// closeQuery removes a query that has ended from the open queries.
func (w *world) closeQuery(id uint64) {
	q := w.openQueries[id]
	if q == nil {
		return
	}
	delete(w.openQueries, id)
	w.queries = slices.DeleteFunc(w.queries, func(o *simQuery) bool { return o == q })
	for _, p := range q.parts {
		w.closePart(p)
	}
}

// retryRejected handles the rejection of a query: half of the clients send it again, up to three times. One in four of
// them ignores the advised delay.
func (w *world) retryRejected(id uint64, after time.Duration) {
	q := w.openQueries[id]
	w.closeQuery(id)
	if q == nil || q.earlierTries > 2 || w.oneIn(2) {
		return
	}
	wait := w.drawDuration(40*time.Millisecond, 300*time.Millisecond)
	if !w.oneIn(4) {
		wait = max(wait, after)
	}
	w.schedule(w.now+wait, func() []event { return w.newQuery(q.earlierTries + 1) })
}

// clientEvents draws client disconnects, body evictions, and events that refer to unknown ids.
func (w *world) clientEvents() []event {
	var out []event
	if len(w.queries) > 0 && w.oneIn(60) {
		q := w.queries[w.random.IntN(len(w.queries))]
		w.closeQuery(q.id)
		out = append(out, clientDisconnectedEvent(q.id))
	}
	if len(w.queries) > 0 && w.oneIn(60) {
		q := w.queries[w.random.IntN(len(w.queries))]
		for _, p := range q.parts {
			if w.oneIn(2) {
				out = append(out, bodyEvictedEvent(p.id))
			}
		}
	}
	if w.oneIn(100) {
		out = append(out, gossipMessageEvent(), bodyEvictedEvent(1<<40), clientDisconnectedEvent(1<<40))
	}
	return out
}
