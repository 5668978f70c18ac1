package experiment

import (
	"fmt"
	"os"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"linkpass/internal/experiment/hostile"
)

// attack starts hostile clients for a while.
func (r *faultRun) attack() error {
	all := hostile.All()
	drawn := all[r.rng.IntN(len(all))]
	if drawn.Overrun || drawn.Listener == hostile.Search && !r.fleet.limits.search {
		return nil
	}
	conns := 1 + r.rng.IntN(maxFloodConns)
	if drawn.Holding {
		conns = 1 + r.rng.IntN(maxHeldConns)
	}
	stop, err := r.fleet.startAttack(r.programs, plannedAttack{drawn, conns}, r.rng.Uint64())
	if err != nil {
		return err
	}
	duration := time.Duration(r.rng.Int64N(int64(maxAttackTime)))
	r.attacks.Go(func() {
		time.Sleep(duration)
		stop()
	})
	return nil
}

// stall holds the process up.
func (r *faultRun) stall() error {
	p := r.current()
	p.signal(syscall.SIGSTOP)
	time.Sleep(time.Duration(r.rng.Int64N(int64(maxStall))))
	p.signal(syscall.SIGCONT)
	return nil
}

// reload changes the limit on memory in the file and has it read again, several times in a row.
func (r *faultRun) reload() error {
	for _, memoryMB := range []int{smallMemoryMB, r.fleet.limits.memoryMB} {
		if err := r.fleet.setMemoryMB(memoryMB); err != nil {
			return err
		}
		r.current().signal(syscall.SIGHUP)
		time.Sleep(time.Duration(r.rng.Int64N(int64(faultInterval))))
	}
	return nil
}

// lackDescriptors lowers the limit on the process's descriptors for a while, so that accept, socket and open fail.
func (r *faultRun) lackDescriptors() error {
	pid := r.current().cmd.Process.Pid
	var before unix.Rlimit
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, nil, &before); err != nil {
		return fmt.Errorf("experiment: read the limit on descriptors: %w", err)
	}
	lowered := unix.Rlimit{Cur: lackingDescriptors, Max: before.Max}
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, &lowered, nil); err != nil {
		return fmt.Errorf("experiment: lower the limit on descriptors: %w", err)
	}
	time.Sleep(descriptorLack)
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, &before, nil); err != nil {
		return fmt.Errorf("experiment: restore the limit on descriptors: %w", err)
	}
	return nil
}

// disturbServer resets the connections of a league server, or makes it pause.
func (r *faultRun) disturbServer() error {
	server := r.fleet.fleet.Servers[r.rng.IntN(len(r.fleet.fleet.Servers))]
	if r.rng.IntN(2) == 0 {
		server.Pause(serverPause)
		return nil
	}
	server.Kill(false)
	return server.Restart()
}

// restart ends the process by a signal and starts it again, whatever attacks run.
func (r *faultRun) restart(signal syscall.Signal) error {
	p := r.current()
	r.checkAlive(p)
	window := downWindow{from: time.Now().Add(-resetWindow)} // what a kill finds unanswered is lost
	p.signal(signal)
	if signal == syscall.SIGTERM {
		window.from = time.Now() // what came before is owed its answer
		select {
		case <-p.ended:
		case <-time.After(shutdownTime):
			r.result.unexpectedEnds = append(r.result.unexpectedEnds, "still there when the platform kills it")
		}
	}
	p.kill()
	if signal == syscall.SIGTERM && p.err != nil {
		r.result.unexpectedEnds = append(r.result.unexpectedEnds, p.err.Error())
	}
	time.Sleep(downTime)
	next, err := r.fleet.start(nil)
	window.to = time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.process = next
	r.down = append(r.down, window)
	return err
}

// setMemoryMB writes another limit on memory to the coordinator's file.
func (f *processFleet) setMemoryMB(memoryMB int) error {
	text, err := os.ReadFile(f.platformPath())
	if err != nil {
		return fmt.Errorf("experiment: read a coordinator's file: %w", err)
	}
	before, rest, _ := strings.Cut(string(text), `"memory_mb":`)
	_, after, _ := strings.Cut(rest, ",")
	changed := fmt.Sprintf(`%s"memory_mb":%d,%s`, before, memoryMB, after)
	return writeFiles(map[string]string{f.platformPath(): changed})
}
