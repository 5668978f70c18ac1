package experiment

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/exec"
	"runtime/debug"
	"strconv"
	"strings"
	"sync"
	"time"

	"linkpass/internal/bodystore"
	"linkpass/internal/bodystore/tier"
	"linkpass/internal/emulator"
	"linkpass/internal/metrics"
)

// BodiesConfig sets the experiment up.
type BodiesConfig struct {
	Seeds   []uint64
	Seconds int
	Rate    float64
	BodyKiB int
	Memory  bool // measure resident memory too, in a process of its own
	Out     string
}

// bodyRuns force each tier: what lies where is a matter of the settings.
var bodyRuns = []struct{ name, settings string }{
	{"before", "off = true"},
	{"memory", "memory_kib = 65536\nlargest_kib = 65536"},
	{"file", "memory_kib = 2048\nlargest_kib = 8\nfiles_kib = 262144\ndir = \"DIR\""},
	{"none", "memory_kib = 65536\nlargest_kib = 4"},
}

// bodyOutcome is one run of one seed.
type bodyOutcome struct {
	*tally
	run   string
	seed  uint64
	count map[string]int64 // by counter and class
}

var bodyCounts = []string{"retries_needed", "retries_made", "retries_won", "retries_forgone", "hedges_forgone", "queries_body_evicted"}
var bareSteps = []string{"5", "10", "20", "50", "100", "500", "more"}

// RunBodies forces each tier under failing and stalling servers. It is false where a rule broke.
func RunBodies(c BodiesConfig) (bool, error) {
	var all []bodyOutcome
	for _, seed := range c.Seeds {
		list, errs := make([]bodyOutcome, len(bodyRuns)), make([]error, len(bodyRuns))
		var wg sync.WaitGroup
		for i := range bodyRuns {
			wg.Go(func() { list[i], errs[i] = bodiesOne(c, seed, i) })
		}
		wg.Wait()
		if err := errors.Join(errs...); err != nil {
			return false, err
		}
		all = append(all, list...)
	}
	return reportBodies(c, all)
}

func bodiesOne(c BodiesConfig, seed uint64, i int) (bodyOutcome, error) {
	r := bodyRuns[i]
	w, err := newWorld(shape{name: r.name, seed: seed*100 + uint64(i), servers: 12, nodes: 2, slices: 12, records: 600, each: 2, maxOpen: 4000,
		memoryMB: 256, reshape: "poll = \"1s\"", bodies: r.settings + fmt.Sprintf("\nmax_body_kib = %d", 2*c.BodyKiB+64),
		work: emulator.Capacity{Cores: 2, WorkPerPart: 20 * time.Millisecond, WorkPerRecord: 20 * time.Microsecond, Queue: 64, CopyRate: 400}})
	if err != nil {
		return bodyOutcome{}, err
	}
	defer w.close()
	counts := func() map[string]int64 {
		out := map[string]int64{}
		for _, class := range classes {
			for _, name := range bodyCounts {
				out[name+"_"+class.name] = w.sum(name + "_" + class.name)
			}
			for _, step := range bareSteps {
				out["body_evicted_final_ms_"+step+"_"+class.name] = w.sum("body_evicted_final_ms_" + step + "_" + class.name)
			}
		}
		return out
	}
	before := counts()
	for k, s := range w.fleet.Servers { // a third of the fleet fails a tenth of its parts
		if k%3 == 0 {
			s.SetErrorShare(0.1)
		}
	}
	queries := draw(seed, time.Duration(c.Seconds)*time.Second, c.Rate, w.fleet.Records)
	rng := rand.New(rand.NewPCG(seed, 5))
	for k := range queries {
		queries[k].body = padded(rng, c.BodyKiB)
	}
	t := newTally()
	mess := &trouble{stalls: true, ordered: map[string]int{}}
	ctx, stop := context.WithCancel(context.Background())
	var making sync.WaitGroup
	making.Go(func() { mess.run(ctx, w, seed) })
	w.play(queries, t)
	stop()
	making.Wait()
	out := bodyOutcome{tally: t, run: r.name, seed: seed, count: counts()}
	for k, v := range before {
		out.count[k] -= v
	}
	return out, nil
}

