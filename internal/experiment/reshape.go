package experiment

import (
	"context"
	"fmt"
	"math"
	"sync"
	"time"

	"linkpass/internal/emulator"
)

// ReshardingConfig sets the experiment up.
type ReshardingConfig struct {
	Seeds   []uint64
	Seconds int
	Servers int
	Rate    float64       // queries a second
	Every   time.Duration // between two changes
	Out     string
}

// runs of the experiment: what is compared with what.
var reshapeRuns = []struct {
	name   string
	moves  bool
	deaths bool
	replan bool
}{
	{"still", false, false, true},
	{"reshape", true, false, true},
	{"refuse", true, false, false}, // the baseline: parts that hit an old holder fail
	{"still+deaths", false, true, true},
	{"reshape+deaths", true, true, true},
	{"refuse+deaths", true, true, false},
}

// outcome is one run of one seed.
type outcome struct {
	*tally
	run       string
	seed      uint64
	ordered   map[string]int
	ended     map[string]int64
	late      int64 // parts sent over a second after a drain was told
	pushed    int64 // cold servers pushed over
	stale     int64
	replans   int64
	attempts  int64
	elsewhere map[string]int64
}

// RunResharding reshapes slices under load, each seed with all runs side by side. It is false
// where a rule broke.
func RunResharding(c ReshardingConfig) (bool, error) {
	var all []outcome
	for _, seed := range c.Seeds {
		list := make([]outcome, len(reshapeRuns))
		errs := make([]error, len(reshapeRuns))
		var wg sync.WaitGroup
		for i := range reshapeRuns {
			wg.Go(func() { list[i], errs[i] = reshapeOne(c, seed, i) })
		}
		wg.Wait()
		for _, err := range errs {
			if err != nil {
				return false, err
			}
		}
		all = append(all, list...)
	}
	return report(c, all)
}

// reshapeOne is one run in a world of its own.
func reshapeOne(c ReshardingConfig, seed uint64, i int) (outcome, error) {
	r := reshapeRuns[i]
	// Old holders drop their data with the first call after a switch: the hard way, so that
	// parts on their way meet slices that have moved.
	lines := fmt.Sprintf("moves = 4\nper_server = 2\npoll = \"50ms\"\nretire_after = \"1ms\"\npatience = \"10s\"\nreplan = %v", r.replan)
	w, err := newWorld(shape{name: r.name, seed: seed*100 + uint64(i), servers: c.Servers, nodes: 3, slices: 8, records: 1000, each: 2,
		maxOpen: 4000, memoryMB: 256, reshape: lines,
		work: emulator.Capacity{Cores: 2, WorkPerPart: 20 * time.Millisecond, WorkPerRecord: 20 * time.Microsecond, Queue: 64, CopyRate: 400,
			WarmupDuration: 3 * time.Second, WarmupInitialShare: 0.3}})
	if err != nil {
		return outcome{}, err
	}
	defer w.close()
	t := newTally()
	mess := &trouble{stalls: true, drains: 4 * time.Second, ordered: map[string]int{}}
	if r.moves {
		mess.every = c.Every
	}
	if r.deaths {
		mess.deaths = 3 * time.Second
	}
	ctx, stop := context.WithCancel(context.Background())
	var making sync.WaitGroup
	making.Go(func() { mess.run(ctx, w, seed) })
	w.play(draw(seed, time.Duration(c.Seconds)*time.Second, c.Rate, w.fleet.Records), t)
	stop()
	making.Wait()
	out := outcome{tally: t, run: r.name, seed: seed, ordered: mess.ordered, ended: w.ended(), late: w.fleet.LateParts(), replans: w.sum("replans"),
		attempts: w.sum("attempts_sent"), elsewhere: map[string]int64{}}
	for _, s := range w.fleet.Servers {
		out.pushed += s.OverloadedWhileWarming.Load()
		out.stale += s.MovedParts.Load()
	}
	for _, name := range []string{"attempts_moved", "attempts_ahead", "attempts_pieced", "attempts_unversioned", "attempts_doubled", "answers_not_whole"} {
		out.elsewhere[name] = w.sum(name)
	}
	return out, nil
}

