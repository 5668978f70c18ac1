package daemon

import (
	"context"
	"fmt"
	"maps"
	"net"
	"os"
	"path/filepath"
	"runtime/debug"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"linkpass"
	"linkpass/internal/adminapi"
	"linkpass/internal/coordinator"
	"linkpass/internal/discovery"
	"linkpass/internal/http1"
	"linkpass/internal/lifecycle"
	"linkpass/internal/shardmap"
	"linkpass/internal/store"
)

// Operator says where the operators' API listens, as an operator's file says.
type Operator struct {
	Socket string `toml:"socket"` // of the API; "": there is none
	Listen string `toml:"listen"` // of the API over TCP; "": not there
	Keys   string `toml:"keys"`   // file of the keys that sign calls over TCP
	Window string `toml:"window"`
}

const (
	controlConns = 8
	coreLimit    = 500 * time.Millisecond // for the core to tell what it believes
	controlBody  = 16 << 20               // bytes: a backup
	sealedBody   = 1 << 20                // over TCP: a body lies in memory before its signature is known to be good
)

// roster knows the listed servers by the module's numbers.
type roster struct {
	mu    sync.Mutex
	names map[linkpass.ServerID]string
}

// UpdateEndpoints follows the list of servers.
func (r *roster) UpdateEndpoints(l coordinator.EndpointUpdate) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if l.Mode != linkpass.ListDelta || r.names == nil {
		r.names = map[linkpass.ServerID]string{}
	}
	for _, m := range l.Endpoints {
		if m.State == linkpass.Gone {
			delete(r.names, m.Server)
		} else {
			r.names[m.Server] = m.Name
		}
	}
}

func (r *roster) name(id linkpass.ServerID) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if n, ok := r.names[id]; ok {
		return n
	}
	return strconv.FormatUint(uint64(id), 16)
}

// listener follows news of the list.
type listener interface {
	UpdateEndpoints(coordinator.EndpointUpdate)
}

// listTee hands the list of servers to the core and to those who follow it.
type listTee struct {
	*coordinator.Core
	others []listener
}

// UpdateEndpoints hands on news of the list.
func (t listTee) UpdateEndpoints(l coordinator.EndpointUpdate) {
	for _, o := range t.others {
		o.UpdateEndpoints(l)
	}
	t.Core.UpdateEndpoints(l)
}

var _ discovery.Core = listTee{}

// controlPart is the operators' API, at its socket and over TCP.
func (p *Program) controlPart() lifecycle.Component {
	var open []*entrance
	giveBack := func() error {
		for _, e := range open {
			_ = e.close()
		}
		return nil
	}
	return lifecycle.Component{Name: "control", DependsOn: []string{"core"}, Deferred: true, Start: func() error {
		err := p.openControl(func(ln net.Listener, h http1.Handler, maxBody int64) {
			open = append(open, &entrance{&http1.Server{Name: "control", Handler: h, Clock: p.core, Counters: p.count,
				MaxConns: controlConns, MaxBody: maxBody}, ln})
		})
		if err != nil {
			_ = giveBack()
		}
		return err
	}, Run: func(ctx context.Context) {
		var all sync.WaitGroup
		for _, e := range open {
			all.Go(func() { e.run(ctx) })
		}
		all.Wait()
	}, Stop: giveBack}
}

// openControl takes what the API listens at.
func (p *Program) openControl(add func(net.Listener, http1.Handler, int64)) error {
	c := p.cfg.Search.Operator
	handler := adminapi.Handler{Coordinator: p}
	if c.Socket != "" {
		ln, err := listenSocket(c.Socket)
		if err != nil {
			return err
		}
		add(ln, handler, controlBody)
	}
	if c.Listen == "" {
		return nil
	}
	ring, err := ReadKeys(c.Keys)
	if err != nil {
		return err
	}
	p.keys.open(ring, Keys.Duration("operator.window", c.Window))
	ln, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return err
	}
	p.controlAddr.Store(ln.Addr().String())
	add(ln, &adminapi.SignedHandler{Handler: handler, Check: p.keys.check, Counters: p.count}, sealedBody)
	return nil
}

// listenSocket takes the socket of the operators' API. A file that a crash left is replaced; one
// that somebody listens on is not.
func listenSocket(path string) (net.Listener, error) {
	if _, err := os.Stat(path); err == nil {
		if nc, err := net.DialTimeout("unix", path, time.Second); err == nil {
			_ = nc.Close()
			return nil, fmt.Errorf("another process listens at %s", path)
		}
		if err := os.Remove(path); err != nil {
			return nil, fmt.Errorf("what a crash left: %w", err)
		}
	}
	if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
		return nil, err
	}
	ln, err := net.Listen("unix", path)
	if err != nil {
		return nil, err
	}
	if err := os.Chmod(path, 0o600); err != nil {
		_ = ln.Close()
		return nil, err
	}
	return ln, nil
}

// ProgramVersion is what the build knows of itself.
func ProgramVersion() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	version, dirty := info.Main.Version, ""
	for _, s := range info.Settings {
		switch {
		case s.Key == "vcs.revision":
			version = s.Value[:min(12, len(s.Value))]
		case s.Key == "vcs.modified" && s.Value == "true":
			dirty = "+changes"
		}
	}
	return version + dirty
}

