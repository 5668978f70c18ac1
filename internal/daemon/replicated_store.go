package daemon

import (
	"context"
	"sync/atomic"

	"linkpass/internal/shardmap"
	"linkpass/internal/store"
)

// replicatedStore gives access to the replicated store. It exists so that components can be created before the search
// front opens the store.
type replicatedStore struct{ opened atomic.Pointer[store.Store] }

// get returns the store, or nil if it is off or not open yet.
func (s *replicatedStore) get() *store.Store { return s.opened.Load() }

func (s *replicatedStore) set(opened *store.Store) { s.opened.Store(opened) }

func (s *replicatedStore) close() error {
	if opened := s.get(); opened != nil {
		return opened.Close()
	}
	return nil
}

// discard closes a store that nothing is served from yet, so that it can be opened again.
func (s *replicatedStore) discard() {
	if opened := s.opened.Swap(nil); opened != nil {
		_ = opened.Close()
	}
}

// ConfirmLeader returns the term and the state of this instance after a quorum has confirmed that it leads the store.
func (s *replicatedStore) ConfirmLeader(ctx context.Context) (store.LeaderState, error) {
	opened := s.get()
	if opened == nil {
		return store.LeaderState{}, store.ErrNoLeader
	}
	return opened.ConfirmLeader(ctx)
}

// AdvanceShardMap proposes a step of a shard map.
func (s *replicatedStore) AdvanceShardMap(ctx context.Context, index string, c shardmap.Command) error {
	opened := s.get()
	if opened == nil {
		return store.ErrNoLeader
	}
	return opened.AdvanceShardMap(ctx, index, c)
}
