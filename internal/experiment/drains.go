package experiment

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"linkpass/internal/adminapi"
	"linkpass/internal/emulator"
)

// DrainsConfig sets up the experiment on drains by agreement.
type DrainsConfig struct {
	Seeds  []uint64
	Orders int // drains of each run
	Rate   float64
	Out    string
}

// drainRuns are the sides that a drain is ordered on: of five instances, so many are up.
var drainRuns = []struct {
	name string
	up   int
}{{"all five", 5}, {"a minority of two", 2}}

// told is when a drain held at the instances, in microseconds after the order was given.
type told struct{ first, last, late int64 }

const drainBar = time.Second

// RunDrains measures how soon a drain ordered at any instance holds at every one that is up: with load and a majority, and
// without a majority. It tells whether every rule was kept.
func RunDrains(c DrainsConfig) (bool, error) {
	table := Table{Name: "drains", Columns: []string{"side", "seed", "orders", "here_p50_ms", "everywhere_p50_ms", "everywhere_p99_ms", "over_1s", "queries", "lost", "service", "diverged"}}
	lost, broken, diverged := 0, int64(0), 0
	p99 := map[string]float64{}
	for _, seed := range c.Seeds {
		for _, r := range drainRuns {
			o, err := drainsOne(c, seed, r.up)
			if err != nil {
				return false, fmt.Errorf("%s, seed %d: %w", r.name, seed, err)
			}
			ms := func(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
			var service any = "-" // no load where most instances are down
			if o.load.Queries > 0 {
				service = o.load.service()
			}
			table.Add(r.name, seed, o.here.TotalCount(), ms(o.here, 50), ms(o.all, 50), ms(o.all, 99), o.late, o.load.Queries, o.load.Lost, service, o.diverged)
			lost, broken, diverged = lost+o.load.Lost+o.load.WronglyWhole, broken+o.late, diverged+o.diverged
			p99[r.name] = max(p99[r.name], ms(o.all, 99))
		}
	}
	if err := table.Write(c.Out); err != nil {
		return false, err
	}
	fmt.Printf("seeds=%d lost=%d drain_broken=%d diverged=%d drain_p99_ms=%.1f drain_p99_minority_ms=%.1f\n", len(c.Seeds), lost, broken, diverged,
		p99[drainRuns[0].name], p99[drainRuns[1].name])
	return lost+diverged == 0 && broken == 0, nil
}

type drainOutcome struct {
	here, all *hdrhistogram.Histogram
	late      int64
	load      *tally
	diverged  int
}

func drainsOne(c DrainsConfig, seed uint64, up int) (drainOutcome, error) {
	o := drainOutcome{here: hdrhistogram.New(1, 20_000_000, 3), all: hdrhistogram.New(1, 20_000_000, 3), load: newTally()}
	w, err := newWorld(shape{name: "drains", seed: seed*10 + uint64(up), servers: 12, nodes: 5, slices: 6, records: 300, each: 2, maxOpen: 1000, memoryMB: 256,
		reshape: "poll = \"1s\"", work: emulator.Capacity{Cores: 2, WorkPerPart: 10 * time.Millisecond, Queue: 64, CopyRate: 400}})
	if err != nil {
		return o, err
	}
	defer w.close()
	if err := w.agreeOnce(); err != nil {
		return o, err
	}
	var loading sync.WaitGroup
	stop := make(chan struct{})
	if up == len(w.nodes) {
		loading.Go(func() {
			for part := uint64(0); ; part++ {
				select {
				case <-stop:
					return
				default:
					w.play(draw(seed+part, time.Second, c.Rate, w.fleet.Records), o.load)
				}
			}
		})
	}
	for _, n := range w.nodes[up:] {
		n.stop()
		err := <-n.done
		n.done <- err // for the world's own end
	}
	rng := rand.New(rand.NewPCG(seed, 9))
	for i := range c.Orders {
		server := w.fleet.Servers[i%len(w.fleet.Servers)].Name
		t, err := w.drain(rng.IntN(up), up, server, up < len(w.nodes))
		if err != nil {
			close(stop)
			loading.Wait()
			return o, err
		}
		_ = o.here.RecordValue(max(1, t.first)) // both lie below the bound of 20 s, after which the wait fails
		_ = o.all.RecordValue(max(1, t.last))
		o.late += t.late
		if up == len(w.nodes) {
			if err := w.undrain(server); err != nil {
				close(stop)
				loading.Wait()
				return o, err
			}
		} else if i+1 == len(w.fleet.Servers) {
			break // all of them drain by now, and no majority can bring one back
		}
	}
	close(stop)
	loading.Wait()
	o.diverged, err = w.states(up)
	return o, err
}

// agreeOnce waits until a command was taken: what is drained before a document was agreed is settled later.
func (w *world) agreeOnce() error {
	return w.byLeader(adminapi.ServerRequest{Server: w.fleet.Servers[0].Name, Action: "weight"})
}

// byLeader gives an order that the leader alone takes.
func (w *world) byLeader(o adminapi.ServerRequest) (err error) {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		for _, n := range w.nodes {
			if _, err = n.p.ChangeServer(context.Background(), o); err == nil {
				return nil
			}
		}
	}
	return fmt.Errorf("lab: nobody took %s of %s: %w", o.Action, o.Server, err)
}