// Status tells how the coordinator stands. It waits for nobody but, for a while, the core.
func (p *Program) Status() adminapi.Status {
	s := adminapi.Status{Name: p.cfg.name, Program: ProgramVersion(), PID: os.Getpid(), State: p.gate.State().String(),
		UptimeS: time.Since(p.began).Seconds(), Core: "ok", InFlight: p.figures.InFlight.Load(), Attempts: p.figures.Attempts.Load(),
		ServersKnown: p.figures.ServersKnown.Load(), ServersExcluded: p.figures.ServersExcluded.Load(), ResidentKB: residentKB()}
	if _, ok := p.core.Beliefs(coreLimit); !ok {
		s.Core = "busy"
	}
	s.Classes = p.classStatus()
	s.AdminListen, _ = p.controlAddr.Load().(string)
	for _, a := range p.Addrs() {
		s.Fronts = append(s.Fronts, a.String())
	}
	if p.bodies != nil {
		f := p.bodies.Figures()
		s.Bodies = &adminapi.BodyStatus{Stored: f.Bodies, Shared: f.Shared, Arriving: f.ArrivingBodies, Waiting: f.WaitingBodies,
			Memory: f.Memory, Files: f.Files, Disk: f.Disk}
	}
	c := (*p.current.Load())()
	for name := range c.Indices {
		if l := c.ShardMap(name); l != nil {
			s.ShardMaps = append(s.ShardMaps, adminapi.ShardMapSummary{Index: name, Version: l.Version(), Shards: l.Len(), Plans: len(l.Plans())})
		}
	}
	slices.SortFunc(s.ShardMaps, func(a, b adminapi.ShardMapSummary) int { return strings.Compare(a.Index, b.Index) })
	if st := p.Store(); st != nil {
		s.Store = &adminapi.StoreStatus{ID: st.ID(), Leader: st.Leader(), Revision: st.Settings().Revision}
		for _, m := range st.Members() {
			s.Store.Members = append(s.Store.Members, adminapi.StoreMember{ID: m.ID, Raft: m.Raft, HTTP: m.HTTP, Leader: m.ID == s.Store.Leader})
		}
	}
	return s
}

// classStatus counts the final answers by class.
func (p *Program) classStatus() (out []adminapi.ClassStatus) {
	for i, name := range p.figures.Classes {
		out = append(out, adminapi.ClassStatus{Name: name, Served: p.figures.Served[i].Load(),
			Rejected: p.figures.Rejected[i].Load(), Failed: p.figures.Failed[i].Load()})
	}
	return out
}

// residentKB is the memory that the process has resident; 0 where the system does not say.
func residentKB() int64 {
	data, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize()) / 1024
}

// Servers tells what the module believes of the league servers.
func (p *Program) Servers() ([]adminapi.Server, error) {
	list, ok := p.core.Beliefs(coreLimit)
	if !ok {
		return nil, adminapi.ErrCoreBusy
	}
	out := make([]adminapi.Server, 0, len(list))
	for _, b := range list {
		s := adminapi.Server{Name: p.roster.name(b.Server), State: "in_service", InFlight: b.Out, MedianMS: float64(b.Median.Microseconds()) / 1000,
			WarmingUp: b.Cold, ConsecutiveProbeLosses: b.Lost, Health: map[string]float64{}}
		for i, h := range b.Health {
			s.Health[p.figures.Classes[i]] = float64(int(h*1000+0.5)) / 1000
		}
		switch {
		case b.State == linkpass.Draining:
			s.State, s.Excluded = "draining", "drains"
		case b.Down:
			s.Excluded = "down"
		case b.Pause > 0:
			s.Excluded = "full"
		}
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b adminapi.Server) int { return strings.Compare(a.Name, b.Name) })
	return out, nil
}

// ShardMaps tells of the indices whose slices can move, by name.
func (p *Program) ShardMaps() []adminapi.IndexShardMap {
	c := (*p.current.Load())()
	var out []adminapi.IndexShardMap
	for _, name := range slices.Sorted(maps.Keys(c.Indices)) {
		l := c.ShardMap(name)
		if l == nil {
			continue
		}
		in := adminapi.IndexShardMap{Index: name, Version: l.Version(), Total: l.Len(), Plans: l.Plans()}
		l.ForEach(shardmap.FullRange, func(s shardmap.Shard) bool {
			in.Shards = append(in.Shards, s)
			return len(in.Shards) < adminapi.MaxShards
		})
		in.Plans = in.Plans[:min(len(in.Plans), adminapi.MaxShards)]
		out = append(out, in)
	}
	return out
}

// Drain empties the coordinator, Activate takes clients again; both tell where it stands then.
func (p *Program) Drain() string { return p.gate.Drain().String() }

// Activate takes clients again.
func (p *Program) Activate() string { return p.gate.Activate().String() }

// Store is the replicated store; nil: there is none.
func (p *Program) Store() *store.Store { return p.opened.Load() }

// Search is the search front's handler; nil: there is none.
func (p *Program) Search() http1.Handler {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, f := range p.fronts {
		if f.Name == "search" {
			return f.Handler
		}
	}
	return nil
}
