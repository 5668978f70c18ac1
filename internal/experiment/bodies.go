package experiment

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"linkpass/internal/emulator"
)

const (
	bodiesErrorShare    = 0.1 // share of the parts that fail at a faulty server
	bodiesFaultyServers = 3   // every third server is faulty
)

// BodiesConfig configures RunBodies, the experiment on the tiers in which bodies are kept for retries.
type BodiesConfig struct {
	Seeds   []uint64
	Seconds int     // duration of a run
	Rate    float64 // queries per second
	BodyKiB int     // approximate size of a query's body
	Memory  bool    // also measure resident memory, in separate processes
	Out     string  // directory of table and chart; if empty, none are written
}

// bodiesRuns are the runs that are compared. The settings of each force bodies into one tier; "before" does not keep
// bodies. DIR stands for a directory of the coordinator's own.
var bodiesRuns = []struct{ name, settings string }{
	{"before", "off = true"},
	{"memory", "memory_kib = 65536\nlargest_kib = 65536"},
	{"file", "memory_kib = 2048\nlargest_kib = 8\nfiles_kib = 262144\ndir = \"DIR\""},
	{"none", "memory_kib = 65536\nlargest_kib = 4"},
}

// bodiesResult is the result of one run with one seed.
type bodiesResult struct {
	*loadResult
	run      string
	seed     uint64
	counters map[string]int64 // increase during the run, by counter and class: counter_class
}

// Counters that are kept for each class. The full name of a counter ends in an underscore and the class.
const (
	counterRetriesNeeded  = "retries_needed"
	counterRetriesMade    = "retries_made"
	counterRetriesWon     = "retries_won"
	counterRetriesForgone = "retries_forgone"
	counterHedgesForgone  = "hedges_forgone"
	counterBodiesEvicted  = "queries_body_evicted"

	// counterEvictedFinalMS begins the names of a histogram's buckets: the time from the eviction of a query's body to
	// the end of the query.
	counterEvictedFinalMS = "body_evicted_final_ms_"
)

var bodiesCounters = []string{counterRetriesNeeded, counterRetriesMade, counterRetriesWon, counterRetriesForgone, counterHedgesForgone, counterBodiesEvicted}

// evictedFinalBuckets are the upper bounds of the buckets of counterEvictedFinalMS, in milliseconds.
var evictedFinalBuckets = []string{"5", "10", "20", "50", "100", "500", "more"}

// RunBodies runs queries against servers that fail and pause, in one run for each tier that keeps bodies. The runs of a
// seed are concurrent. RunBodies returns false if a rule was broken, and an error if a run could not start or a result
// could not be written.
func RunBodies(c BodiesConfig) (bool, error) {
	all, err := runSeeds(c.Seeds, len(bodiesRuns), func(seed uint64, i int) (bodiesResult, error) { return runBodies(c, seed, i) })
	if err != nil {
		return false, err
	}
	return reportBodies(c, all)
}

func bodiesWorldConfig(c BodiesConfig, seed uint64, i int) worldConfig {
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

// runBodies performs run i of a seed in a world of its own.
func runBodies(c BodiesConfig, seed uint64, i int) (bodiesResult, error) {
	w, err := newWorld(bodiesWorldConfig(c, seed, i))
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
	w.runDisrupted(&disruption{pauses: true, counts: map[string]int{}}, seed, queries, result)
	out := bodiesResult{loadResult: result, run: bodiesRuns[i].name, seed: seed, counters: w.bodiesCounters()}
	for name, value := range before {
		out.counters[name] -= value
	}
	return out, nil
}

// bodiesCounters returns the experiment's counters by full name, each summed over the coordinators.
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

// drawSearchBody draws the body of a search. It is at least kib KiB long, and ends after the list element that reaches
// this length and a closing one.
func drawSearchBody(rng *rand.Rand, kib int) string {
	var b strings.Builder
	b.WriteString(`{"size":100000,"query":{"terms":{"id":[`)
	for b.Len() < kib<<10 {
		fmt.Fprintf(&b, `"player-%016x",`, rng.Uint64())
	}
	b.WriteString(`"last"]}}}`)
	return b.String()
}
