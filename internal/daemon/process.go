package daemon

import (
	"math"
	"runtime"
	"sync"
	"time"

	"linkpass/internal/admin"
	"linkpass/internal/fairqueue"
	"linkpass/internal/handover"
	"linkpass/internal/membudget"
	"linkpass/internal/metrics"
)

// process is the state that the components share. All other state belongs to one component.
type process struct {
	counters  *metrics.Counters
	totals    *metrics.Totals
	startedAt time.Time
	readiness admin.Readiness
	work      *fairqueue.Scheduler // divides processor time among all connections of clients and operators
	memory    *membudget.Budget    // bounds what those connections hold

	// mu guards the fields below, and is held while components start. Of cfg, only memoryMB, fileDiscovery and Search
	// change once all components have started; the other fields are read without mu.
	mu       sync.Mutex
	cfg      Config
	share    handover.Share
	stopping bool // the components are about to stop, and no reload is applied any more
}

func newProcess(cfg Config) *process {
	return &process{
		cfg:       cfg,
		startedAt: time.Now(),
		counters:  metrics.NewCounters(),
		totals:    metrics.NewTotals(cfg.programSettings.Classes),
		work:      fairqueue.New(runtime.GOMAXPROCS(0)),
		memory:    membudget.New(math.MaxInt64),
	}
}

// isSuccessor reports whether more than one process of this coordinator runs now. It is called while this process
// starts: another process that runs then was there before.
func (p *process) isSuccessor() bool { return p.share.Processes > 1 }

// maxDeadline returns the longest deadline of a query.
func (p *process) maxDeadline() (longest time.Duration) {
	for _, class := range p.cfg.routingSettings.Classes {
		longest = max(longest, class.Deadline)
	}
	return longest
}