// padded is a search whose body has about so many KiB.
func padded(rng *rand.Rand, kib int) string {
	var b strings.Builder
	b.WriteString(`{"size":100000,"query":{"terms":{"id":[`)
	for b.Len() < kib<<10 {
		fmt.Fprintf(&b, `"player-%016x",`, rng.Uint64())
	}
	b.WriteString(`"last"]}}}`)
	return b.String()
}

func reportBodies(c BodiesConfig, all []bodyOutcome) (bool, error) {
	table := Table{Name: "bodies", Columns: []string{"tier", "seed", "class", "queries", "lost", "retries_needed", "made", "won", "forgone", "hedges_forgone",
		"bare", "final_p50_ms", "final_p99_ms", "final_max_ms", "answer_p50_ms", "answer_p99_ms", "service", "causes"}}
	needed, won, lost, broken := map[string]int64{}, map[string]int64{}, 0, 0
	service := map[string][]float64{}
	steps := map[string]int64{}
	for _, o := range all {
		lost += o.Lost
		broken += o.WronglyWhole + o.Duplicates
		service[o.run] = append(service[o.run], o.service())
		for i, class := range classes {
			n := func(name string) int64 { return o.count[name+"_"+class.name] }
			final := map[string]int64{}
			for _, s := range bareSteps {
				final[s] = n("body_evicted_final_ms_" + s)
				if class.name == "team-lookup" {
					steps[s] += final[s]
				}
			}
			table.Add(o.run, o.seed, class.name, o.Queries, o.Lost, n("retries_needed"), n("retries_made"), n("retries_won"), n("retries_forgone"),
				n("hedges_forgone"), n("queries_body_evicted"), quantile(final, 0.5), quantile(final, 0.99), quantile(final, 1),
				float64(o.latency[i].ValueAtQuantile(50))/1000, float64(o.latency[i].ValueAtQuantile(99))/1000, o.service(), summary(o.Causes))
			needed[o.run] += n("retries_needed")
			won[o.run] += n("retries_won")
		}
	}
	if err := table.Write(c.Out); err != nil {
		return false, err
	}
	if err := bars(c.Out, "bodies", "worth answered in time", service); err != nil {
		return false, err
	}
	over, base, shared := -1.0, 0.0, 0.0
	if c.Memory {
		var err error
		if over, base, shared, err = residentOver(); err != nil {
			return false, err
		}
	}
	success := func(run string) float64 { return float64(won[run]) / float64(max(1, needed[run])) }
	fmt.Printf("lost=%d wrong=%d lookup_final_p99_ms=%s retry_success_before=%.3f retry_success_memory=%.3f retry_success_file=%.3f retry_success_none=%.3f service_before=%.3f service_memory=%.3f service_file=%.3f service_none=%.3f resident_over_budget_mb=%.1f of_that_before_any_body_mb=%.1f shared_part=%.4f\n",
		lost, broken, quantile(steps, 0.99), success("before"), success("memory"), success("file"), success("none"),
		mean(service["before"]), mean(service["memory"]), mean(service["file"]), mean(service["none"]), over, base, shared)
	return lost == 0 && broken == 0, nil
}

func mean(list []float64) (m float64) {
	for _, v := range list {
		m += v / float64(len(list))
	}
	return m
}

// quantile is the bound of the step in which a share of counted times lies; "-": none were counted.
func quantile(steps map[string]int64, q float64) string {
	all := int64(0)
	for _, n := range steps {
		all += n
	}
	sum := int64(0)
	for _, s := range bareSteps {
		if sum += steps[s]; all > 0 && float64(sum) >= q*float64(all) {
			return s
		}
	}
	return "-"
}

// Holding many bodies is measured in a process of its own: so many, so large, under such a budget.
const (
	holdBodies = 10_000
	holdSize   = 64 << 10
	holdBudget = 16 << 20
	holdShared = 100 // of different content, in the run with shared ones
)

