package routing_test

import "time"

// phase is a range of turns with the same load and the same kinds of faults.
type phase struct {
	name        string
	turns       int
	step        time.Duration // mean time between turns
	load        float64       // as a share of the fleet's capacity
	slow        int           // number of slow servers; likewise for the next fields
	failing     int
	lossy       int // servers that lose health checks
	unreachable int
	silent      int
	jammed      int
	pauses      int     // mean number of turns between pauses of the whole fleet; 0: none
	news        int     // mean number of turns between changes of the endpoint list
	moves       int     // mean number of turns between moves of a shard; 0: none
	lost        float64 // share of attempts that get no response
	outage      bool    // discovery fails
}

const millisecond = time.Millisecond

// phases are played in this order for every variant.
var phases = []phase{
	{name: "quiet", turns: 100, step: 9 * millisecond, load: 0.3, news: 60},
	{name: "trouble", turns: 220, step: 12 * millisecond, load: 0.45, news: 25, moves: 12,
		slow: 1, failing: 2, lossy: 2, unreachable: 1, jammed: 1},
	{name: "overload", turns: 140, step: 6 * millisecond, load: 2, news: 80},
	{name: "recovery", turns: 180, step: 20 * millisecond, load: 0.35, news: 30},
	{name: "pauses", turns: 150, step: 10 * millisecond, load: 0.4, news: 60, pauses: 60, silent: 2},
	{name: "outage", turns: 200, step: 300 * millisecond, load: 0.2, news: 20, outage: true, failing: 1, unreachable: 1},
	{name: "lost attempts", turns: 200, step: 20 * millisecond, load: 0.25, news: 100, moves: 12, lost: 0.6},
	{name: "overload in trouble", turns: 150, step: 8 * millisecond, load: 1.3, news: 40, moves: 12,
		slow: 2, lossy: 1, silent: 1, failing: 1, pauses: 90},
	{name: "quiet again", turns: 200, step: 12 * millisecond, load: 0.3, news: 30},
}

// begin starts a phase: it clears the faults of the previous phase and draws servers for those of the new one.
func (w *world) begin(p phase) {
	w.phase = p
	for _, s := range w.servers {
		s.recover()
	}
	list := w.ready()
	w.random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	take := func(count int, trouble func(*simServer)) {
		for range min(count, len(list)-1) {
			trouble(list[0])
			list = list[1:]
		}
	}
	take(p.slow, func(s *simServer) { s.slow = 3 + 5*w.random.Float64() })
	take(p.failing, func(s *simServer) { s.failing = 0.3 + 0.6*w.random.Float64() })
	take(p.lossy, func(s *simServer) { s.lossy = 0.4 + 0.5*w.random.Float64() })
	take(p.unreachable, func(s *simServer) { s.unreachable = true })
	take(p.silent, func(s *simServer) { s.silent = true })
	take(p.jammed, func(s *simServer) { s.jammed = true })
}

// incidents draws the events of a turn that are not caused by queries.
func (w *world) incidents() []event {
	out := w.clientEvents()
	if w.phase.pauses > 0 && w.chance(w.phase.pauses) {
		length := w.between(300*millisecond, 900*millisecond)
		for _, s := range w.servers {
			s.pause(w.now, length)
		}
	}
	if w.chance(w.phase.news) {
		out = append(out, w.listNews()...)
	}
	if w.phase.moves > 0 && w.chance(w.phase.moves) {
		out = append(out, w.move()...)
	}
	if w.chance(80) {
		out = append(out, warmUpEvent())
	}
	if w.set.MaxOpen > 0 && w.chance(40) {
		out = append(out, capacityChangeEvent(w.set.MaxOpen/2+w.random.IntN(w.set.MaxOpen)))
	}
	return out
}

// list returns an endpoint update and counts what it contains.
func (w *world) list(mode string, servers ...*simServer) []event {
	w.counts["list "+mode]++
	for _, s := range servers {
		w.counts["listed "+s.state]++
		if s.since > 0 {
			w.counts["listed cold"]++
		}
	}
	return []event{endpointUpdateEvent(mode, servers)}
}

// listNews draws a change of the fleet and returns the endpoint update that results.
func (w *world) listNews() []event {
	if w.phase.outage && !w.chance(6) {
		return w.list("failed")
	}
	list := w.ready()
	s := list[w.random.IntN(len(list))]
	switch w.random.IntN(6) {
	case 0:
		return w.drain(s)
	case 1:
		s.since = w.now - w.between(0, 200*millisecond)
		return w.list("delta", s)
	case 2:
		w.addServer(s.cell)
		return w.list("full", w.ready()...)
	case 3:
		return w.list("cached", list[:len(list)-w.random.IntN(2)]...)
	case 4:
		return w.list("failed")
	}
	return w.list("full", list...)
}

// drain drains a server. It is removed after DrainGrace, and another one is started in its cell after twice that
// time.
func (w *world) drain(s *simServer) []event {
	s.state = "draining"
	w.at(w.now+w.set.DrainGrace, func() []event {
		s.state = "gone"
		return w.list("delta", s)
	})
	w.at(w.now+2*w.set.DrainGrace, func() []event { return w.list("delta", w.addServer(s.cell)) })
	return w.list("delta", s)
}

// subscribed schedules the reply to a subscription: the endpoint list, or a failure during an outage.
func (w *world) subscribed() {
	w.at(w.now+w.between(2*millisecond, 30*millisecond), func() []event {
		if w.phase.outage && !w.chance(6) {
			return w.list("failed")
		}
		return w.list("full", w.ready()...)
	})
}

// move moves a shard to a new one that is placed on randomly chosen servers. After 400 to 900 ms the move is undone and
// the placement removed; parts that are still sent to the new shard then find no replica.
func (w *world) move() []event {
	shard := w.pickShard()
	if shard >= w.set.Shards { // it has moved already
		return nil
	}
	target := w.set.Shards + shard
	var holders []uint64
	for range 2 {
		list := w.ready()
		holders = append(holders, list[w.random.IntN(len(list))].id)
	}
	w.moved[shard] = target
	w.overtake(shard)
	w.at(w.now+w.between(400*millisecond, 900*millisecond), func() []event {
		delete(w.moved, shard)
		return []event{shardPlacementEvent(target, nil)}
	})
	return []event{shardPlacementEvent(target, holders)}
}

// overtake ends some of the attempts in flight at a shard that moves, with the outcome "stale".
func (w *world) overtake(shard int) {
	for _, q := range w.queries {
		for _, p := range q.parts {
			if p.shard != shard || len(p.attempts) == 0 || len(p.attempts) == 1 && w.chance(3) {
				continue
			}
			a := p.attempts[len(p.attempts)-1]
			due := w.now + w.between(millisecond, 40*millisecond)
			w.at(due, func() []event { return w.stale(a, w.set.Shards+shard) })
		}
	}
}
