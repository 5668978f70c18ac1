package experiment

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"linkpass/internal/emulator"
)

const (
	bodiesErrorShare    = 0.1 // of the parts at a faulty server
	bodiesFaultyServers = 3   // one server of so many is faulty
)

// BodiesConfig sets up the experiment on the tiers in which bodies are kept for retries.
type BodiesConfig struct {
	Seeds   []uint64
	Seconds int     // length of a run
	Rate    float64 // queries a second
	BodyKiB int     // size of a query's body
	Memory  bool    // measure resident memory too, in a process of its own
	Out     string  // directory of the results; "": none are written
}

// bodiesRuns force each tier by the settings.
var bodiesRuns = []struct{ name, settings string }{
	{"before", "off = true"},
	{"memory", "memory_kib = 65536\nlargest_kib = 65536"},
	{"file", "memory_kib = 2048\nlargest_kib = 8\nfiles_kib = 262144\ndir = \"DIR\""},
	{"none", "memory_kib = 65536\nlargest_kib = 4"},
}

// bodiesResult is the result of one run of one seed.
type bodiesResult struct {
	*loadResult
	run      string
	seed     uint64
	counters map[string]int64 // growth during the run, by counter and class
}

// Counters of a class, whose name follows after an underscore.
const (
	counterRetriesNeeded  = "retries_needed"
	counterRetriesMade    = "retries_made"
	counterRetriesWon     = "retries_won"
	counterRetriesForgone = "retries_forgone"
	counterHedgesForgone  = "hedges_forgone"
	counterBodiesEvicted  = "queries_body_evicted"

	// counterEvictedFinalMS counts, by bucket, the time from the eviction of a query's body to its end.
	counterEvictedFinalMS = "body_evicted_final_ms_"
)

var bodiesCounters = []string{counterRetriesNeeded, counterRetriesMade, counterRetriesWon, counterRetriesForgone, counterHedgesForgone, counterBodiesEvicted}

// evictedFinalBuckets are the upper bounds of the buckets, in milliseconds.
var evictedFinalBuckets = []string{"5", "10", "20", "50", "100", "500", "more"}

// RunBodies forces each tier under servers that fail and pause. It is false if a rule was broken, and fails if a run
// could not start or a result could not be written.
func RunBodies(c BodiesConfig) (bool, error) {
	var all []bodiesResult
	for _, seed := range c.Seeds {
		results, errs := make([]bodiesResult, len(bodiesRuns)), make([]error, len(bodiesRuns))
		var runs sync.WaitGroup
		for i := range bodiesRuns {
			runs.Go(func() { results[i], errs[i] = runBodies(c, seed, i) })
		}
		runs.Wait()
		if err := errors.Join(errs...); err != nil {
			return false, err
		}
		all = append(all, results...)
	}
	return reportBodies(c, all)
}

func bodiesWorld(c BodiesConfig, seed uint64, i int) worldConfig {
	run := bodiesRuns[i]
	return worldConfig{
		seed:         seed*100 + uint64(i),
		servers:      12,
		coordinators: 2,
		shards:       12,
		records:      600,
		replicas:     2,
		maxOpen:      4000,
		memoryMB:     256,
		resharding:   "poll = \"1s\"",
		bodies:       run.settings + fmt.Sprintf("\nmax_body_kib = %d", 2*c.BodyKiB+64),
		capacity: emulator.Capacity{
			Cores:         2,
			WorkPerPart:   20 * time.Millisecond,
			WorkPerRecord: 20 * time.Microsecond,
			Queue:         64,
			CopyRate:      400,
		},
	}
}

// runBodies is one run in a world of its own.
func runBodies(c BodiesConfig, seed uint64, i int) (bodiesResult, error) {
	w, err := newWorld(bodiesWorld(c, seed, i))
	if err != nil {
		return bodiesResult{}, err
	}
	defer w.close()
	before := w.bodiesCounters()
	for k, server := range w.fleet.Servers {
		if k%bodiesFaultyServers == 0 {
			server.SetErrorShare(bodiesErrorShare)
		}
	}
	queries := drawQueries(seed, time.Duration(c.Seconds)*time.Second, c.Rate, w.fleet.Records)
	rng := rand.New(rand.NewPCG(seed, 5))
	for k := range queries {
		queries[k].body = drawSearchBody(rng, c.BodyKiB)
	}
	result := newLoadResult()
	w.runDisrupted(&disruption{pauses: true, ordered: map[string]int{}}, seed, queries, result)
	out := bodiesResult{loadResult: result, run: bodiesRuns[i].name, seed: seed, counters: w.bodiesCounters()}
	for name, value := range before {
		out.counters[name] -= value
	}
	return out, nil
}

// bodiesCounters sums the counters of the experiment over the coordinators.
func (w *world) bodiesCounters() map[string]int64 {
	counters := map[string]int64{}
	add := func(name string) { counters[name] = w.counterSum(name) }
	for _, class := range classes {
		for _, name := range bodiesCounters {
			add(name + "_" + class.name)
		}
		for _, bucket := range evictedFinalBuckets {
			add(counterEvictedFinalMS + bucket + "_" + class.name)
		}
	}
	return counters
}

// drawSearchBody draws a search whose body has about so many KiB.
func drawSearchBody(rng *rand.Rand, kib int) string {
	var b strings.Builder
	b.WriteString(`{"size":100000,"query":{"terms":{"id":[`)
	for b.Len() < kib<<10 {
		fmt.Fprintf(&b, `"player-%016x",`, rng.Uint64())
	}
	b.WriteString(`"last"]}}}`)
	return b.String()
}
