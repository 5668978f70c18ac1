package experiment

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"linkpass/internal/emulator"
	"linkpass/internal/shardmap"
)

// class is a request class. The queries of each class go to an index of their own.
type class struct {
	name             string
	index            string
	latencyObjective time.Duration
	timeout          time.Duration
	priorityWeight   float64
	lateValue        float64 // share of the weight that an answer has after the latency objective, from 0 to 1
	minWeight        float64 // share of the weight that the router may not go below, from 0 to 1
}

// classes are the request classes of every experiment.
var classes = []class{
	{"team-lookup", "players", time.Second, 2500 * time.Millisecond, 1, 0, 1},
	{"league-table", "tables", 2 * time.Second, 5 * time.Second, 3, 0.3, 0.5},
}

// worldConfig configures a world.
type worldConfig struct {
	seed         uint64
	servers      int
	coordinators int
	shards       int // initial number in each index
	fixedShards  int // of the platform's queries, whose shard map is fixed; 0: one
	replicas     int // servers of a replica set
	records      int
	capacity     emulator.Capacity
	maxOpen      int // maximum of open queries at a coordinator
	memoryMB     int // memory limit of a coordinator

	resharding    string // lines of the section reshape in the operators' file
	bodies        string // lines of the section bodies; DIR stands for a directory of the coordinator's own
	admin         string // lines of the section operator; DIR stands for the world's directory
	adminKeys     string // content of keys.toml in the world's directory; if empty, there is no such file
	adminListener bool   // whether a coordinator serves its admin listener
}

// world is an emulated fleet and the coordinators in front of it.
type world struct {
	worldConfig
	fleet  *emulator.Fleet
	dir    string // directory of the coordinators' files; close removes it
	nodes  []*node
	client *http.Client
}

// worldCount is the number of worlds that this process has started. nodeHost uses it to give each its own addresses.
var worldCount atomic.Uint32

// newWorld starts a fleet and its coordinators, and waits until they are ready. If that fails it stops what it started.
func newWorld(cfg worldConfig) (w *world, err error) {
	w = &world{worldConfig: cfg, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 128}}}
	defer func() {
		if err != nil {
			w.close()
		}
	}()
	if w.dir, err = os.MkdirTemp("", "linkpass-lab-"); err != nil {
		return w, fmt.Errorf("experiment: create a directory for a world: %w", err)
	}
	if err = w.startFleet(); err != nil {
		return w, err
	}
	if err = w.startNodes(); err != nil {
		return w, err
	}
	return w, w.awaitReady()
}

func (w *world) startFleet() (err error) {
	if w.fleet, err = emulator.NewFleet(w.servers, w.records, w.capacity, w.seed); err != nil {
		return err
	}
	shardMap, err := shardmap.NewEven(w.shards, w.fleet.ReplicaSets(w.replicas))
	if err != nil {
		return err
	}
	for _, c := range classes {
		w.fleet.PlaceShards(c.index, shardMap)
	}
	return nil
}

func (w *world) startNodes() error {
	worldNumber := worldCount.Add(1)
	addrs := make([]nodeAddrs, w.coordinators)
	for i := range addrs {
		for _, addr := range []*string{&addrs[i].raft, &addrs[i].search} {
			var err error
			if *addr, err = freeAddr(nodeHost(worldNumber, i)); err != nil {
				return err
			}
		}
	}
	for i := range addrs {
		n, err := w.startNode(i, addrs)
		if err != nil {
			return err
		}
		w.nodes = append(w.nodes, n)
	}
	return nil
}

// nodeHost returns a loopback address for one coordinator alone, so that no other world takes a port of it between
// freeAddr and the coordinator's use.
func nodeHost(worldNumber uint32, node int) string {
	return fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()%128, worldNumber%250, node+1)
}

// freeAddr finds a free TCP port of a host and returns host:port. It does not reserve the port.
func freeAddr(host string) (string, error) {
	listener, err := net.Listen("tcp", host+":0")
	if err != nil {
		return "", fmt.Errorf("experiment: find a free port of %s: %w", host, err)
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// counterSum returns the sum of a counter over all coordinators.
func (w *world) counterSum(name string) (n int64) {
	for _, node := range w.nodes {
		n += node.program.Counters().Get(name)
	}
	return n
}

// close stops the coordinators, waits for them, then stops the fleet and removes the directory.
func (w *world) close() {
	var stopping sync.WaitGroup
	for _, n := range w.nodes {
		stopping.Go(func() {
			n.stop()
			<-n.done
		})
	}
	stopping.Wait()
	if w.fleet != nil {
		w.fleet.Close()
	}
	w.client.CloseIdleConnections()
	_ = os.RemoveAll(w.dir)
}

func (w *world) path(name string) string { return filepath.Join(w.dir, name) }
