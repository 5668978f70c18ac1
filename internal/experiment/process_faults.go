package experiment

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

// Times of a run with faults.
const (
	faultInterval      = 400 * time.Millisecond // mean time between two faults
	maxAttackTime      = 2 * time.Second
	maxStall           = 150 * time.Millisecond // a coordinator may be held up for so long
	descriptorLack     = 200 * time.Millisecond // during which calls that need a descriptor fail
	serverPause        = 400 * time.Millisecond
	downTime           = 300 * time.Millisecond  // from the end of a process to the start of the next
	shutdownTime       = 3700 * time.Millisecond // from SIGTERM to SIGKILL
	faultSoundTimeout  = time.Second
	resetWindow        = faultSoundTimeout + soundSlack // before a kill, in which a query may lose its answer
	smallMemoryMB      = 56                             // of the reloaded limits
	maxHeldConns       = 450
	maxFloodConns      = 10
	concurrentAttacks  = 2
	sampleInterval     = 20 * time.Millisecond
	lackingDescriptors = 16 // soft limit while descriptors lack; all of them are in use
)

// FaultsConfig configures RunFaults.
type FaultsConfig struct {
	Programs string   // directory of the programs linkpass and linkpass-lab
	Seeds    []uint64 // one run each
	Seconds  int      // duration of a run
}

// RunFaults runs a coordinator as a process, once for each seed, under hostile clients, signals, stalls, resets, failing
// calls and reloaded limits, and prints a line for each run. It reports whether all rules were kept: the process ends by
// signals alone and stays within the limits of its settings, and each query of a sound client is answered in time,
// unless its process was killed meanwhile.
func RunFaults(c FaultsConfig) (ok bool, err error) {
	ok = true
	for _, seed := range c.Seeds {
		result, err := runFaults(programsIn(c.Programs), seed, time.Duration(c.Seconds)*time.Second)
		if err != nil {
			return false, err
		}
		fmt.Println(result)
		ok = ok && result.keepsRules()
	}
	return ok, nil
}

// faultsResult is what a run with faults showed.
type faultsResult struct {
	seed           uint64
	counts         map[string]int // faults by kind
	sound          *soundResult
	lost           int // queries without an answer in time, none of whose time a kill falls into
	peakMemory     int64
	maxDescriptors int
	unexpectedEnds []string // how a process ended that was not told to
	limits         processLimits
}

func (r *faultsResult) keepsRules() bool {
	return r.lost == 0 && len(r.unexpectedEnds) == 0 && r.peakMemory <= int64(r.limits.memoryMB)<<20 && r.maxDescriptors <= r.limits.sockets
}

func (r *faultsResult) String() string {
	return fmt.Sprintf("faults: seed=%d lost=%d memory=%.1fMB descriptors=%d unexpected_ends=%v %v faults=%v",
		r.seed, r.lost, float64(r.peakMemory)/(1<<20), r.maxDescriptors, r.unexpectedEnds, r.sound, r.counts)
}

// faultRun is one run. Its fields belong to the goroutine of run, except those that mu guards.
type faultRun struct {
	fleet    *processFleet
	programs programs
	rng      *rand.Rand
	result   *faultsResult
	attacks  sync.WaitGroup

	mu      sync.Mutex
	process *coordinatorProcess // the one that runs; nil while there is none
	down    []downWindow        // in which the coordinator was not there
}

// downWindow is a time in which queries may lose their answer: the process is being killed, or nobody listens.
type downWindow struct{ from, to time.Time }

func runFaults(programs programs, seed uint64, duration time.Duration) (*faultsResult, error) {
	limits := processLimits{memoryMB: processMemoryMB, sockets: processSockets, search: seed%2 == 0}
	fleet, err := newProcessFleet(programs.coordinator, seed, limits)
	if err != nil {
		return nil, err
	}
	defer fleet.close()
	r := &faultRun{fleet: fleet, programs: programs, rng: rand.New(rand.NewPCG(seed, 3)),
		result: &faultsResult{seed: seed, counts: map[string]int{}, limits: limits}}
	if r.process, err = fleet.start(nil); err != nil {
		return nil, err
	}
	err = r.run(duration)
	return r.result, err
}

// run causes faults for a duration while sound clients send queries.
func (r *faultRun) run(duration time.Duration) (err error) {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	sound := soundLoad{addr: r.fleet.platformAddr, clients: soundClients, pause: soundPause, timeout: faultSoundTimeout, name: "sound"}
	running.Go(func() { r.result.sound = sound.run(ctx) })
	running.Go(func() { r.sample(ctx) })
	for end := time.Now().Add(duration); err == nil && time.Now().Before(end); {
		err = r.cause()
		time.Sleep(time.Duration(r.rng.Int64N(int64(2 * faultInterval))))
	}
	cancel()
	running.Wait()
	r.attacks.Wait()
	if p := r.current(); p != nil {
		r.checkAlive(p)
		p.kill()
	}
	r.result.lost = r.countLost()
	return err
}

// current returns the process that runs, nil if there is none.
func (r *faultRun) current() *coordinatorProcess {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.process
}

// cause draws a fault and causes it.
func (r *faultRun) cause() error {
	faults := []struct {
		name   string
		weight int
		cause  func() error
	}{
		{"attack", 8, r.attack},
		{"stall", 2, r.stall},
		{"reload", 2, r.reload},
		{"descriptors", 2, r.lackDescriptors},
		{"server", 3, r.disturbServer},
		{"kill", 1, func() error { return r.restart(syscall.SIGKILL) }},
		{"restart", 1, func() error { return r.restart(syscall.SIGTERM) }},
	}
	total := 0
	for _, f := range faults {
		total += f.weight
	}
	drawn := r.rng.IntN(total)
	for _, f := range faults {
		if drawn -= f.weight; drawn < 0 {
			r.result.counts[f.name]++
			return f.cause()
		}
	}
	return nil
}

// checkAlive records that a process has ended that was not told to.
func (r *faultRun) checkAlive(p *coordinatorProcess) {
	if p.hasEnded() {
		r.result.unexpectedEnds = append(r.result.unexpectedEnds, fmt.Sprintf("ended by itself: %v", p.err))
	}
}

// sample records peaks of the process until the context ends.
func (r *faultRun) sample(ctx context.Context) {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		p := r.current()
		if p == nil {
			return
		}
		r.result.peakMemory = max(r.result.peakMemory, p.peakMemory())
		r.result.maxDescriptors = max(r.result.maxDescriptors, p.descriptors())
	}
}

// countLost returns the number of queries that had no answer in time and whose time no kill falls into.
func (r *faultRun) countLost() (lost int) {
	for _, missed := range r.result.sound.missed {
		excused := false
		for _, w := range r.down {
			excused = excused || missed.sentAt.Before(w.to) && missed.sentAt.After(w.from)
		}
		if !excused {
			lost++
		}
	}
	return lost
}
