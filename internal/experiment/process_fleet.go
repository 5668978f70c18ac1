package experiment

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"time"

	"golang.org/x/sys/unix"

	"linkpass/internal/emulator"
	"linkpass/internal/experiment/hostile"
)

// Limits and sizes of a processFleet.
const (
	processServers     = 6
	processCores       = 2 // of a league server
	processQueue       = 64
	processWorkPerPart = 20 * time.Millisecond
	processMemoryMB    = 64
	processSockets     = 1024
	processMaxOpen     = 400
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
