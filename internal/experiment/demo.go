package experiment

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"linkpass/internal/adminapi"
	"linkpass/internal/dashboard"
	"linkpass/internal/discovery"
	"linkpass/internal/emulator"
	"linkpass/internal/shardmap"
)

// demoRestartDelay is the time from the kill of a server to its restart, and also the duration of the warm-up after it.
const demoRestartDelay = 5 * time.Second

// Demo is a running fleet with one coordinator that serves both fronts.
type Demo struct {
	w             *world
	Socket        string // path of the admin API's socket
	Search        string // address of the search front (host:port)
	AdminListener string // address of the platform's admin listener (host:port)

	AdminAPIAddr, KeyFile    string // address of the admin API over TCP (host:port), and path of the API's key file
	SearchFile, PlatformFile string // paths of the operators' file (TOML) and of the platform's configuration (JSON)
}

// StartDemo starts a demo with its files in a temporary directory, which Close removes. It fails if the fleet or the
// coordinator cannot start or is not ready in time.
func StartDemo(seed uint64) (*Demo, error) {
	w, err := newWorld(demoWorldConfig(seed))
	if err != nil {
		return nil, err
	}
	n := w.nodes[0]
	return &Demo{
		w:             w,
		Socket:        w.path("linkpass.sock"),
		Search:        n.searchAddr,
		AdminListener: n.adminAddr,
		AdminAPIAddr:  n.program.Status().AdminListen,
		KeyFile:       w.path("keys.toml"),
		SearchFile:    w.path("n0-search.toml"),
		PlatformFile:  w.path("n0-config.json"),
	}, nil
}

func demoWorldConfig(seed uint64) worldConfig {
	return worldConfig{
		seed:          seed,
		servers:       6,
		coordinators:  1,
		shards:        4,
		records:       500,
		replicas:      2,
		maxOpen:       1000,
		memoryMB:      128,
		adminListener: true,
		resharding:    "poll = \"200ms\"\nretire_after = \"1s\"",
		admin:         "socket = \"DIR/linkpass.sock\"\nlisten = \"127.0.0.1:0\"\nkeys = \"DIR/keys.toml\"",
		adminKeys:     "\"demo\" = \"" + strings.Repeat("d0", 32) + "\"\n",
		capacity: emulator.Capacity{
			Cores:              2,
			WorkPerPart:        20 * time.Millisecond,
			WorkPerRecord:      20 * time.Microsecond,
			Queue:              64,
			CopyRate:           200,
			WarmupDuration:     demoRestartDelay,
			WarmupInitialShare: 0.2,
		},
	}
}

// Fleet returns the demo's fleet, which the demo owns.
func (d *Demo) Fleet() *emulator.Fleet { return d.w.fleet }

// ReplicaSets returns, for each shard in order, the names of the servers that hold it at the start.
func (d *Demo) ReplicaSets() [][]string { return d.w.fleet.ReplicaSets(d.w.replicas) }

// Close stops the coordinator, waits for it, then stops the fleet and removes the files.
func (d *Demo) Close() { d.w.close() }

// RunDemo runs a demo with a dashboard until SIGINT or SIGTERM, and prints instructions for trying it. On SIGUSR1 it
// kills a server, which restarts after demoRestartDelay. RunDemo fails if the demo or the dashboard cannot start, or a
// server cannot restart.
func RunDemo(seed uint64) error {
	began := time.Now()
	d, err := StartDemo(seed)
	if err != nil {
		return err
	}
	defer d.Close()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("demo: listen for the dashboard: %w", err)
	}
	// Serve returns when ctx ends.
	go func() { _ = dashboard.Serve(ctx, listener, &adminapi.Client{Socket: d.Socket, Timeout: time.Second}) }()
	d.printInstructions(time.Since(began), listener.Addr())
	return d.killOnSignal(ctx)
}

func (d *Demo) printInstructions(ready time.Duration, dashboardAddr net.Addr) {
	fmt.Printf(`six emulated servers, discovery and a coordinator are ready after %d ms. Try in another terminal:

  a browser at http://%[6]s/
      shows the fleet, the slices, the service by class and the open plans

  curl -s '%[2]s/players/_search?size=2'
      returns two of the 500 players, with "failed":0

  export LINKPASS_SOCKET=%[3]s
  bin/linkpass slices split players %[4]d --into 2 --wait
      the slice goes through the steps of its plan to "retired"; searches stay complete meanwhile

  kill -USR1 %[5]d; bin/linkpass top
      kills a server, which restarts after 5 s and warms up: it is avoided, and searches stay complete

Ctrl-C ends the demo.
`, ready.Milliseconds(), d.Search, d.Socket, uint64(shardmap.FirstDynamicID), os.Getpid(), dashboardAddr)
}

// killOnSignal kills and restarts one server on each SIGUSR1, in turn, until the context ends. It fails if a server
// cannot restart.
func (d *Demo) killOnSignal(ctx context.Context) error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGUSR1)
	servers := d.Fleet().Servers
	for next := 0; ; next++ {
		select {
		case <-ctx.Done():
			return nil
		case <-signals:
		}
		if err := d.killAndRestart(ctx, servers[next%len(servers)]); err != nil {
			return err
		}
	}
}

// killAndRestart kills a server, which keeps its data, and restarts it after demoRestartDelay. It does not restart the
// server if the context ends first.
func (d *Demo) killAndRestart(ctx context.Context, server *emulator.Server) error {
	fmt.Printf("%s was killed\n", server.Name)
	server.Kill(false)
	select {
	case <-ctx.Done():
		return nil
	case <-time.After(demoRestartDelay):
	}
	if err := server.Restart(); err != nil {
		return err
	}
	d.Fleet().SetState(server, discovery.StateInService)
	fmt.Printf("%s has restarted\n", server.Name)
	return nil
}
