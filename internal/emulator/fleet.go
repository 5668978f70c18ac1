package emulator

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"linkpass/internal/discovery"
	"linkpass/internal/shardmap"
)

// Attributes of every endpoint of a fleet.
const (
	fleetZone = "ebene"
	fleetKind = "std-2core"
)

// unreachableAddr is the address of a server that the fleet does not have. It refuses connections.
const unreachableAddr = "127.0.0.1:1"

// Fleet is a set of servers with the discovery that lists them.
type Fleet struct {
	Discovery *Discovery
	Records   []Record  // all records of the league, sorted by key
	Servers   []*Server // sorted by name

	mu     sync.Mutex
	states map[string]string // state in the endpoint list, by the server's name
}

// NewFleet starts n servers without shards, named s-01 and so on, and a discovery on a free port. The league has the
// given number of records. Every second server, from s-02 on, answers subranges. NewFleet returns an error if a server
// or the discovery cannot listen.
func NewFleet(n, records int, capacity Capacity, seed uint64) (*Fleet, error) {
	return NewFleetAt(n, records, capacity, seed, "127.0.0.1:0")
}

// NewFleetAt is like NewFleet, with the discovery at an address (host:port).
func NewFleetAt(n, records int, capacity Capacity, seed uint64, addr string) (*Fleet, error) {
	d, err := NewDiscovery(addr)
	if err != nil {
		return nil, err
	}
	f := &Fleet{Discovery: d, Records: Records(records), states: map[string]string{}}
	for i := range n {
		s := NewServer(fmt.Sprintf("s-%02d", i+1), capacity, f.Records, seed, f.addrOf)
		s.AnswersSubranges = i%2 == 1
		f.Servers = append(f.Servers, s)
		if err := s.Start(); err != nil {
			f.Close()
			return nil, err
		}
		f.SetState(s, discovery.StateInService)
	}
	return f, nil
}

// Close ends all servers and the discovery.
func (f *Fleet) Close() {
	for _, s := range f.Servers {
		s.Kill(false)
	}
	f.Discovery.Close()
}

// Server returns the server with a name, or nil if there is none.
func (f *Fleet) Server(name string) *Server {
	i := slices.IndexFunc(f.Servers, func(s *Server) bool { return s.Name == name })
	if i < 0 {
		return nil
	}
	return f.Servers[i]
}

func (f *Fleet) addrOf(name string) string {
	if s := f.Server(name); s != nil {
		return s.Addr()
	}
	return unreachableAddr
}

// SetState lists a server in discovery with one of the states of package discovery. discovery.StateTerminating starts
// the server's drain; any other state ends it.
func (f *Fleet) SetState(s *Server, state string) {
	f.mu.Lock()
	f.states[s.Name] = state
	f.mu.Unlock()
	f.Discovery.Update(discovery.Endpoint{
		ID:        s.Name,
		Addr:      s.Addr(),
		Zone:      fleetZone,
		Kind:      fleetKind,
		State:     state,
		Weight:    1,
		StartedMS: s.StartedAtUnixMS(),
	})
	if state == discovery.StateTerminating {
		s.SetDrainedAt(time.Now())
	} else {
		s.SetDrainedAt(time.Time{})
	}
}

// InService lists the names of the servers that run and are listed as in service.
func (f *Fleet) InService() (names []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.Servers {
		if f.states[s.Name] == discovery.StateInService && s.Alive() {
			names = append(names, s.Name)
		}
	}
	return names
}

// PlaceShards makes every server hold the shards of an index that a shard map assigns to it.
func (f *Fleet) PlaceShards(index string, shardMap *shardmap.Map) {
	for _, s := range f.Servers {
		s.PlaceShards(index, shardMap)
	}
}

// ReplicaSets groups the names of the servers into sets of size servers each. Servers beyond the last full set are
// left out.
func (f *Fleet) ReplicaSets(size int) (sets [][]string) {
	for group := range slices.Chunk(f.Servers, size) {
		if len(group) < size {
			return sets
		}
		var set []string
		for _, s := range group {
			set = append(set, s.Name)
		}
		sets = append(sets, set)
	}
	return sets
}

// LateParts returns the sum of Server.LateParts over all servers.
func (f *Fleet) LateParts() (n int64) {
	for _, s := range f.Servers {
		n += s.LateParts.Load()
	}
	return n
}
