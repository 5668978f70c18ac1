package daemon

import (
	"maps"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"linkpass/internal/adminapi"
	"linkpass/internal/http1"
	"linkpass/internal/routing"
	"linkpass/internal/shardmap"
	"linkpass/internal/store"
)

const coreTimeout = 500 * time.Millisecond // for the core to report its view of the servers

// adminBackend answers the calls of the admin API. Its exported methods are the program's too.
type adminBackend struct {
	*process
	core     *queryCore
	bodies   *bodyStore
	fronts   *clientFronts
	settings *activeSettings
	names    *endpointNames
	registry *endpointRegistry
	store    *replicatedStore
	api      *adminAPI
	reloader *reloader
}

var _ adminapi.Coordinator = (*adminBackend)(nil)

// Status is the state of the coordinator. It waits for nothing but, for a short time, the core.
func (b *adminBackend) Status() adminapi.Status {
	s := adminapi.Status{
		Name:            b.cfg.name,
		Program:         ProgramVersion(),
		PID:             os.Getpid(),
		State:           b.readiness.State().String(),
		UptimeS:         time.Since(b.startedAt).Seconds(),
		Core:            "ok",
		InFlight:        b.totals.InFlight.Load(),
		Attempts:        b.totals.Attempts.Load(),
		ServersKnown:    b.totals.ServersKnown.Load(),
		ServersExcluded: b.totals.ServersExcluded.Load(),
		ResidentKB:      residentKB(),
	}
	if _, ok := b.core.core.Snapshot(coreTimeout); !ok {
		s.Core = "busy"
	}
	s.Classes = b.classStatus()
	s.AdminListen, _ = b.api.tcpAddr.Load().(string)
	for _, a := range b.fronts.addrs() {
		s.Fronts = append(s.Fronts, a.String())
	}
	s.Bodies = b.bodyStatus()
	s.ShardMaps = b.shardMapSummaries()
	s.Store = b.storeStatus()
	return s
}

// classStatus counts the final answers by class.
func (b *adminBackend) classStatus() (out []adminapi.ClassStatus) {
	for i, name := range b.totals.Classes {
		out = append(out, adminapi.ClassStatus{Name: name, Served: b.totals.Served[i].Load(),
			Rejected: b.totals.Rejected[i].Load(), Failed: b.totals.Failed[i].Load()})
	}
	return out
}

func (b *adminBackend) bodyStatus() *adminapi.BodyStatus {
	if b.bodies.store == nil {
		return nil
	}
	f := b.bodies.store.Totals()
	return &adminapi.BodyStatus{Stored: f.Bodies, Shared: f.Shared, Arriving: f.ArrivingBodies, Waiting: f.PendingBodies,
		Memory: f.Memory, Files: f.Files, Disk: f.Disk}
}

func (b *adminBackend) shardMapSummaries() (out []adminapi.ShardMapSummary) {
	c := b.settings.config()
	for name := range c.Indices {
		if m := c.ShardMap(name); m != nil {
			out = append(out, adminapi.ShardMapSummary{Index: name, Version: m.Version(), Shards: m.Len(),
				Plans: len(m.Plans())})
		}
	}
	slices.SortFunc(out, func(x, y adminapi.ShardMapSummary) int { return strings.Compare(x.Index, y.Index) })
	return out
}

func (b *adminBackend) storeStatus() *adminapi.StoreStatus {
	st := b.Store()
	if st == nil {
		return nil
	}
	s := &adminapi.StoreStatus{ID: st.ID(), Leader: st.Leader(), Revision: st.Settings().Revision}
	for _, m := range st.Members() {
		s.Members = append(s.Members, adminapi.StoreMember{ID: m.ID, Raft: m.Raft, HTTP: m.HTTP, Leader: m.ID == s.Leader})
	}
	return s
}

// Servers is the module's view of the league servers.
func (b *adminBackend) Servers() ([]adminapi.Server, error) {
	list, ok := b.core.core.Snapshot(coreTimeout)
	if !ok {
		return nil, adminapi.ErrCoreBusy
	}
	out := make([]adminapi.Server, 0, len(list))
	for _, belief := range list {
		out = append(out, b.server(belief))
	}
	slices.SortFunc(out, func(x, y adminapi.Server) int { return strings.Compare(x.Name, y.Name) })
	return out, nil
}

func (b *adminBackend) server(belief routing.ServerSnapshot) adminapi.Server {
	s := adminapi.Server{
		Name:                   b.names.name(belief.Server),
		State:                  "in_service",
		InFlight:               belief.InFlight,
		MedianMS:               milliseconds(belief.MedianLatency),
		WarmingUp:              belief.WarmingUp,
		ConsecutiveProbeLosses: belief.FailedHealthChecks,
		Health:                 map[string]float64{},
	}
	for i, h := range belief.Health {
		s.Health[b.totals.Classes[i]] = roundToThousandths(h)
	}
	switch {
	case belief.State == routing.Draining:
		s.State, s.Excluded = "draining", "drains"
	case belief.Unreachable:
		s.Excluded = "down"
	case belief.Backoff > 0:
		s.Excluded = "full"
	}
	return s
}

// milliseconds is a duration in milliseconds, to the microsecond.
func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// roundToThousandths rounds a share, which is not negative.
func roundToThousandths(share float64) float64 { return float64(int(share*1000+0.5)) / 1000 }

// ShardMaps are the shard maps of the indices whose shards can move, by name.
func (b *adminBackend) ShardMaps() (out []adminapi.IndexShardMap) {
	c := b.settings.config()
	for _, name := range slices.Sorted(maps.Keys(c.Indices)) {
		m := c.ShardMap(name)
		if m == nil {
			continue
		}
		index := adminapi.IndexShardMap{Index: name, Version: m.Version(), Total: m.Len(), Plans: m.Plans()}
		m.ForEach(shardmap.FullRange, func(s shardmap.Shard) bool {
			index.Shards = append(index.Shards, s)
			return len(index.Shards) < adminapi.MaxShards
		})
		index.Plans = index.Plans[:min(len(index.Plans), adminapi.MaxShards)]
		out = append(out, index)
	}
	return out
}

// Drain rejects clients from now on, and returns the state after that.
func (b *adminBackend) Drain() string { return b.readiness.Drain().String() }

// Activate admits clients again, and returns the state after that.
func (b *adminBackend) Activate() string { return b.readiness.Activate().String() }

// Store is the replicated store; nil: there is none.
func (b *adminBackend) Store() *store.Store { return b.store.get() }

// Search is the search front's handler; nil: there is none.
func (b *adminBackend) Search() http1.Handler { return b.fronts.handler("search") }

// Reload reads the configuration again, and reports which keys are applied and which need a restart.
func (b *adminBackend) Reload() (adminapi.ReloadResult, error) { return b.reloader.reload() }

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