// drain orders a drain at an instance and waits until all that are up hold it.
func (w *world) drain(at, up int, server string, force bool) (t told, err error) {
	began := time.Now()
	request := adminapi.ServerRequest{Server: server, Action: "drain", Force: force}
	if _, err := w.nodes[at].p.ChangeServer(context.Background(), request); err != nil {
		return t, fmt.Errorf("lab: %w", err)
	}
	took := make([]int64, up)
	var all sync.WaitGroup
	for i, n := range w.nodes[:up] {
		all.Go(func() { took[i] = n.awaits(server, "draining", began) })
	}
	all.Wait()
	t.first = took[at]
	for i, us := range took {
		if us < 0 {
			return t, fmt.Errorf("lab: %s does not drain at instance %d", server, i)
		}
		t.last = max(t.last, us)
		if us > drainBar.Microseconds() {
			t.late++
		}
	}
	return t, nil
}

// undrain brings a server back everywhere.
func (w *world) undrain(server string) error {
	if err := w.byLeader(adminapi.ServerRequest{Server: server, Action: "undrain"}); err != nil {
		return err
	}
	for i, n := range w.nodes {
		if n.awaits(server, "in_service", time.Now()) < 0 {
			return fmt.Errorf("lab: %s does not come back at instance %d", server, i)
		}
	}
	return nil
}

// awaits looks every half millisecond whether the module believes a server to be in a state, and tells after how many
// microseconds it did; -1: not within 15 s.
func (n *node) awaits(server, state string, began time.Time) int64 {
	for time.Since(began) < 15*time.Second {
		list, err := n.p.Servers()
		if err == nil {
			for _, s := range list {
				if s.Name == server && s.State == state {
					return time.Since(began).Microseconds()
				}
			}
		}
		time.Sleep(500 * time.Microsecond)
	}
	return -1
}

// states counts the instances whose agreed state differs from the first one's at the end, when nothing is unsettled any
// more, or, without a majority, whose unsettled orders do.
func (w *world) states(up int) (diverged int, err error) {
	word := func(n *node) string {
		a, e := n.p.ReplicatedState()
		if e != nil {
			err = e
		}
		var ids []string
		for _, o := range a.Pending {
			ids = append(ids, o.ID.String())
		}
		return fmt.Sprint(a.Version, a.Hash, strings.Join(ids, " "))
	}
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		diverged = 0
		for _, n := range w.nodes[1:up] {
			if word(n) != word(w.nodes[0]) {
				diverged++
			}
		}
		if diverged == 0 || err != nil || time.Now().After(end) {
			return diverged, err
		}
	}
}
