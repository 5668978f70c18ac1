package experiment

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
)

// reportResharding writes table and chart and prints the line of figures. It returns false if a rule was broken; see
// reshardingTotals.rulesKept.
func reportResharding(c ReshardingConfig, all []reshardingResult) (bool, error) {
	ratios := serviceRatios(all)
	if err := reshardingTable(all).write(c.Out); err != nil {
		return false, err
	}
	if err := writeBarChart(c.Out, "reshape", "service against a still layout", ratios); err != nil {
		return false, err
	}
	totals := sumResharding(all)
	printResharding(totals, ratios)
	return totals.rulesKept(), nil
}

func reshardingTable(all []reshardingResult) *resultTable {
	table := &resultTable{name: "reshape", columns: []string{"run", "seed", "queries", "whole", "partial", "refused", "failed", "lost", "wrongly_whole",
		"duplicates", "untold", "late_after_drain", "pushed", "service", "p50_ms", "p99_ms", "splits", "merges", "moves", "switched", "abandoned",
		"told_moved", "replans", "attempts", "causes"}}
	for _, r := range all {
		lookups := r.latency[teamLookup]
		table.add(r.run.name, r.seed, r.Queries, r.Complete, r.Partial, r.Rejected, r.Failed, r.Lost, r.FalselyComplete,
			r.Duplicates, r.Unexplained, r.lateParts, r.warmupOverloads, r.service(), percentileMS(lookups, 50), percentileMS(lookups, 99),
			r.disruptions[disruptionSplit], r.disruptions[disruptionMerge], r.disruptions[disruptionMove], r.switched, r.abandoned,
			r.attemptsMoved, r.replans, r.attempts, formatCounts(r.Causes))
	}
	return table
}

// serviceRatios returns, by name of the run, the service of each seed divided by the service of its baseline. That is
// the run of the same seed without changes of shards, and with kills if the run has kills.
func serviceRatios(all []reshardingResult) map[string][]float64 {
	type baseline struct {
		kills bool
		seed  uint64
	}
	unchanged := map[baseline]float64{}
	for _, r := range all {
		if !r.run.reshards {
			unchanged[baseline{r.run.kills, r.seed}] = r.service()
		}
	}
	ratios := map[string][]float64{}
	for _, r := range all {
		ratio := 1.0
		if r.run.reshards {
			ratio = r.service() / unchanged[baseline{r.run.kills, r.seed}]
		}
		ratios[r.run.name] = append(ratios[r.run.name], ratio)
	}
	return ratios
}

// reshardingTotals sums the results of all runs and seeds.
type reshardingTotals struct {
	queries, lost, falselyComplete, duplicates int
	lateParts, warmupOverloads                 int64
	splits, merges, moves                      int
	switched                                   int64
}

func sumResharding(all []reshardingResult) (t reshardingTotals) {
	for _, r := range all {
		t.queries += r.Queries
		t.lost += r.Lost
		t.falselyComplete += r.FalselyComplete
		t.duplicates += r.Duplicates + r.Unexplained
		t.lateParts += r.lateParts
		t.warmupOverloads += r.warmupOverloads
		t.splits += r.disruptions[disruptionSplit]
		t.merges += r.disruptions[disruptionMerge]
		t.moves += r.disruptions[disruptionMove]
		t.switched += r.switched
	}
	return t
}

// rulesKept reports whether no query was lost, no answer was falsely complete or had duplicate, unrequested or
// unexplained missing records, no part came late after a drain and no server was overloaded during its warm-up.
func (t reshardingTotals) rulesKept() bool {
	return t.lost == 0 && t.falselyComplete == 0 && t.duplicates == 0 && t.lateParts == 0 && t.warmupOverloads == 0
}

func printResharding(t reshardingTotals, ratios map[string][]float64) {
	fmt.Printf("wrongly_whole=%d lost=%d duplicates=%d drain_broken=%d pushed_over=%d queries=%d splits=%d merges=%d moves=%d switched=%d ",
		t.falselyComplete, t.lost, t.duplicates, t.lateParts, t.warmupOverloads, t.queries, t.splits, t.merges, t.moves, t.switched)
	fmt.Printf("service_ratio=%.3f service_ratio_least=%.3f refuse_ratio=%.3f refuse_ratio_least=%.3f deaths_ratio=%.3f deaths_ratio_least=%.3f refuse_deaths_ratio=%.3f\n",
		mean(ratios["reshape"]), minimum(ratios["reshape"]), mean(ratios["refuse"]), minimum(ratios["refuse"]),
		mean(ratios["reshape+deaths"]), minimum(ratios["reshape+deaths"]), mean(ratios["refuse+deaths"]))
}

// mean returns the mean of values, or 0 if there are none.
func mean(values []float64) (m float64) {
	for _, v := range values {
		m += v / float64(len(values))
	}
	return m
}

// minimum returns the smallest of values, or +Inf if there are none.
func minimum(values []float64) float64 {
	lowest := math.Inf(1)
	for _, v := range values {
		lowest = min(lowest, v)
	}
	return lowest
}

// formatCounts formats counts as a list of "key count", in the order of the keys.
func formatCounts(counts map[string]int) string {
	var words []string
	for _, key := range slices.Sorted(maps.Keys(counts)) {
		words = append(words, fmt.Sprintf("%s %d", key, counts[key]))
	}
	return strings.Join(words, ", ")
}
