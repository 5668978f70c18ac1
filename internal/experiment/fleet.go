package experiment

import (
	"context"
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

const (
	fleetIndex              = "players"
	fleetReplicas           = 2                // servers of a replica set
	fleetWarmup             = 10 * time.Second // duration of the warm-up after a restart
	fleetWarmupInitialShare = 0.2
)

// FleetConfig configures RunFleet: a fleet for trying a coordinator by hand.
type FleetConfig struct {
	Servers   int    // number of league servers
	Shards    int    // number of shards of the index at the start
	Records   int    // number of records of the index
	Discovery string // address of discovery (host:port)
	Search    string // address of the coordinator's search front (host:port)
	Dir       string // directory of the coordinator's files; created if it does not exist
	Seed      uint64
}

// RunFleet writes the configuration files of a coordinator, prints how to start it and runs the fleet until SIGINT or
// SIGTERM. It fails if the fleet cannot listen or a file cannot be written.
func RunFleet(c FleetConfig) error {
	capacity := emulator.Capacity{
		Cores:              2,
		WorkPerPart:        20 * time.Millisecond,
		WorkPerRecord:      20 * time.Microsecond,
		Queue:              64,
		CopyRate:           100,
		WarmupDuration:     fleetWarmup,
		WarmupInitialShare: fleetWarmupInitialShare,
	}
	fleet, err := emulator.NewFleetAt(c.Servers, c.Records, capacity, c.Seed, c.Discovery)
	if err != nil {
		return err
	}
	defer fleet.Close()
	shardMap, err := shardmap.NewEven(c.Shards, fleet.ReplicaSets(fleetReplicas))
	if err != nil {
		return err
	}
	fleet.PlaceShards(fleetIndex, shardMap)
	if err := c.writeFiles(fleet); err != nil {
		return err
	}
	c.printInstructions(fleet)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	<-ctx.Done()
	return nil
}

func (c FleetConfig) platformPath() string { return filepath.Join(c.Dir, "config.json") }
func (c FleetConfig) searchPath() string   { return filepath.Join(c.Dir, "search.toml") }

func (c FleetConfig) printInstructions(fleet *emulator.Fleet) {
	fmt.Printf("fleet of %d servers, discovery at %s. In another terminal:\n\n", c.Servers, fleet.Discovery.Addr())
	fmt.Printf("  ROUTER_CONFIG=%s bin/linkpass -opensearch %s\n", c.platformPath(), c.searchPath())
	fmt.Printf("  curl -s '%s/_cat/shards?v'\n", c.Search)
	fmt.Printf("  curl -s '%s/players/_search?size=3'\n", c.Search)
	fmt.Printf("  curl -s -X POST -d '{\"commands\":[{\"split\":{\"index\":\"players\",\"shard\":%d,\"into\":2}}]}' '%s/_cluster/reroute'\n",
		shardmap.FirstDynamicID, c.Search)
}

// writeFiles writes the configuration files of a coordinator that is the only member of its store.
func (c FleetConfig) writeFiles(fleet *emulator.Fleet) error {
	if err := os.MkdirAll(c.Dir, 0o755); err != nil {
		return fmt.Errorf("experiment: create the directory for the coordinator's files: %w", err)
	}
	platform, err := fleetPlatformConfig(fleet)
	if err != nil {
		return err
	}
	raftAddr, err := freeAddr("127.0.0.1")
	if err != nil {
		return err
	}
	return writeFiles(map[string]string{c.platformPath(): platform, c.searchPath(): c.searchConfig(fleet, raftAddr)})
}

// fleetPlatformConfig returns the platform's configuration of the coordinator, in JSON.
func fleetPlatformConfig(fleet *emulator.Fleet) (string, error) {
	endpointList, err := encodeEndpointList(fleet)
	if err != nil {
		return "", err
	}
	cfg := worldConfig{coordinators: 1, maxOpen: 1000, capacity: emulator.Capacity{WarmupDuration: fleetWarmup, WarmupInitialShare: fleetWarmupInitialShare}}
	return fmt.Sprintf(`{"name":"by-hand","listen":"127.0.0.1:0","discovery":%q,"seed":"5","limits":{"memory_mb":128,"sockets":1024},"known":%s,"settings":%s}`,
		fleet.Discovery.Addr(), endpointList, platformSettings(cfg)), nil
}

// searchConfig returns the operators' file, in TOML.
func (c FleetConfig) searchConfig(fleet *emulator.Fleet, raftAddr string) string {
	var b strings.Builder
	sets := replicaSetsTOML(fleet.ReplicaSets(fleetReplicas))
	fmt.Fprintf(&b, "listen = %q\n\n[indices.players]\nclass = \"team-lookup\"\nspread = { slices = %d, sets = %s }\n\n", c.Search, c.Shards, sets)
	b.WriteString(serversTOML(fleet))
	b.WriteString("\n[reshape]\npoll = \"500ms\"\nretire_after = \"3s\"\n")
	fmt.Fprintf(&b, "\n[store]\nid = \"a\"\ndir = %q\n[[store.members]]\nid = \"a\"\nraft = %q\nhttp = %q\n", filepath.Join(c.Dir, "store"), raftAddr, c.Search)
	return b.String()
}
