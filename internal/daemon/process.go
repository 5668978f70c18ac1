package daemon

import (
	"sync"
	"time"

	"linkpass/internal/admin"
	"linkpass/internal/handover"
	"linkpass/internal/metrics"
)

// process is the state that the components share. All else belongs to one component.
type process struct {
	counters  *metrics.Counters
	totals    *metrics.Totals
	startedAt time.Time
	readiness admin.Readiness

	// mu guards what follows, and is held while components start. Of cfg only memoryMB, fileDiscovery and Search
	// change once all have started; the other fields are read without it.
	mu       sync.Mutex
	cfg      Config
	share    handover.Share
	stopping bool // the components are about to stop: no reload is applied any more
}

func newProcess(cfg Config) *process {
	return &process{
		cfg:       cfg,
		startedAt: time.Now(),
		counters:  metrics.NewCounters(),
		totals:    metrics.NewTotals(cfg.host.Classes),
	}
}

// isSuccessor tells whether another process of this coordinator ran already when this one started.
func (p *process) isSuccessor() bool { return p.share.Processes > 1 }

// maxDeadline is the longest deadline of a query.
func (p *process) maxDeadline() (longest time.Duration) {
	for _, class := range p.cfg.module.Classes {
		longest = max(longest, class.Deadline)
	}
	return longest
}
