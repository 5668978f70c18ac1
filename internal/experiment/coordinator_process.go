package experiment

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"linkpass/internal/emulator"
	"linkpass/internal/experiment/hostile"
)

// Limits and sizes of a coordinatorProcess.
const (
	processServers     = 6
	processCores       = 2 // of a league server
	processQueue       = 64
	processWorkPerPart = 20 * time.Millisecond
	processMemoryMB    = 64
	processSockets     = 1024
	processMaxOpen     = 400

	processReadyTimeout = 15 * time.Second
	processPollInterval = 10 * time.Millisecond
)

// processLimits are the limits that a coordinator's settings name, and the fronts that share them.
type processLimits struct {
	memoryMB int
	sockets  int
	search   bool // whether the search front is on; it takes half of the clients' descriptors
	// workPerPart is the mean work of a part at a league server; 0: processWorkPerPart.
	workPerPart time.Duration
}

// processFleet is an emulated fleet whose coordinators run as processes of their own.
type processFleet struct {
	fleet  *emulator.Fleet
	dir    string // of the coordinators' files, and their TMPDIR; close removes it
	limits processLimits
	binary string // path of the program linkpass
	store  string // further lines of the search front's file, for the replicated store
	core   *int   // the only processor core that the coordinators may use; nil: any

	platformAddr, searchAddr, adminAddr string
}

// newProcessFleet starts a fleet of servers that speak the plain protocol, and writes the files of a coordinator.
func newProcessFleet(binary string, seed uint64, limits processLimits) (f *processFleet, err error) {
	f = &processFleet{limits: limits, binary: binary}
	defer func() {
		if err != nil {
			f.close()
		}
	}()
	if f.dir, err = os.MkdirTemp("", "linkpass-process-"); err != nil {
		return f, fmt.Errorf("experiment: create a directory for a coordinator: %w", err)
	}
	capacity := emulator.Capacity{Cores: processCores, WorkPerPart: processWorkPerPart, Queue: processQueue}
	if limits.workPerPart > 0 {
		capacity.WorkPerPart = limits.workPerPart
	}
	if f.fleet, err = emulator.NewFleet(processServers, 0, capacity, seed); err != nil {
		return f, err
	}
	host := nodeHost(worldCount.Add(1), 0)
	for _, addr := range []*string{&f.platformAddr, &f.searchAddr, &f.adminAddr} {
		if *addr, err = freeAddr(host); err != nil {
			return f, err
		}
	}
	return f, f.writeFiles(seed)
}

func (f *processFleet) platformPath() string { return filepath.Join(f.dir, "config.json") }
func (f *processFleet) searchPath() string   { return filepath.Join(f.dir, "search.toml") }

// writeFiles writes the configuration files of a coordinator that serves both fronts and the admin listener.
func (f *processFleet) writeFiles(seed uint64) error {
	endpointList, err := encodeEndpointList(f.fleet)
	if err != nil {
		return err
	}
	cfg := worldConfig{coordinators: 1, maxOpen: processMaxOpen, fixedShards: hostile.Shards}
	platform := fmt.Sprintf(`{"name":"n0","listen":%q,"operator":%q,"discovery":%q,"seed":"%x","limits":{"cores":1,"memory_mb":%d,"sockets":%d},"known":%s,"settings":%s}`,
		f.platformAddr, f.adminAddr, f.fleet.Discovery.Addr(), seed, f.limits.memoryMB, f.limits.sockets, endpointList, platformSettings(cfg))
	search := ""
	if f.limits.search {
		search = fmt.Sprintf("listen = %q\n[indices.players]\nclass = \"team-lookup\"\nslices = [0]\n%s", f.searchAddr, f.store)
	}
	return writeFiles(map[string]string{f.platformPath(): platform, f.searchPath(): search})
}

// close stops the fleet and removes the files. The coordinators must have ended.
func (f *processFleet) close() {
	if f.fleet != nil {
		f.fleet.Close()
	}
	_ = os.RemoveAll(f.dir)
}

// inheritedFD is the descriptor of the first of exec.Cmd.ExtraFiles.
const inheritedFD = 3

// start starts a coordinator and waits until it is ready. Unless socket is nil, it accepts its clients there, as the
// processes of an upgrade do.
func (f *processFleet) start(socket *os.File) (*coordinatorProcess, error) {
	p := &coordinatorProcess{ended: make(chan struct{})}
	p.cmd = exec.Command(f.binary, "-opensearch", f.searchPath())
	p.cmd.Env = append(os.Environ(), "ROUTER_CONFIG="+f.platformPath(), "TMPDIR="+f.dir)
	if socket != nil {
		p.cmd.ExtraFiles = []*os.File{socket}
		// A free port: each process of an upgrade has an admin listener of its own.
		p.cmd.Env = append(p.cmd.Env, fmt.Sprintf("ROUTER_LISTEN_FD=%d", inheritedFD), "ROUTER_OPERATOR=127.0.0.1:0")
	}
	p.cmd.Stderr = &p.log
	if err := f.startPinned(p.cmd); err != nil {
		return nil, fmt.Errorf("experiment: start a coordinator: %w", err)
	}
	go func() {
		defer close(p.ended)
		p.err = p.cmd.Wait()
	}()
	if err := p.awaitReady(); err != nil {
		p.kill()
		return nil, err
	}
	return p, nil
}

// startPinned starts a process on the fleet's core.
func (f *processFleet) startPinned(cmd *exec.Cmd) error {
	if f.core == nil {
		return cmd.Start()
	}
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	var before, only unix.CPUSet
	if err := unix.SchedGetaffinity(0, &before); err != nil {
		return fmt.Errorf("read the cores of the process: %w", err)
	}
	only.Set(*f.core)
	if err := unix.SchedSetaffinity(0, &only); err != nil { // the child inherits the cores of this thread
		return fmt.Errorf("choose core %d: %w", *f.core, err)
	}
	defer func() { _ = unix.SchedSetaffinity(0, &before) }()
	return cmd.Start()
}

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
