package experiment

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"

	"linkpass/internal/experiment/hostile"
)

// Load of the sound clients beside an attack.
const (
	soundClients      = 4
	soundPause        = 20 * time.Millisecond
	soundTimeout      = 400 * time.Millisecond
	descriptorsSample = 20 * time.Millisecond // between two counts of a process's descriptors
)

// programs are the paths of the programs that a run with processes starts.
type programs struct {
	coordinator string // linkpass
	lab         string // linkpass-lab
}

// programsIn returns the programs in a directory.
func programsIn(dir string) programs {
	return programs{coordinator: filepath.Join(dir, "linkpass"), lab: filepath.Join(dir, "linkpass-lab")}
}

// plannedAttack is an attack with its number of connections.
type plannedAttack struct {
	hostile.Attack
	conns int
}

// attackResult is what a run of attacks showed.
type attackResult struct {
	kept           *soundResult   // of the sound clients that keep their connections
	fresh          *soundResult   // of the sound clients that open a connection for each query
	others         []*soundResult // of the further clients, in the order of their loads
	peakMemory     int64          // bytes
	maxDescriptors int
	logBytes       int // that the coordinator logged
	ended          bool
	counters       map[string]int64
}

func (r *attackResult) String() string {
	return fmt.Sprintf("memory=%.1fMB descriptors=%d log=%dB ended=%v kept: %v fresh: %v",
		float64(r.peakMemory)/(1<<20), r.maxDescriptors, r.logBytes, r.ended, r.kept, r.fresh)
}

// target returns the address of one of the coordinator's listeners.
func (f *processFleet) target(listener hostile.Listener) string {
	return [...]string{hostile.Platform: f.platformAddr, hostile.Search: f.searchAddr, hostile.Admin: f.adminAddr}[listener]
}

// startAttack starts the hostile clients of an attack as a process. stop ends them and waits.
func (f *processFleet) startAttack(programs programs, attack plannedAttack, seed uint64) (stop func(), err error) {
	cmd := exec.Command(programs.lab, "hostile", attack.Name, f.target(attack.Listener), "--conns", fmt.Sprint(attack.conns),
		"--seed", fmt.Sprint(seed), "--seconds", fmt.Sprint(int(maxHostileDuration.Seconds())))
	cmd.Stderr = os.Stderr
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("experiment: start the hostile clients: %w", err)
	}
	return func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}, nil
}

// runAttacks starts a coordinator, attacks it for a duration while sound clients use it, and kills it. loads are those of
// further clients.
func (f *processFleet) runAttacks(
	programs programs, attacks []plannedAttack, duration time.Duration, seed uint64, loads ...soundLoad,
) (*attackResult, error) {
	p, err := f.start(nil)
	if err != nil {
		return nil, err
	}
	defer p.kill()
	result := &attackResult{}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	sound := soundLoad{addr: f.platformAddr, clients: soundClients, pause: soundPause, timeout: soundTimeout}
	running.Go(func() { load := sound; load.name = "kept"; result.kept = load.run(ctx) })
	running.Go(func() { load := sound; load.name, load.reconnect = "fresh", true; result.fresh = load.run(ctx) })
	running.Go(func() { result.sampleDescriptors(ctx, p) })
	result.others = make([]*soundResult, len(loads))
	for i, load := range loads {
		load.addr = f.platformAddr
		running.Go(func() { result.others[i] = load.run(ctx) })
	}
	time.Sleep(duration / 10) // the sound clients alone
	for _, attack := range attacks {
		stop, err := f.startAttack(programs, attack, seed)
		if err != nil {
			return nil, err
		}
		defer stop()
	}
	time.Sleep(duration)
	cancel()
	running.Wait()
	result.ended = p.hasEnded()
	result.logBytes = len(p.log.String())
	result.counters = p.counters()
	result.peakMemory = p.peakMemory()
	return result, nil
}

// sampleDescriptors records the largest number of the process's descriptors until the context ends.
func (r *attackResult) sampleDescriptors(ctx context.Context, p *coordinatorProcess) {
	ticker := time.NewTicker(descriptorsSample)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.maxDescriptors = max(r.maxDescriptors, p.descriptors())
		}
	}
}
