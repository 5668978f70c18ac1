package experiment

import "fmt"

// reportDrains writes the table and prints the line of figures. It returns false if a rule was broken: an answer was
// lost or falsely complete, a drain took longer than drainObjective, or the coordinators diverged.
func reportDrains(c DrainsConfig, all []drainsResult) (bool, error) {
	if err := drainsTable(all).write(c.Out); err != nil {
		return false, err
	}
	lost, late, diverged := 0, int64(0), 0
	p99MS := map[string]float64{} // largest value of all seeds, by run
	for _, r := range all {
		lost += r.Lost + r.FalselyComplete
		late += r.lateCoordinators
		diverged += r.diverged
		p99MS[r.run.name] = max(p99MS[r.run.name], percentileMS(r.everywhere, 99))
	}
	fmt.Printf("seeds=%d lost=%d drain_broken=%d diverged=%d drain_p99_ms=%.1f drain_p99_minority_ms=%.1f\n", len(c.Seeds), lost, late, diverged,
		p99MS[drainsRuns[0].name], p99MS[drainsRuns[1].name])
	return lost+diverged == 0 && late == 0, nil
}

func drainsTable(all []drainsResult) *resultTable {
	table := &resultTable{name: "drains", columns: []string{"side", "seed", "orders", "here_p50_ms", "everywhere_p50_ms", "everywhere_p99_ms",
		"over_1s", "queries", "lost", "service", "diverged"}}
	for _, r := range all {
		var service any = "-"
		if r.Queries > 0 {
			service = r.service()
		}
		table.add(r.run.name, r.seed, r.local.TotalCount(), percentileMS(r.local, 50), percentileMS(r.everywhere, 50), percentileMS(r.everywhere, 99),
			r.lateCoordinators, r.Queries, r.Lost, service, r.diverged)
	}
	return table
}