// report writes the tables and the chart, and prints the line of figures.
func report(c ReshardingConfig, all []outcome) (bool, error) {
	table := Table{Name: "reshape", Columns: []string{"run", "seed", "queries", "whole", "partial", "refused", "failed", "lost", "wrongly_whole",
		"duplicates", "untold", "late_after_drain", "pushed", "service", "p50_ms", "p99_ms", "splits", "merges", "moves", "switched", "abandoned", "told_moved", "replans", "attempts", "causes"}}
	still := map[string]float64{}
	for _, o := range all {
		if o.run == "still" || o.run == "still+deaths" {
			still[fmt.Sprint(o.run[5:], o.seed)] = o.service()
		}
	}
	totals := map[string]int{}
	worst, worstDeaths, refuse := math.Inf(1), math.Inf(1), math.Inf(1)
	sums := map[string][]float64{}
	for _, o := range all {
		table.Add(o.run, o.seed, o.Queries, o.Whole, o.Partial, o.Refused, o.Failed, o.Lost, o.WronglyWhole, o.Duplicates, o.Unexplained, o.late,
			o.pushed, o.service(), float64(o.latency[0].ValueAtQuantile(50))/1000, float64(o.latency[0].ValueAtQuantile(99))/1000,
			o.ordered["split"], o.ordered["merge"], o.ordered["move"], o.ended["switched"], o.ended["abandoned"], o.elsewhere["attempts_moved"],
			o.replans, o.attempts, summary(o.Causes))
		kind := "plain"
		ratio := 0.0
		switch o.run {
		case "reshape", "refuse":
			ratio = o.service() / still[fmt.Sprint("", o.seed)]
		case "reshape+deaths", "refuse+deaths":
			kind = "deaths"
			ratio = o.service() / still[fmt.Sprint("+deaths", o.seed)]
		default:
			ratio = 1
		}
		sums[o.run] = append(sums[o.run], ratio)
		switch {
		case o.run == "reshape":
			worst = min(worst, ratio)
		case o.run == "reshape+deaths":
			worstDeaths = min(worstDeaths, ratio)
		case o.run == "refuse":
			refuse = min(refuse, ratio)
		}
		if o.run == "refuse" || o.run == "refuse+deaths" { // the baseline must keep the rules too, but is not what is shown
			kind = "baseline"
		}
		for name, n := range map[string]int{"queries": o.Queries, "lost": o.Lost, "wrongly_whole": o.WronglyWhole, "duplicates": o.Duplicates + o.Unexplained,
			"drain_broken": int(o.late), "pushed": int(o.pushed), "splits": o.ordered["split"], "merges": o.ordered["merge"], "moves": o.ordered["move"], "switched": int(o.ended["switched"])} {
			totals[name] += n
			totals[kind+name] += n
		}
	}
	if err := table.Write(c.Out); err != nil {
		return false, err
	}
	if err := bars(c.Out, "reshape", "service against a still layout", sums); err != nil {
		return false, err
	}
	ok := totals["lost"] == 0 && totals["wrongly_whole"] == 0 && totals["duplicates"] == 0 && totals["drain_broken"] == 0 && totals["pushed"] == 0
	fmt.Printf("wrongly_whole=%d lost=%d duplicates=%d drain_broken=%d pushed_over=%d queries=%d splits=%d merges=%d moves=%d switched=%d service_ratio=%.3f service_ratio_least=%.3f refuse_ratio=%.3f refuse_ratio_least=%.3f deaths_ratio=%.3f deaths_ratio_least=%.3f refuse_deaths_ratio=%.3f\n",
		totals["wrongly_whole"], totals["lost"], totals["duplicates"], totals["drain_broken"], totals["pushed"], totals["queries"], totals["splits"], totals["merges"], totals["moves"], totals["switched"],
		mean(sums["reshape"]), worst, mean(sums["refuse"]), refuse, mean(sums["reshape+deaths"]), worstDeaths, mean(sums["refuse+deaths"]))
	return ok, nil
}
