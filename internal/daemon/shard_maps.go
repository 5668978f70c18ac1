package daemon

import (
	"context"
	"time"

	"linkpass/internal/lifecycle"
	"linkpass/internal/reshardexec"
)

// minPollTimeout is the least timeout of a poll of a server, however short the interval between polls is.
const minPollTimeout = time.Second

// shardMaps publishes the shard maps to the core and, where there is a store, executes resharding.
type shardMaps struct {
	*process
	core  *queryCore
	store *replicatedStore

	publisher *shardMapPublisher
	executor  *reshardexec.Executor // works once the store is open; nil if there is no store
}

func newShardMaps(p *process, core *queryCore, store *replicatedStore) *shardMaps {
	return &shardMaps{process: p, core: core, store: store, publisher: &shardMapPublisher{core: core}}
}

func (s *shardMaps) component() lifecycle.Component {
	return lifecycle.Component{Name: "shardmaps", DependsOn: []string{"core"}, Start: s.start, Run: s.run}
}

func (s *shardMaps) start() error {
	if s.cfg.Search.Listen == "" || s.cfg.Search.Store.ID == "" {
		return nil
	}
	limits, poll := s.cfg.Search.Reshape.limits(s.maxDeadline())
	s.executor = reshardexec.New(reshardexec.Config{
		Store:        s.store,
		Limits:       limits,
		PollInterval: poll,
		Timeout:      max(poll, minPollTimeout),
		Now:          s.core.core.Now,
		Counters:     s.counters,
		QueryTotals:  s.queryTotals,
	})
	return nil
}

func (s *shardMaps) run(ctx context.Context) {
	if s.executor != nil {
		s.executor.Run(ctx)
	}
}

// queryTotals returns the number of queries that have ended, and of those among them that were rejected.
func (s *shardMaps) queryTotals() (ended, rejected int64) {
	for i := range s.totals.Classes {
		r := s.totals.Rejected[i].Load()
		ended += r + s.totals.Served[i].Load() + s.totals.Failed[i].Load()
		rejected += r
	}
	return ended, rejected
}

// applyLimits applies reloaded limits. The caller holds process.mu.
func (s *shardMaps) applyLimits(r ReshardingConfig) {
	if s.executor != nil {
		limits, poll := r.limits(s.maxDeadline())
		s.executor.SetLimits(limits, poll)
	}
}
