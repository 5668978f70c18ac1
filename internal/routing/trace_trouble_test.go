package routing_test

import "time"

// phase is a range of turns with the same load and the same kinds of faults.
type phase struct {
	name               string
	turns              int
	step               time.Duration // mean time between turns
	load               float64       // as a share of the fleet's capacity
	slowServers        int           // number of slow servers; likewise for the next fields
	failingServers     int
	checkLosingServers int // servers that lose health checks
	unreachableServers int
	silentServers      int
	overloadedServers  int
	turnsPerPause      int     // mean number of turns between pauses of the whole fleet; 0: none
	turnsPerListChange int     // mean number of turns between changes of the endpoint list
	turnsPerShardMove  int     // mean number of turns between moves of a shard; 0: none
	lostShare          float64 // share of attempts that get no response
	outage             bool    // discovery fails
}

const millisecond = time.Millisecond

// phases are played in this order for every variant.
var phases = []phase{
	{name: "quiet", turns: 100, step: 9 * millisecond, load: 0.3, turnsPerListChange: 60},
	{name: "trouble", turns: 220, step: 12 * millisecond, load: 0.45, turnsPerListChange: 25, turnsPerShardMove: 12,
		slowServers: 1, failingServers: 2, checkLosingServers: 2, unreachableServers: 1, overloadedServers: 1},
	{name: "overload", turns: 140, step: 6 * millisecond, load: 2, turnsPerListChange: 80},
	{name: "recovery", turns: 180, step: 20 * millisecond, load: 0.35, turnsPerListChange: 30},
	{name: "pauses", turns: 150, step: 10 * millisecond, load: 0.4, turnsPerListChange: 60, turnsPerPause: 60,
		silentServers: 2},
	{name: "outage", turns: 200, step: 300 * millisecond, load: 0.2, turnsPerListChange: 20, outage: true,
		failingServers: 1, unreachableServers: 1},
	{name: "lost attempts", turns: 200, step: 20 * millisecond, load: 0.25, turnsPerListChange: 100,
		turnsPerShardMove: 12, lostShare: 0.6},
	{name: "overload in trouble", turns: 150, step: 8 * millisecond, load: 1.3, turnsPerListChange: 40,
		turnsPerShardMove: 12, slowServers: 2, checkLosingServers: 1, silentServers: 1, failingServers: 1,
		turnsPerPause: 90},
	{name: "quiet again", turns: 200, step: 12 * millisecond, load: 0.3, turnsPerListChange: 30},
}

// startPhase starts a phase: it clears the faults of the previous phase and draws servers for those of the new one.
func (w *world) startPhase(p phase) {
	w.phase = p
	for _, s := range w.servers {
		s.clearFaults()
	}
	list := w.readyServers()
	w.random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	take := func(count int, setFault func(*simServer)) {
		for range min(count, len(list)-1) {
			setFault(list[0])
			list = list[1:]
		}
	}
	take(p.slowServers, func(s *simServer) { s.slowdown = 3 + 5*w.random.Float64() })
	take(p.failingServers, func(s *simServer) { s.failureRate = 0.3 + 0.6*w.random.Float64() })
	take(p.checkLosingServers, func(s *simServer) { s.checkLossRate = 0.4 + 0.5*w.random.Float64() })
	take(p.unreachableServers, func(s *simServer) { s.unreachable = true })
	take(p.silentServers, func(s *simServer) { s.silent = true })
	take(p.overloadedServers, func(s *simServer) { s.overloaded = true })
}

// drawIncidents draws the events of a turn that are not caused by queries.
func (w *world) drawIncidents() []event {
	out := w.clientEvents()
	if w.phase.turnsPerPause > 0 && w.oneIn(w.phase.turnsPerPause) {
		length := w.drawDuration(300*millisecond, 900*millisecond)
		for _, s := range w.servers {
			s.pause(w.now, length)
		}
	}
	if w.oneIn(w.phase.turnsPerListChange) {
		out = append(out, w.drawListChange()...)
	}
	if w.phase.turnsPerShardMove > 0 && w.oneIn(w.phase.turnsPerShardMove) {
		out = append(out, w.moveShard()...)
	}
	if w.oneIn(80) {
		out = append(out, warmUpEvent())
	}
	if w.settings.MaxOpen > 0 && w.oneIn(40) {
		out = append(out, capacityChangeEvent(w.settings.MaxOpen/2+w.random.IntN(w.settings.MaxOpen)))
	}
	return out
}

