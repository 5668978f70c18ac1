package emulator

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"linkpass/internal/discovery"
	"linkpass/internal/shardmap"
)

// Fleet is servers and the discovery that lists them.
type Fleet struct {
	Discovery *Discovery
	Records   []Record
	Servers   []*Server // in order of their names

	mu    sync.Mutex
	state map[string]string
}

// NewFleet starts n servers, named s-01 and so on, that hold nothing.
func NewFleet(n, records int, w Capacity, seed uint64) (*Fleet, error) {
	return NewFleetAt(n, records, w, seed, "127.0.0.1:0")
}

// NewFleetAt is the same with a discovery at an address.
func NewFleetAt(n, records int, w Capacity, seed uint64, addr string) (*Fleet, error) {
	agent, err := NewDiscovery(addr)
	if err != nil {
		return nil, err
	}
	f := &Fleet{Discovery: agent, Records: Records(records), state: map[string]string{}}
	for i := range n {
		s := NewServer(fmt.Sprintf("s-%02d", i+1), w, f.Records, seed, f.addrOf)
		s.AnswersSubranges = i%2 == 1
		f.Servers = append(f.Servers, s)
		if err := s.Start(); err != nil {
			f.Close()
			return nil, err
		}
		f.SetState(s, "in_service")
	}
	return f, nil
}

func (f *Fleet) addrOf(name string) string {
	if s := f.Server(name); s != nil {
		return s.Addr()
	}
	return "127.0.0.1:1"
}

// Server is a server by its name.
func (f *Fleet) Server(name string) *Server {
	if i := slices.IndexFunc(f.Servers, func(s *Server) bool { return s.Name == name }); i >= 0 {
		return f.Servers[i]
	}
	return nil
}

// SetState lists a server in a state.
func (f *Fleet) SetState(s *Server, state string) {
	f.mu.Lock()
	f.state[s.Name] = state
	f.mu.Unlock()
	f.Discovery.Update(discovery.Endpoint{ID: s.Name, Addr: s.Addr(), Zone: "ebene", Kind: "std-2core", State: state, Weight: 1, StartedMS: s.StartedAtUnixMS()})
	if state == "terminating" {
		s.SetDrainedAt(time.Now())
	} else {
		s.SetDrainedAt(time.Time{})
	}
}

// InService lists the servers that take new work and run.
func (f *Fleet) InService() (names []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.Servers {
		if f.state[s.Name] == "in_service" && s.Alive() {
			names = append(names, s.Name)
		}
	}
	return names
}

// PlaceShards lets every server hold what a layout gives it.
func (f *Fleet) PlaceShards(index string, l *shardmap.Map) {
	for _, s := range f.Servers {
		s.PlaceShards(index, l)
	}
}

// ReplicaSets pairs the servers up, each set with so many.
func (f *Fleet) ReplicaSets(each int) (out [][]string) {
	for i := 0; i+each <= len(f.Servers); i += each {
		var set []string
		for _, s := range f.Servers[i : i+each] {
			set = append(set, s.Name)
		}
		out = append(out, set)
	}
	return out
}

// LateParts is how many parts came to a server over a second after its drain was told.
func (f *Fleet) LateParts() (n int64) {
	for _, s := range f.Servers {
		n += s.LateParts.Load()
	}
	return n
}

// Close ends all of it.
func (f *Fleet) Close() {
	for _, s := range f.Servers {
		s.Kill(false)
	}
	f.Discovery.Close()
}
