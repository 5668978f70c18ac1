package daemon

import (
	"context"
	"sync/atomic"

	"linkpass/internal/searchconfig"
	"linkpass/internal/shardmap"
	"linkpass/internal/store"
)

// replicatedStore is the replicated store for the components that are made before the search front opens it.
type replicatedStore struct{ opened atomic.Pointer[store.Store] }

// get is the store; nil: it is off, or not open yet.
func (s *replicatedStore) get() *store.Store { return s.opened.Load() }

func (s *replicatedStore) set(opened *store.Store) { s.opened.Store(opened) }

func (s *replicatedStore) close() error {
	if opened := s.get(); opened != nil {
		return opened.Close()
	}
	return nil
}

// IsLeader reports whether this instance is the leader.
func (s *replicatedStore) IsLeader() bool {
	opened := s.get()
	return opened != nil && opened.IsLeader()
}

// Settings is the document as this instance has it. The store is open: only a leader asks.
func (s *replicatedStore) Settings() *searchconfig.Config { return s.get().Settings() }

// AdvanceShardMap proposes a step of a shard map. The store is open: only a leader asks.
func (s *replicatedStore) AdvanceShardMap(ctx context.Context, index string, c shardmap.Command) error {
	return s.get().AdvanceShardMap(ctx, index, c)
}