// endpointUpdate returns an endpoint update and counts what it contains.
func (w *world) endpointUpdate(mode string, servers ...*simServer) []event {
	w.counts["list "+mode]++
	for _, s := range servers {
		w.counts["listed "+s.state]++
		if s.startedAt > 0 {
			w.counts["listed cold"]++
		}
	}
	return []event{endpointUpdateEvent(mode, servers)}
}

// drawListChange draws a change of the fleet and returns the endpoint update that results.
func (w *world) drawListChange() []event {
	if w.phase.outage && !w.oneIn(6) {
		return w.endpointUpdate("failed")
	}
	list := w.readyServers()
	s := list[w.random.IntN(len(list))]
	switch w.random.IntN(6) {
	case 0:
		return w.drainServer(s)
	case 1:
		s.startedAt = w.now - w.drawDuration(0, 200*millisecond)
		return w.endpointUpdate("delta", s)
	case 2:
		w.addServer(s.cell)
		return w.endpointUpdate("full", w.readyServers()...)
	case 3:
		return w.endpointUpdate("cached", list[:len(list)-w.random.IntN(2)]...)
	case 4:
		return w.endpointUpdate("failed")
	}
	return w.endpointUpdate("full", list...)
}

// drainServer drains a server. It is removed after DrainGrace, and another one is started in its cell after twice that
// time.
func (w *world) drainServer(s *simServer) []event {
	s.state = "draining"
	w.schedule(w.now+w.settings.DrainGrace, func() []event {
		s.state = "gone"
		return w.endpointUpdate("delta", s)
	})
	w.schedule(w.now+2*w.settings.DrainGrace, func() []event { return w.endpointUpdate("delta", w.addServer(s.cell)) })
	return w.endpointUpdate("delta", s)
}

// replyToSubscription schedules the reply to a subscription: the endpoint list, or a failure during an outage.
func (w *world) replyToSubscription() {
	w.schedule(w.now+w.drawDuration(2*millisecond, 30*millisecond), func() []event {
		if w.phase.outage && !w.oneIn(6) {
			return w.endpointUpdate("failed")
		}
		return w.endpointUpdate("full", w.readyServers()...)
	})
}

// moveShard moves a shard to a new one that is placed on randomly chosen servers. After 400 to 900 ms the move is
// undone and the placement removed; parts that are still sent to the new shard then find no replica.
func (w *world) moveShard() []event {
	shard := w.pickShard()
	if shard >= w.settings.Shards { // it has moved already
		return nil
	}
	newShard := w.settings.Shards + shard
	var serverIDs []uint64
	for range 2 {
		list := w.readyServers()
		serverIDs = append(serverIDs, list[w.random.IntN(len(list))].id)
	}
	w.movedTo[shard] = newShard
	w.endAttemptsAtMovedShard(shard)
	w.schedule(w.now+w.drawDuration(400*millisecond, 900*millisecond), func() []event {
		delete(w.movedTo, shard)
		return []event{shardPlacementEvent(newShard, nil)}
	})
	return []event{shardPlacementEvent(newShard, serverIDs)}
}

// endAttemptsAtMovedShard ends some of the attempts in flight at a shard that moves, with the outcome "stale".
func (w *world) endAttemptsAtMovedShard(shard int) {
	for _, q := range w.queries {
		for _, p := range q.parts {
			if p.shard != shard || len(p.attempts) == 0 || len(p.attempts) == 1 && w.oneIn(3) {
				continue
			}
			a := p.attempts[len(p.attempts)-1]
			due := w.now + w.drawDuration(millisecond, 40*millisecond)
			w.schedule(due, func() []event { return w.shardMoved(a, w.settings.Shards+shard) })
		}
	}
}
