package opensearch

import (
	"slices"

	"linkpass/internal/shardmap"
)

// States of a replica in lists of shards, in OpenSearch's terms.
const (
	stateServing    = "STARTED"
	stateRelocating = "RELOCATING"   // serves until its resharding plan has switched
	stateRetiring   = "RETIRING"     // replaced by a resharding plan, but not yet deleted
	stateCopying    = "INITIALIZING" // target of a resharding plan, does not serve yet
)

// shardRow is one replica of a shard, in the terms of /_cat/shards and /_search_shards.
type shardRow struct {
	Index         string  `json:"index"`
	Shard         uint64  `json:"shard"`
	State         string  `json:"state"`
	Range         string  `json:"range"`
	Epoch         uint64  `json:"epoch"`
	Node          string  `json:"node"`
	PlanID        uint64  `json:"plan,omitempty"` // of the open resharding plan
	Step          string  `json:"step,omitempty"`
	MapVersion    uint64  `json:"version"`
	Primary       bool    `json:"primary"`
	KeySpaceShare float64 `json:"share"` // of the shard, from 0 to 1
}

// appendReplicas appends a row for each replica of a shard.
func appendReplicas(rows []shardRow, index string, m *shardmap.Map, s shardmap.Shard, state string) []shardRow {
	for i, node := range s.Replicas {
		rows = append(rows, shardRow{
			Index:         index,
			Shard:         uint64(s.ID),
			State:         state,
			Range:         s.Range.String(),
			Epoch:         s.Epoch,
			Node:          node,
			MapVersion:    m.Version(),
			Primary:       i == 0,
			KeySpaceShare: s.Range.Size() / shardmap.FullRange.Size(),
		})
	}
	return rows
}

// shardRows returns the rows of an index: the replicas of shards that serve, then those of open plans.
func shardRows(index string, m *shardmap.Map) (rows []shardRow) {
	plans := planByShard(m)
	add := func(s shardmap.Shard, state string) {
		first := len(rows)
		rows = appendReplicas(rows, index, m, s, state)
		if p, ok := plans[s.ID]; ok {
			for i := range rows[first:] {
				rows[first+i].PlanID, rows[first+i].Step = uint64(p.ID), string(p.Step)
			}
		}
	}
	for _, s := range m.Shards() {
		state := stateServing
		if _, planned := plans[s.ID]; planned && s.Epoch < m.Version() {
			state = stateRelocating
		}
		add(s, state)
	}
	for _, p := range m.Plans() {
		shards, state := p.To, stateCopying
		if p.Step == shardmap.Switched {
			shards, state = p.From, stateRetiring
		}
		for _, s := range shards {
			add(s, state)
		}
	}
	return rows
}

// planByShard maps each shard that is a source or a target of a plan to that plan.
func planByShard(m *shardmap.Map) map[shardmap.ShardID]shardmap.Plan {
	plans := map[shardmap.ShardID]shardmap.Plan{}
	for _, p := range m.Plans() {
		for _, s := range append(slices.Clone(p.From), p.To...) {
			plans[s.ID] = p
		}
	}
	return plans
}
