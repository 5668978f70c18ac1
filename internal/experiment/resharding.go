package experiment

import (
	"context"
	"fmt"
	"sync"
	"time"

	"linkpass/internal/emulator"
)

const (
	reshardingDrainEvery = 4 * time.Second
	reshardingKillEvery  = 3 * time.Second
)

// ReshardingConfig configures RunResharding, the experiment on changes of shards under load.
type ReshardingConfig struct {
	Seeds   []uint64
	Seconds int           // duration of a run
	Servers int           // number of league servers
	Rate    float64       // queries per second in each run
	Every   time.Duration // time between two changes of each index
	Out     string        // directory of table and chart; if empty, none are written
}

// reshardingRun is one of the runs that are compared.
type reshardingRun struct {
	name     string
	reshards bool // the shards are split, merged and moved
	kills    bool // servers are killed and restart
	replans  bool // parts that find their shard moved are sent to its new replicas; otherwise they fail
}

// reshardingRuns are the runs that are compared: without changes of shards (still), with changes (reshape), and with
// changes while moved parts fail (refuse), each without and with kills of servers.
var reshardingRuns = []reshardingRun{
	{"still", false, false, true},
	{"reshape", true, false, true},
	{"refuse", true, false, false},
	{"still+deaths", false, true, true},
	{"reshape+deaths", true, true, true},
	{"refuse+deaths", true, true, false},
}

// reshardingResult is the result of one run with one seed.
type reshardingResult struct {
	*loadResult
	run         reshardingRun
	seed        uint64
	disruptions map[string]int // see disruption.counts

	switched, abandoned int64 // numbers of plans
	lateParts           int64 // parts that a server received more than a second after its drain
	warmupOverloads     int64 // parts begun at a server that was overloaded during its warm-up
	replans             int64
	attempts            int64
	attemptsMoved       int64 // attempts that found their shard moved
}

// RunResharding changes shards under load. The runs of a seed are concurrent and get the same queries. RunResharding
// returns false if a rule was broken, and an error if a run could not start or a result could not be written.
func RunResharding(c ReshardingConfig) (bool, error) {
	all, err := runSeeds(c.Seeds, len(reshardingRuns), func(seed uint64, i int) (reshardingResult, error) { return runResharding(c, seed, i) })
	if err != nil {
		return false, err
	}
	return reportResharding(c, all)
}

// reshardingWorldConfig configures the world of run i. Its retire_after is so short that replicas drop a shard with the
// first assignment after the switch of its plan, so that parts in flight find the shard moved.
func reshardingWorldConfig(c ReshardingConfig, seed uint64, i int) worldConfig {
	run := reshardingRuns[i]
	return worldConfig{
		seed:         seed*100 + uint64(i),
		servers:      c.Servers,
		coordinators: 3,
		shards:       8,
		records:      1000,
		replicas:     2,
		maxOpen:      4000,
		memoryMB:     256,
		resharding:   fmt.Sprintf("moves = 4\nper_server = 2\npoll = \"50ms\"\nretire_after = \"1ms\"\npatience = \"10s\"\nreplan = %v", run.replans),
		capacity: emulator.Capacity{
			Cores:              2,
			WorkPerPart:        20 * time.Millisecond,
			WorkPerRecord:      20 * time.Microsecond,
			Queue:              64,
			CopyRate:           400,
			WarmupDuration:     3 * time.Second,
			WarmupInitialShare: 0.3,
		},
	}
}

// runResharding performs run i of a seed in a world of its own.
func runResharding(c ReshardingConfig, seed uint64, i int) (reshardingResult, error) {
	run := reshardingRuns[i]
	w, err := newWorld(reshardingWorldConfig(c, seed, i))
	if err != nil {
		return reshardingResult{}, err
	}
	defer w.close()
	result := newLoadResult()
	d := &disruption{pauses: true, drainEvery: reshardingDrainEvery, counts: map[string]int{}}
	if run.reshards {
		d.reshardEvery = c.Every
	}
	if run.kills {
		d.killEvery = reshardingKillEvery
	}
	w.runDisrupted(d, seed, drawQueries(seed, time.Duration(c.Seconds)*time.Second, c.Rate, w.fleet.Records), result)
	out := reshardingResult{
		loadResult:    result,
		run:           run,
		seed:          seed,
		disruptions:   d.counts,
		switched:      w.counterSum("resharding_switched"),
		abandoned:     w.counterSum("resharding_abandoned"),
		lateParts:     w.fleet.LateParts(),
		replans:       w.counterSum("replans"),
		attempts:      w.counterSum("attempts_sent"),
		attemptsMoved: w.counterSum("attempts_shard_moved"),
	}
	for _, server := range w.fleet.Servers {
		out.warmupOverloads += server.OverloadedWhileWarming.Load()
	}
	return out, nil
}

// runDisrupted runs queries during a disruption. After the last query it stops the disruption and waits
// until that has ended.
func (w *world) runDisrupted(d *disruption, seed uint64, queries []query, result *loadResult) {
	ctx, stop := context.WithCancel(context.Background())
	var disrupting sync.WaitGroup
	disrupting.Go(func() { d.run(ctx, w, seed) })
	w.runQueries(queries, result)
	stop()
	disrupting.Wait()
}
