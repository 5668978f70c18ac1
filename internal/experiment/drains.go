package experiment

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"linkpass/internal/adminapi"
	"linkpass/internal/emulator"
)

// drainObjective is the time within which a drain must take effect at every running coordinator, from its request on.
const drainObjective = time.Second

// DrainsConfig configures RunDrains, the experiment on drains that the coordinators agree on.
type DrainsConfig struct {
	Seeds  []uint64
	Drains int     // number of drains in each run
	Rate   float64 // queries per second, in the run with all coordinators
	Out    string  // directory of the table; if empty, none is written
}

// drainsRun is one of the runs that are compared.
type drainsRun struct {
	name    string
	running int // coordinators that run, out of drainsCoordinators
}

const drainsCoordinators = 5

// drainsRuns are the runs that are compared: with and without a majority of the coordinators.
var drainsRuns = []drainsRun{{"all five", drainsCoordinators}, {"a minority of two", 2}}

func (r drainsRun) hasAll() bool { return r.running == drainsCoordinators }

// drainsResult is the result of one run with one seed.
type drainsResult struct {
	*loadResult
	run              drainsRun
	seed             uint64
	local            *hdrhistogram.Histogram // time until a drain took effect where it was requested, in microseconds
	everywhere       *hdrhistogram.Histogram // time until it took effect at all running coordinators, in microseconds
	lateCoordinators int64                   // sum of drainLatency.lateCoordinators over all drains
	diverged         int                     // coordinators whose replicated state differed from the first at the end
}

// RunDrains measures how soon a drain that is requested at any coordinator takes effect at every running coordinator:
// in one run under load with a majority, and in one without load and without a majority. RunDrains returns false if a
// rule was broken, and an error if a run could not start, a change failed or a result could not be written.
func RunDrains(c DrainsConfig) (bool, error) {
	var all []drainsResult
	for _, seed := range c.Seeds {
		for _, run := range drainsRuns {
			result, err := runDrains(c, seed, run)
			if err != nil {
				return false, fmt.Errorf("%s, seed %d: %w", run.name, seed, err)
			}
			all = append(all, result)
		}
	}
	return reportDrains(c, all)
}

func drainsWorldConfig(seed uint64, run drainsRun) worldConfig {
	return worldConfig{
		seed:         seed*10 + uint64(run.running),
		servers:      12,
		coordinators: drainsCoordinators,
		shards:       6,
		records:      300,
		replicas:     2,
		maxOpen:      1000,
		memoryMB:     256,
		resharding:   "poll = \"1s\"",
		capacity:     emulator.Capacity{Cores: 2, WorkPerPart: 10 * time.Millisecond, Queue: 64, CopyRate: 400},
	}
}

// runDrains performs one run in a world of its own. It sends queries only if all coordinators run.
func runDrains(c DrainsConfig, seed uint64, run drainsRun) (drainsResult, error) {
	result := drainsResult{loadResult: newLoadResult(), run: run, seed: seed, local: newLatencyHistogram(), everywhere: newLatencyHistogram()}
	w, err := newWorld(drainsWorldConfig(seed, run))
	if err != nil {
		return result, err
	}
	defer w.close()
	if err := w.agreeOnFirstDocument(); err != nil {
		return result, err
	}
	stopLoad := func() {}
	if run.hasAll() {
		stopLoad = w.startLoad(c, seed, result.loadResult)
	}
	w.stopNodes(run.running)
	err = w.drainServers(c, &result)
	stopLoad()
	if err != nil {
		return result, err
	}
	result.diverged, err = w.countDiverged(run.running)
	return result, err
}

// startLoad sends queries in batches of one second until stop is called. Stop waits for the last batch.
func (w *world) startLoad(c DrainsConfig, seed uint64, result *loadResult) (stop func()) {
	var loading sync.WaitGroup
	done := make(chan struct{})
	loading.Go(func() {
		for second := uint64(0); ; second++ {
			select {
			case <-done:
				return
			default:
				w.runQueries(drawQueries(seed+second, time.Second, c.Rate, w.fleet.Records), result)
			}
		}
	})
	return func() {
		close(done)
		loading.Wait()
	}
}

// stopNodes stops the coordinators with the index from or higher in w.nodes, and waits until they have stopped.
func (w *world) stopNodes(from int) {
	for _, n := range w.nodes[from:] {
		n.stop()
		n.done <- <-n.done // waits for the value and puts it back, because world.close receives it too
	}
}

// drainServers drains one server after another, and requests each drain at a random running coordinator. If all
// coordinators run, it undrains each server before the next drain. Otherwise there is no majority and no server can be
// undrained, so it returns once all servers are draining.
func (w *world) drainServers(c DrainsConfig, result *drainsResult) error {
	rng := rand.New(rand.NewPCG(result.seed, 9))
	servers, run := w.fleet.Servers, result.run
	for i := range c.Drains {
		server := servers[i%len(servers)].Name
		latency, err := w.drain(rng.IntN(run.running), run.running, server, !run.hasAll())
		if err != nil {
			return err
		}
		_ = result.local.RecordValue(max(1, latency.localUS))
		_ = result.everywhere.RecordValue(max(1, latency.everywhereUS))
		result.lateCoordinators += latency.lateCoordinators
		if !run.hasAll() {
			if i+1 == len(servers) {
				return nil
			}
			continue
		}
		if err := w.undrain(server); err != nil {
			return err
		}
	}
	return nil
}

// agreeOnFirstDocument waits until the leader has accepted a command, so that the coordinators agree on a first
// document. A drain that is requested before then is settled later than the drains that are measured.
func (w *world) agreeOnFirstDocument() error {
	return w.changeServerAtLeader(adminapi.ServerRequest{Server: w.fleet.Servers[0].Name, Action: actionWeight})
}
