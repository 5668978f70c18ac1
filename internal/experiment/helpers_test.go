package experiment

import (
	"io"
	"os"
	"slices"
	"testing"
	"time"

	"linkpass/internal/adminapi"
	"linkpass/internal/emulator"
	"linkpass/internal/eventlog"
)

// isolate discards the log lines of the test's coordinators and keeps their files in the test's temporary directory.
func isolate(t *testing.T) {
	t.Helper()
	eventlog.SetOutput(io.Discard, false)
	t.Cleanup(func() { eventlog.SetOutput(os.Stderr, false) })
	t.Setenv("TMPDIR", t.TempDir())
}

// stateRemoved is passed to awaitServerState instead of a state. It means that the server is not in the coordinator's
// server list.
const stateRemoved = "removed"

// startCluster starts coordinators on a fleet of their own and stops both at the end of the test.
func startCluster(t *testing.T, seed uint64, coordinators int) *world {
	t.Helper()
	w, err := newWorld(worldConfig{
		seed:         seed,
		servers:      4,
		coordinators: coordinators,
		shards:       2,
		records:      50,
		replicas:     2,
		maxOpen:      100,
		memoryMB:     64,
		resharding:   "poll = \"200ms\"",
		capacity:     emulator.Capacity{Cores: 2, WorkPerPart: time.Millisecond, Queue: 64, CopyRate: 200},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.close)
	return w
}

// awaitServerState waits until all nodes have a server in a state and, if settled is set, have no pending restriction.
func awaitServerState(t *testing.T, nodes []*node, server, state string, settled bool) {
	t.Helper()
	for _, n := range nodes {
		for {
			list, err := n.program.Servers()
			replicated, stateErr := n.program.ReplicatedState()
			at := slices.IndexFunc(list, func(s adminapi.Server) bool { return s.Name == server })
			if err == nil && stateErr == nil && (at < 0 && state == stateRemoved || at >= 0 && list[at].State == state) && (!settled || len(replicated.Pending) == 0) {
				break
			}
			if t.Context().Err() != nil {
				t.Fatal("server", server, "did not reach state", state)
			}
			time.Sleep(2 * time.Millisecond)
		}
	}
}
