package experiment

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"linkpass/internal/emulator"
	"linkpass/internal/shardmap"
)

// FleetConfig sets up a fleet to try the program against by hand.
type FleetConfig struct {
	Servers, Slices, Records int
	Discovery, Search, Dir   string
	Seed                     uint64
}

// RunFleet runs the fleet until SIGINT or SIGTERM. It writes the files of a coordinator with a
// store of its own and says how to start it.
func RunFleet(c FleetConfig) error {
	work := emulator.Capacity{Cores: 2, WorkPerPart: 20 * time.Millisecond, WorkPerRecord: 20 * time.Microsecond, Queue: 64, CopyRate: 100, WarmupDuration: 10 * time.Second, WarmupInitialShare: 0.2}
	f, err := emulator.NewFleetAt(c.Servers, c.Records, work, c.Seed, c.Discovery)
	if err != nil {
		return err
	}
	defer f.Close()
	sets := f.ReplicaSets(2)
	first, err := shardmap.NewEven(c.Slices, sets)
	if err != nil {
		return err
	}
	f.PlaceShards("players", first)
	if err := writeFiles(c, f, sets); err != nil {
		return err
	}
	fmt.Printf("fleet of %d servers, discovery at %s. In another terminal:\n\n", c.Servers, f.Discovery.Addr())
	fmt.Printf("  ROUTER_CONFIG=%s bin/linkpass -opensearch %s\n", filepath.Join(c.Dir, "config.json"), filepath.Join(c.Dir, "search.toml"))
	fmt.Printf("  curl -s '%s/_cat/shards?v'\n", c.Search)
	fmt.Printf("  curl -s '%s/players/_search?size=3'\n", c.Search)
	fmt.Printf("  curl -s -X POST -d '{\"commands\":[{\"split\":{\"index\":\"players\",\"shard\":%d,\"into\":2}}]}' '%s/_cluster/reroute'\n", shardmap.FirstDynamicID, c.Search)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	<-ctx.Done()
	return nil
}

func writeFiles(c FleetConfig, f *emulator.Fleet, sets [][]string) error {
	if err := os.MkdirAll(c.Dir, 0o755); err != nil {
		return fmt.Errorf("lab: %w", err)
	}
	known, err := json.Marshal(f.Discovery.EndpointList())
	if err != nil {
		return fmt.Errorf("lab: %w", err)
	}
	sh := shape{nodes: 1, maxOpen: 1000, work: emulator.Capacity{WarmupDuration: 10 * time.Second, WarmupInitialShare: 0.2}}
	config := fmt.Sprintf(`{"name":"by-hand","listen":"127.0.0.1:0","discovery":%q,"seed":"5","limits":{"memory_mb":128,"sockets":1024},"known":%s,"settings":%s}`,
		f.Discovery.Addr(), known, settingsOf(sh))
	var t strings.Builder
	list, _ := json.Marshal(sets) // arrays of strings are the same in TOML
	fmt.Fprintf(&t, "listen = %q\n\n[indices.players]\nclass = \"team-lookup\"\nspread = { slices = %d, sets = %s }\n\n", c.Search, c.Slices, list)
	for _, s := range f.Servers {
		fmt.Fprintf(&t, "[servers.%s]\nprotocol = \"search\"\n", s.Name)
	}
	raft, err := freePort("127.0.0.1")
	if err != nil {
		return err
	}
	fmt.Fprintf(&t, "\n[reshape]\npoll = \"500ms\"\nretire_after = \"3s\"\n\n[store]\nid = \"a\"\ndir = %q\n[[store.members]]\nid = \"a\"\nraft = %q\nhttp = %q\n",
		filepath.Join(c.Dir, "store"), raft, c.Search)
	for name, text := range map[string]string{"config.json": config, "search.toml": t.String()} {
		if err := os.WriteFile(filepath.Join(c.Dir, name), []byte(text), 0o600); err != nil {
			return fmt.Errorf("lab: %w", err)
		}
	}
	return nil
}
