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

const snapshotTimeout = 500 * time.Millisecond // for the core to report its view of the servers

// adminBackend implements the calls of the admin API. Program embeds it, so its exported methods are methods of Program
// too.
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

// Status returns the state of the coordinator. It waits for the core for at most snapshotTimeout, and for nothing else.
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
	if _, ok := b.core.core.Snapshot(snapshotTimeout); !ok {
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

// classStatus returns the counts of final answers by class.
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
	t := b.bodies.store.Totals()
	return &adminapi.BodyStatus{Stored: t.Bodies, Shared: t.Shared, Arriving: t.ArrivingBodies, Waiting: t.PendingBodies,
		Memory: t.Memory, Files: t.Files, Disk: t.Disk}
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

// Servers returns what the router knows of the league servers, sorted by name. The error is adminapi.ErrCoreBusy if the
// core does not reply within snapshotTimeout.
func (b *adminBackend) Servers() ([]adminapi.Server, error) {
	list, ok := b.core.core.Snapshot(snapshotTimeout)
	if !ok {
		return nil, adminapi.ErrCoreBusy
	}
	out := make([]adminapi.Server, 0, len(list))
	for _, snapshot := range list {
		out = append(out, b.server(snapshot))
	}
	slices.SortFunc(out, func(x, y adminapi.Server) int { return strings.Compare(x.Name, y.Name) })
	return out, nil
}

func (b *adminBackend) server(snapshot routing.ServerSnapshot) adminapi.Server {
	s := adminapi.Server{
		Name:                   b.names.name(snapshot.Server),
		State:                  "in_service",
		InFlight:               snapshot.InFlight,
		MedianMS:               milliseconds(snapshot.MedianLatency),
		WarmingUp:              snapshot.WarmingUp,
		ConsecutiveProbeLosses: snapshot.FailedHealthChecks,
		Health:                 map[string]float64{},
	}
	for i, h := range snapshot.Health {
		s.Health[b.totals.Classes[i]] = roundToThousandths(h)
	}
	switch {
	case snapshot.State == routing.Draining:
		s.State, s.Excluded = "draining", "drains"
	case snapshot.Unreachable:
		s.Excluded = "down"
	case snapshot.Backoff > 0:
		s.Excluded = "full"
	}
	return s
}

// milliseconds returns a duration in milliseconds, truncated to whole microseconds.
func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// roundToThousandths rounds a share to three decimals. The share must not be negative.
func roundToThousandths(share float64) float64 { return float64(int(share*1000+0.5)) / 1000 }

// ShardMaps returns the shard maps of the indices whose shards can move, sorted by name. Of each it lists at most
// adminapi.MaxShards shards and as many plans.
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

// Drain starts rejecting clients, and returns the resulting state.
func (b *adminBackend) Drain() string { return b.readiness.Drain().String() }

// Activate admits clients again, and returns the resulting state.
func (b *adminBackend) Activate() string { return b.readiness.Activate().String() }

// Store returns the replicated store, or nil if it is off or not open yet.
func (b *adminBackend) Store() *store.Store { return b.store.get() }

// Search returns the search front's handler, or nil if the front is off or not started yet.
func (b *adminBackend) Search() http1.Handler { return b.fronts.handler("search") }

// Reload reads the configuration again, and reports which keys are applied and which need a restart. If a file is
// invalid, it changes nothing and returns the error.
func (b *adminBackend) Reload() (adminapi.ReloadResult, error) { return b.reloader.reload() }

// residentKB returns the resident memory of the process in KiB, or 0 if the system does not report it.
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
