package experiment

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Times of a coordinatorProcess.
const (
	processReadyTimeout = 15 * time.Second
	processPollInterval = 10 * time.Millisecond
)

// awaitReady waits until the coordinator logs that it serves.
func (p *coordinatorProcess) awaitReady() error {
	deadline := time.Now().Add(processReadyTimeout)
	for time.Now().Before(deadline) {
		if p.hasEnded() {
			return fmt.Errorf("experiment: the coordinator ended during its start: %w\n%s", p.err, p.log.String())
		}
		if strings.Contains(p.log.String(), "to=serving") {
			return nil
		}
		time.Sleep(processPollInterval)
	}
	return fmt.Errorf("experiment: the coordinator is not ready in time:\n%s", p.log.String())
}

// coordinatorProcess is a coordinator that runs as a process of its own.
type coordinatorProcess struct {
	cmd   *exec.Cmd
	log   syncBuffer
	ended chan struct{} // closed when the process has ended
	err   error         // of the process; valid once ended is closed
}

func (p *coordinatorProcess) hasEnded() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// signal sends a signal to the process, and does nothing if it has ended.
func (p *coordinatorProcess) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// kill kills the process and waits for its end.
func (p *coordinatorProcess) kill() {
	p.signal(syscall.SIGKILL)
	<-p.ended
}

// peakMemory returns the peak of the process's resident memory in bytes, 0 if the process has ended.
func (p *coordinatorProcess) peakMemory() int64 { return p.memory("VmHWM:") }

// memory returns a memory field of the process's status in bytes.
func (p *coordinatorProcess) memory(field string) int64 {
	status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	for line := range strings.Lines(string(status)) {
		if rest, ok := strings.CutPrefix(line, field); ok {
			kib, _ := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(rest), " kB"), 10, 64)
			return kib << 10
		}
	}
	return 0
}

// descriptors returns the number of the process's open file descriptors.
func (p *coordinatorProcess) descriptors() int {
	entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	return len(entries)
}

// counters asks the process for its counters and returns them by name.
func (p *coordinatorProcess) counters() map[string]int64 {
	before := strings.Count(p.log.String(), "event=counters")
	p.signal(syscall.SIGUSR1)
	deadline := time.Now().Add(processReadyTimeout)
	for strings.Count(p.log.String(), "event=counters") == before && time.Now().Before(deadline) && !p.hasEnded() {
		time.Sleep(processPollInterval)
	}
	counts := map[string]int64{}
	lines := strings.Split(p.log.String(), "\n")
	for i := len(lines) - 1; i >= 0; i-- {
		if !strings.Contains(lines[i], "event=counters") {
			continue
		}
		for _, field := range strings.Fields(lines[i]) {
			name, value, _ := strings.Cut(field, "=")
			if n, err := strconv.ParseInt(value, 10, 64); err == nil {
				counts[name] = n
			}
		}
		break
	}
	return counts
}

// syncBuffer is a buffer that several goroutines may use.
type syncBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

// Write appends to the buffer.
func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

// String returns all that was written.
func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}
