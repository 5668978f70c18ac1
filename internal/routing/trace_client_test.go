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

// newQuery creates a query and returns its arrival and those of its parts. again is the number of earlier tries.
func (w *world) newQuery(again int) []event {
	class := w.pickClass()
	w.nextID++
	q := &simQuery{
		id:     w.nextID,
		number: w.nextID,
		class:  class,
		count:  int(w.site.Fam.Class[class].Parts) + w.random.IntN(3),
		work:   w.site.Class[class].Work.milliseconds(),
		again:  again,
	}
	if w.chance(150) {
		q.count = 0
	}
	if len(w.set.Tenants) > 0 {
		q.tenant = w.random.IntN(len(w.set.Tenants) + 1) // the last is unknown
	}
	deadline := w.set.Classes[class].Deadline
	q.left = w.between(deadline*7/10, deadline)
	w.queries = append(w.queries, q)
	w.open[q.id] = q
	out := []event{arrivalOfQuery(q, again > 0)}
	for _, weight := range w.weights(q.count) {
		out = append(out, arrivalOfPart(w.newPart(q, w.pickShard(), weight)))
	}
	if w.chance(300) {
		stranger := &simQuery{number: 1 << 40, left: time.Second}
		out = append(out, arrivalOfPart(&simPart{id: 1 << 40, query: stranger, weight: 1}))
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
	if w.chance(4) {
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
	shard := int(draw * draw * float64(w.set.Shards))
	for {
		next, moved := w.moved[shard]
		if !moved {
			return shard
		}
		shard = next
	}
}

// closeQuery removes a query that has ended from the open queries.
func (w *world) closeQuery(id uint64) {
	q := w.open[id]
	if q == nil {
		return
	}
	delete(w.open, id)
	w.queries = slices.DeleteFunc(w.queries, func(o *simQuery) bool { return o == q })
	for _, p := range q.parts {
		w.retire(p)
	}
}

// rejected handles the rejection of a query: half of the clients send it again, up to three times. One in four of them
// ignores the advised delay.
func (w *world) rejected(id uint64, after time.Duration) {
	q := w.open[id]
	w.closeQuery(id)
	if q == nil || q.again > 2 || w.chance(2) {
		return
	}
	wait := w.between(40*time.Millisecond, 300*time.Millisecond)
	if !w.chance(4) {
		wait = max(wait, after)
	}
	w.at(w.now+wait, func() []event { return w.newQuery(q.again + 1) })
}

// clientEvents draws client disconnects, body evictions, and events that refer to unknown ids.
func (w *world) clientEvents() []event {
	var out []event
	if len(w.queries) > 0 && w.chance(60) {
		q := w.queries[w.random.IntN(len(w.queries))]
		w.closeQuery(q.id)
		out = append(out, clientDisconnectedEvent(q.id))
	}
	if len(w.queries) > 0 && w.chance(60) {
		q := w.queries[w.random.IntN(len(w.queries))]
		for _, p := range q.parts {
			if w.chance(2) {
				out = append(out, bodyEvictedEvent(p.id))
			}
		}
	}
	if w.chance(100) {
		out = append(out, gossipMessageEvent(), bodyEvictedEvent(1<<40), clientDisconnectedEvent(1<<40))
	}
	return out
}
