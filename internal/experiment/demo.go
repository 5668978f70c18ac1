package experiment

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"linkpass/internal/adminapi"
	"linkpass/internal/dashboard"
	"linkpass/internal/emulator"
	"linkpass/internal/shardmap"
)

// Demo is a fleet and a coordinator with both fronts, ready to be tried.
type Demo struct {
	w             *world
	Socket        string // of the operators' API
	Search        string // address of the search front
	AdminListener string // address of the door

	Operator, KeyFile string // address of the operators' API over TCP, and the key that it takes
	File, Config      string // the operators' file, the platform's configuration
}

// StartDemo starts one. Everything lies in a folder of its own, which Close removes.
func StartDemo(seed uint64) (*Demo, error) {
	w, err := newWorld(shape{name: "demo", seed: seed, servers: 6, nodes: 1, slices: 4, records: 500, each: 2, maxOpen: 1000, memoryMB: 128, door: true,
		reshape: "poll = \"200ms\"\nretire_after = \"1s\"", operator: "socket = \"DIR/linkpass.sock\"\nlisten = \"127.0.0.1:0\"\nkeys = \"DIR/keys.toml\"",
		keys: "\"demo\" = \"" + strings.Repeat("d0", 32) + "\"\n",
		work: emulator.Capacity{Cores: 2, WorkPerPart: 20 * time.Millisecond, WorkPerRecord: 20 * time.Microsecond, Queue: 64, CopyRate: 200, WarmupDuration: 5 * time.Second, WarmupInitialShare: 0.2}})
	if err != nil {
		return nil, err
	}
	return &Demo{w: w, Socket: filepath.Join(w.dir, "linkpass.sock"), Search: w.nodes[0].search, AdminListener: w.nodes[0].door,
		Operator: w.nodes[0].p.Status().AdminListen, KeyFile: filepath.Join(w.dir, "keys.toml"), File: filepath.Join(w.dir, "n0-search.toml"),
		Config: filepath.Join(w.dir, "n0-config.json")}, nil
}

// Fleet is the demo's fleet.
func (d *Demo) Fleet() *emulator.Fleet { return d.w.fleet }

// ReplicaSets are the sets of servers that hold its slices.
func (d *Demo) ReplicaSets() [][]string { return d.w.fleet.ReplicaSets(d.w.each) }

// Close ends it.
func (d *Demo) Close() { d.w.close() }

// RunDemo runs one until it is interrupted, and says what to try.
func RunDemo(seed uint64) error {
	began := time.Now()
	d, err := StartDemo(seed)
	if err != nil {
		return err
	}
	defer d.Close()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	go func() { _ = dashboard.Serve(ctx, ln, &adminapi.Client{Socket: d.Socket, Timeout: time.Second}) }()
	fmt.Printf(`six stand-in servers, discovery and a coordinator, ready after %d ms. Try, in another terminal:

  a browser at http://%[6]s/
      the fleet, slices, service by class, open plans

  curl -s '%[2]s/players/_search?size=2'
      two of the 500 players, "failed":0

  export LINKPASS_SOCKET=%[3]s
  bin/linkpass slices split players %[4]d --into 2 --wait
      the slice goes through its steps to "retired"; searches stay whole meanwhile

  kill -USR1 %[5]d; bin/linkpass top
      a server dies (and comes back cold after 5 s): it is avoided, and searches stay whole

Ctrl-C ends it.
`, time.Since(began).Milliseconds(), d.Search, d.Socket, uint64(shardmap.FirstDynamicID), os.Getpid(), ln.Addr())
	kills := make(chan os.Signal, 1)
	signal.Notify(kills, syscall.SIGUSR1)
	for next := 0; ; next++ {
		select {
		case <-ctx.Done():
			return nil
		case <-kills:
		}
		s := d.Fleet().Servers[next%len(d.Fleet().Servers)]
		fmt.Printf("%s dies\n", s.Name)
		s.Kill(false)
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(5 * time.Second):
		}
		if err := s.Restart(); err != nil {
			return err
		}
		d.Fleet().SetState(s, "in_service")
		fmt.Printf("%s is back\n", s.Name)
	}
}