// residentOver is how far a process that holds them goes over the budget, and what part of their bytes
// is held where a hundred queries each share one.
func residentOver() (overMB, baseMB, sharedPart float64, err error) {
	self, err := os.Executable()
	if err != nil {
		return 0, 0, 0, fmt.Errorf("lab: %w", err)
	}
	run := func(what string) (fields map[string]float64, err error) {
		out, err := exec.Command(self, "hold", what).Output()
		if err != nil {
			return nil, fmt.Errorf("lab: hold %s: %w", what, err)
		}
		fields = map[string]float64{}
		for _, f := range strings.Fields(string(out)) {
			key, v, _ := strings.Cut(f, "=")
			fields[key], _ = strconv.ParseFloat(v, 64)
		}
		return fields, nil
	}
	distinct, err := run("distinct")
	if err != nil {
		return 0, 0, 0, err
	}
	shared, err := run("shared")
	if err != nil {
		return 0, 0, 0, err
	}
	return (distinct["resident"] - holdBudget) / (1 << 20), distinct["base"] / (1 << 20), shared["held"] / float64(holdBodies*holdSize), nil
}

// HoldBodies keeps many bodies and prints what the process took at its largest.
func HoldBodies(what string, count int) error {
	base, budget, limit := highWater(), int64(holdBudget), int64(24<<20) // as the program sets it for a limit of 40 MB
	if what == "tight" {                                                 // 32 MB in all: the default budget, and the limit that the program gives its collector
		budget, limit = 4<<20, 19<<20
	}
	debug.SetMemoryLimit(limit)
	dir, err := os.MkdirTemp("", "linkpass-hold-")
	if err != nil {
		return fmt.Errorf("lab: %w", err)
	}
	defer os.RemoveAll(dir)
	began := time.Now()
	s := bodystore.Open(bodystore.Config{Limits: tier.Limits{Memory: budget, Files: 1 << 30, Largest: 1 << 20}, Classes: []string{"lookup"}, Dir: dir,
		Counters: metrics.NewCounters(), Now: func() time.Duration { return time.Since(began) }})
	defer s.Close()
	data := make([]byte, holdSize)
	rng := rand.New(rand.NewPCG(1, 1))
	for i := range data {
		data[i] = byte(rng.Uint32())
	}
	var held []*bodystore.Body
	for i := range count {
		n := i
		if what == "shared" {
			n %= holdShared
		}
		binary.LittleEndian.PutUint64(data, uint64(n))
		b, err := keepOne(s, data)
		if err != nil {
			return fmt.Errorf("lab: body %d: %w", i, err)
		}
		held = append(held, b)
	}
	f := s.Totals()
	for i, b := range held { // each is read once more, as for a retry
		if err := readOne(b); err != nil {
			return fmt.Errorf("lab: body %d: %w", i, err)
		}
	}
	fmt.Printf("base=%d resident=%d held=%d bodies=%d memory=%d files=%d disk=%d\n", base, highWater(), f.Memory+f.Files, f.Bodies, f.Memory, f.Files, f.Disk)
	for _, b := range held {
		b.Release()
	}
	return nil
}

// highWater is the most that this process had resident, in bytes; 0 where the system does not say.
func highWater() int {
	status, err := os.ReadFile("/proc/self/status")
	if err != nil {
		return 0
	}
	for line := range bytes.Lines(status) {
		if fields := strings.Fields(string(line)); len(fields) > 1 && fields[0] == "VmHWM:" {
			kib, _ := strconv.Atoi(fields[1])
			return kib << 10
		}
	}
	return 0
}

func keepOne(s *bodystore.Store, data []byte) (*bodystore.Body, error) {
	for {
		w := s.NewWriter(0, 1)
		_, err := w.Write(data)
		if errors.Is(err, bodystore.ErrNoCapacity) { // its mover is behind: a client would come again
			time.Sleep(time.Millisecond)
			continue
		}
		if err != nil {
			return nil, err
		}
		return w.Commit()
	}
}

func readOne(b *bodystore.Body) error {
	r, err := b.Open()
	if err != nil {
		return err
	}
	defer r.Close()
	buf := make([]byte, 16<<10)
	for {
		if _, err := r.Read(buf); err != nil {
			if errors.Is(err, io.EOF) {
				return nil
			}
			return err
		}
	}
}
