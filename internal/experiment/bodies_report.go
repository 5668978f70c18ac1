package experiment

import "fmt"

// reportBodies writes table and chart, measures resident memory if c.Memory is set, and prints the line of figures. It
// returns false if a rule was broken: a query was lost, or an answer was falsely complete or had a duplicate record.
func reportBodies(c BodiesConfig, all []bodiesResult) (bool, error) {
	if err := bodiesTable(all).write(c.Out); err != nil {
		return false, err
	}
	totals := sumBodies(all)
	if err := writeBarChart(c.Out, "bodies", "worth answered in time", totals.service); err != nil {
		return false, err
	}
	memory := memoryUsage{overBudgetMB: -1}
	if c.Memory {
		var err error
		if memory, err = measureMemory(); err != nil {
			return false, err
		}
	}
	printBodies(totals, memory)
	return totals.lost == 0 && totals.broken == 0, nil
}

func (r bodiesResult) counter(name string, c class) int64 { return r.counters[name+"_"+c.name] }

// evictedFinal returns a class's histogram of counterEvictedFinalMS, by bucket.
func (r bodiesResult) evictedFinal(c class) map[string]int64 {
	histogram := map[string]int64{}
	for _, bucket := range evictedFinalBuckets {
		histogram[bucket] = r.counter(counterEvictedFinalMS+bucket, c)
	}
	return histogram
}

func bodiesTable(all []bodiesResult) *resultTable {
	table := &resultTable{name: "bodies", columns: []string{"tier", "seed", "class", "queries", "lost", "retries_needed", "made", "won", "forgone",
		"hedges_forgone", "bare", "final_p50_ms", "final_p99_ms", "final_max_ms", "answer_p50_ms", "answer_p99_ms", "service", "causes"}}
	for _, r := range all {
		for i, c := range classes {
			final := r.evictedFinal(c)
			table.add(r.run, r.seed, c.name, r.Queries, r.Lost, r.counter(counterRetriesNeeded, c), r.counter(counterRetriesMade, c),
				r.counter(counterRetriesWon, c), r.counter(counterRetriesForgone, c), r.counter(counterHedgesForgone, c), r.counter(counterBodiesEvicted, c),
				bucketQuantile(final, 0.5), bucketQuantile(final, 0.99), bucketQuantile(final, 1),
				percentileMS(r.latency[i], 50), percentileMS(r.latency[i], 99), r.service(), formatCounts(r.Causes))
		}
	}
	return table
}

// bodiesTotals sums the results of all runs and seeds.
type bodiesTotals struct {
	lost    int
	broken  int                  // falsely complete answers and duplicate records
	needed  map[string]int64     // retries needed, by run
	won     map[string]int64     // retries that led to an answer, by run
	service map[string][]float64 // service of each seed, by run
	final   map[string]int64     // evictedFinal of the team lookups of all runs, by bucket
}

func sumBodies(all []bodiesResult) bodiesTotals {
	t := bodiesTotals{needed: map[string]int64{}, won: map[string]int64{}, service: map[string][]float64{}, final: map[string]int64{}}
	for _, r := range all {
		t.lost += r.Lost
		t.broken += r.FalselyComplete + r.Duplicates
		t.service[r.run] = append(t.service[r.run], r.service())
		for _, c := range classes {
			t.needed[r.run] += r.counter(counterRetriesNeeded, c)
			t.won[r.run] += r.counter(counterRetriesWon, c)
		}
		for bucket, n := range r.evictedFinal(classes[teamLookup]) {
			t.final[bucket] += n
		}
	}
	return t
}

// retrySuccess returns the share of the needed retries that led to an answer, from 0 to 1.
func (t bodiesTotals) retrySuccess(run string) float64 {
	return float64(t.won[run]) / float64(max(1, t.needed[run]))
}

func printBodies(t bodiesTotals, m memoryUsage) {
	fmt.Printf("lost=%d wrong=%d lookup_final_p99_ms=%s ", t.lost, t.broken, bucketQuantile(t.final, 0.99))
	fmt.Printf("retry_success_before=%.3f retry_success_memory=%.3f retry_success_file=%.3f retry_success_none=%.3f ",
		t.retrySuccess("before"), t.retrySuccess("memory"), t.retrySuccess("file"), t.retrySuccess("none"))
	fmt.Printf("service_before=%.3f service_memory=%.3f service_file=%.3f service_none=%.3f ",
		mean(t.service["before"]), mean(t.service["memory"]), mean(t.service["file"]), mean(t.service["none"]))
	fmt.Printf("resident_over_budget_mb=%.1f of_that_before_any_body_mb=%.1f shared_part=%.4f\n", m.overBudgetMB, m.baseMB, m.sharedShare)
}

// bucketQuantile returns the bucket that contains a quantile, from 0 to 1, or "-" if the histogram is empty.
func bucketQuantile(histogram map[string]int64, quantile float64) string {
	total := int64(0)
	for _, n := range histogram {
		total += n
	}
	sum := int64(0)
	for _, bucket := range evictedFinalBuckets {
		if sum += histogram[bucket]; total > 0 && float64(sum) >= quantile*float64(total) {
			return bucket
		}
	}
	return "-"
}
