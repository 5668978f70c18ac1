package experiment

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"linkpass/internal/discovery"
	"linkpass/internal/emulator"
)

// Keys of disruption.counts. The first three are also the kinds of a shardCommand, under the names that the API has
// for them.
const (
	disruptionSplit    = "split"
	disruptionMerge    = "merge"
	disruptionMove     = "move"
	disruptionRejected = "refused"
	disruptionDrain    = "drains"
	disruptionKill     = "deaths"
)

const (
	disruptionTick  = 20 * time.Millisecond
	drainDuration   = 2500 * time.Millisecond // time until a drained server is in service again
	killListedAfter = 800 * time.Millisecond  // time until discovery lists a killed server as terminated
	killDuration    = 2 * time.Second         // time until a killed server restarts
)

// disruption says which faults and changes a world undergoes while it runs queries.
type disruption struct {
	reshardEvery time.Duration  // time between changes of each index's shards; 0: no changes
	drainEvery   time.Duration  // time between drains of a server; 0: no drains
	killEvery    time.Duration  // time between kills of a server; 0: no kills
	pauses       bool           // servers pause at random times, as the constants of pauses.go say
	counts       map[string]int // number of disruptions carried out, and of rejected commands, by kind
}

// disruptor carries out a disruption. Only the goroutine of disruption.run uses it, so it needs no lock.
type disruptor struct {
	*disruption
	world *world
	rng   *rand.Rand
	begin time.Time

	nextReshard, nextDrain, nextKill time.Duration   // since begin
	nextPause                        []time.Duration // of each server, in the order of the fleet; since begin
	switchPauses                     []switchPause
	recoveries                       []recovery
}

// recovery ends the drain or the kill of one server.
type recovery interface {
	// advance performs the steps that are due. It returns true when the recovery is finished.
	advance(d *disruptor) bool
}

// run disrupts a world until the context ends. All random choices are drawn from the seed.
func (p *disruption) run(ctx context.Context, w *world, seed uint64) {
	d := newDisruptor(p, w, seed)
	ticker := time.NewTicker(disruptionTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			d.step()
		}
	}
}

func newDisruptor(p *disruption, w *world, seed uint64) *disruptor {
	d := &disruptor{disruption: p, world: w, rng: rand.New(rand.NewPCG(seed, 2)), begin: time.Now()}
	d.nextReshard, d.nextDrain, d.nextKill = p.reshardEvery/2, p.drainEvery, p.killEvery
	d.nextPause = make([]time.Duration, len(w.fleet.Servers))
	for i := range d.nextPause {
		d.nextPause[i] = d.drawDuration(firstPauseWithin)
	}
	return d
}

func (d *disruptor) elapsed() time.Duration { return time.Since(d.begin) }

func (d *disruptor) drawDuration(below time.Duration) time.Duration {
	return time.Duration(d.rng.Int64N(int64(below)))
}

// step carries out what is due. The order of the steps is fixed, because they draw from one random source.
func (d *disruptor) step() {
	d.recoveries = slices.DeleteFunc(d.recoveries, func(r recovery) bool { return r.advance(d) })
	if d.reshardEvery > 0 && d.elapsed() >= d.nextReshard {
		d.nextReshard += d.reshardEvery
		d.reshard(d.elapsed())
	}
	if d.pauses {
		d.pauseServers()
	}
	d.pauseAtSwitches()
	if d.drainEvery > 0 && d.elapsed() >= d.nextDrain {
		d.nextDrain += d.drainEvery
		d.drain()
	}
	if d.killEvery > 0 && d.elapsed() >= d.nextKill {
		d.nextKill += d.killEvery
		d.kill()
	}
}

// drain drains a redundant server for drainDuration. It does nothing if there is no such server.
func (d *disruptor) drain() {
	server := d.drawRedundantServer()
	if server == nil {
		return
	}
	d.world.fleet.SetState(server, discovery.StateTerminating)
	d.recoveries = append(d.recoveries, &drainRecovery{server, d.elapsed() + drainDuration})
	d.counts[disruptionDrain]++
}

type drainRecovery struct {
	server *emulator.Server
	at     time.Duration
}

func (r *drainRecovery) advance(d *disruptor) bool {
	if d.elapsed() < r.at {
		return false
	}
	d.world.fleet.SetState(r.server, discovery.StateInService)
	return true
}

// kill kills a redundant server, which loses its data and restarts after killDuration. It does nothing if there is no
// such server.
func (d *disruptor) kill() {
	server := d.drawRedundantServer()
	if server == nil {
		return
	}
	server.Kill(true)
	d.recoveries = append(d.recoveries, &killRecovery{server: server, listAt: d.elapsed() + killListedAfter, restartAt: d.elapsed() + killDuration})
	d.counts[disruptionKill]++
}

type killRecovery struct {
	server    *emulator.Server
	listed    bool // discovery already lists the server as terminated
	listAt    time.Duration
	restartAt time.Duration
}

func (r *killRecovery) advance(d *disruptor) bool {
	if !r.listed && d.elapsed() >= r.listAt {
		r.listed = true
		d.world.fleet.SetState(r.server, discovery.StateTerminated)
	}
	if d.elapsed() < r.restartAt {
		return false
	}
	if r.server.Restart() == nil {
		d.world.fleet.SetState(r.server, discovery.StateInService)
	}
	return true
}

// drawRedundantServer draws a server in service such that each of its shards has another replica in service. It returns
// nil if there is no such server, or if the shards cannot be listed.
func (d *disruptor) drawRedundantServer() *emulator.Server {
	rows, serving := d.world.shardRows(), d.world.fleet.InService()
	if len(rows) == 0 || len(serving) == 0 {
		return nil
	}
	replicas := map[shardKey]int{}
	for _, row := range rows {
		if slices.Contains(serving, row.Server) {
			replicas[row.key()]++
		}
	}
	d.shuffle(serving)
	for _, name := range serving {
		isLast := func(row shardRow) bool { return row.Server == name && replicas[row.key()] < 2 }
		if !slices.ContainsFunc(rows, isLast) {
			return d.world.fleet.Server(name)
		}
	}
	return nil
}

func (d *disruptor) shuffle(names []string) {
	d.rng.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
}

type shardKey struct {
	index string
	shard uint64
}

func (r shardRow) key() shardKey { return shardKey{r.Index, r.Shard} }
