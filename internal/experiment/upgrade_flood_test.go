package experiment

import (
	"context"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"linkpass/internal/experiment/hostile"
)

const upgradePhase = 1500 * time.Millisecond // each of the three times of an upgrade

// Guards against the processes of an upgrade that together pass the limits of their settings, or lose queries, while
// hostile clients hold requests back and flood (report 9bf5e0).
func TestUpgradeUnderAttackKeepsLimits(t *testing.T) {
	isolate(t)
	programs := builtPrograms(t)
	limits := processLimits{memoryMB: processMemoryMB, sockets: processSockets}
	f, err := newProcessFleet(programs.coordinator, 1, limits)
	if err != nil {
		t.Fatal(err)
	}
	defer f.close()
	listener, err := net.Listen("tcp", f.platformAddr)
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	socket, err := listener.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	defer socket.Close()
	predecessor, err := f.start(socket)
	if err != nil {
		t.Fatal(err)
	}
	defer predecessor.kill()
	for name, conns := range map[string]int{"partial-heads": 300, "half-bodies": 100, "pipelined-no-id": floodConns} {
		attack, _ := hostile.Find(name)
		stop, err := f.startAttack(programs, plannedAttack{attack, conns}, 1)
		if err != nil {
			t.Fatal(err)
		}
		defer stop()
	}
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	var sound *soundResult
	load := soundLoad{addr: f.platformAddr, clients: soundClients, pause: soundPause, timeout: faultSoundTimeout, name: "sound"}
	running.Go(func() { sound = load.run(ctx) })
	time.Sleep(upgradePhase)
	successor, err := f.start(socket)
	if err != nil {
		t.Fatal(err)
	}
	defer successor.kill()
	together, descriptors := int64(0), 0
	for end := time.Now().Add(upgradePhase); time.Now().Before(end); time.Sleep(sampleInterval) {
		together = max(together, predecessor.memory("VmRSS:")+successor.memory("VmRSS:"))
		descriptors = max(descriptors, predecessor.descriptors()+successor.descriptors())
	}
	predecessor.signal(syscall.SIGTERM)
	select {
	case <-predecessor.ended:
	case <-time.After(shutdownTime):
		t.Error("the predecessor is still there when the platform kills it")
	}
	time.Sleep(upgradePhase)
	cancel()
	running.Wait()
	t.Logf("together: %.1f MB, %d descriptors; %v", float64(together)/(1<<20), descriptors, sound)
	if together > int64(limits.memoryMB)<<20 || descriptors > limits.sockets {
		t.Errorf("both processes: %d bytes, %d descriptors; want at most %d MB, %d", together, descriptors, limits.memoryMB, limits.sockets)
	}
	if sound.late > 0 || sound.closed > 0 {
		t.Errorf("sound clients: %v; want each query answered in time", sound)
	}
}
