package daemon

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"linkpass/internal/bodystore"
	"linkpass/internal/bodystore/tier"
	"linkpass/internal/eventlog"
	"linkpass/internal/http1"
	"linkpass/internal/lifecycle"
	"linkpass/internal/opensearch"
)

// noCapacityRetryAfter is the Retry-After for a body that the store has no capacity for. Settings.MaxRetryAfter bounds
// it.
const noCapacityRetryAfter = 500 * time.Millisecond

// bodyStore is the component that stores the bodies of queries, within this process's share of the limits.
type bodyStore struct {
	*process
	core     *queryCore
	settings *activeSettings

	totalLimits tier.Limits      // limits of all processes together; guarded by process.mu
	store       *bodystore.Store // nil if bodies.off is set
}

func newBodyStore(p *process, core *queryCore, settings *activeSettings) *bodyStore {
	return &bodyStore{process: p, core: core, settings: settings}
}

func (b *bodyStore) component() lifecycle.Component {
	return lifecycle.Component{Name: "bodies", DependsOn: []string{"core"}, Start: b.start, Stop: b.stop}
}

func (b *bodyStore) start() error {
	limits, err := b.cfg.Search.Bodies.limits(b.cfg.memoryMB, b.cfg.programSettings.Classes)
	if err != nil {
		return err
	}
	b.totalLimits = limits
	if b.cfg.Search.Bodies.Off {
		return nil
	}
	limits.Memory, limits.Files = b.shareOfTotal()
	b.store = bodystore.Open(bodystore.Config{Limits: limits, Classes: b.cfg.programSettings.Classes, Dir: b.cfg.Search.Bodies.Dir,
		Now: b.core.core.Now, Counters: b.counters})
	return nil
}

func (b *bodyStore) stop() error {
	b.logUsage()
	if b.store != nil {
		b.store.Close()
	}
	return nil
}

// shareOfTotal returns this process's share of the limits, in bytes.
func (b *bodyStore) shareOfTotal() (memory, files int64) {
	processes := int64(max(1, b.share.Processes))
	return b.totalLimits.Memory / processes, b.totalLimits.Files / processes
}

// applyShare sets the store's limits to this process's share. The caller holds mu.
func (b *bodyStore) applyShare() {
	if b.store != nil {
		b.store.SetLimits(b.shareOfTotal())
	}
}

// setTotalLimits replaces the limits of all processes together. The caller holds mu.
func (b *bodyStore) setTotalLimits(limits tier.Limits) {
	b.totalLimits = limits
	b.applyShare()
}

// retryAfter returns the Retry-After, in seconds, for a client whose body the store has no capacity for. It is "" if
// the settings turn Retry-After off.
func (b *bodyStore) retryAfter() string {
	if !b.cfg.routingSettings.RetryAfter {
		return ""
	}
	return strconv.FormatFloat(min(noCapacityRetryAfter, b.cfg.routingSettings.MaxRetryAfter).Seconds(), 'f', 3, 64)
}

// newBodySink returns where to write the large body of a search as it arrives, or nil if the body stays with its
// request.
func (b *bodyStore) newBodySink(req *http1.Request) http1.BodySink {
	name, operation, _ := strings.Cut(strings.TrimPrefix(req.Path, "/"), "/")
	index, ok := b.settings.config().Indices[name]
	class := slices.Index(b.cfg.programSettings.Classes, index.Class)
	if !ok || operation != "_search" || class < 0 {
		return nil // a request other than a search is small, or is rejected
	}
	return &opensearch.BodyUpload{
		Writer:    b.store.NewWriter(class, b.cfg.routingSettings.Classes[class].PriorityWeight),
		Rejection: &http1.Error{Status: 429, Reason: "no room for the search's body", RetryAfter: b.retryAfter()},
	}
}

// logUsage logs how many bodies the store has, and the memory and disk space that they take.
func (b *bodyStore) logUsage() {
	if b.store == nil {
		return
	}
	t := b.store.Totals()
	eventlog.Bodies.Log(t.Bodies, t.Shared, t.ArrivingBodies, t.PendingBodies, t.Memory, t.Files, t.Disk)
}
