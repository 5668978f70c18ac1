package experiment

import (
	"cmp"
	"slices"
	"time"

	"linkpass/internal/shardmap"
)

// servingShard is a shard that is neither starting nor retiring.
type servingShard struct {
	id      uint64
	keys    shardmap.Range
	planned bool // a plan already changes the shard
}

// reshard requests a split, a merge or a move of one shard of each index, from a random coordinator. It does nothing if
// too few servers are in service for a replica set.
func (d *disruptor) reshard(elapsed time.Duration) {
	w := d.world
	rows, serving := w.shardRows(), w.fleet.InService()
	if len(serving) < w.replicas {
		return
	}
	for _, c := range classes {
		shards := servingShards(rows, c.index)
		if len(shards) == 0 {
			continue
		}
		command, ok := d.drawCommand(c.index, shards, serving)
		if !ok {
			continue
		}
		if w.reroute(w.nodes[d.rng.IntN(len(w.nodes))], command) {
			d.counts[command.kind]++
			d.scheduleSwitchPauses(rows, c.index, command.shard, elapsed)
		} else {
			d.counts[disruptionRejected]++
		}
	}
}

// servingShards returns the serving shards of an index, sorted by their keys.
func servingShards(rows []shardRow, index string) (shards []servingShard) {
	for _, row := range rows {
		keys, err := shardmap.ParseRange(row.Range)
		if row.Index != index || row.State == shardInitializing || row.State == shardRetiring || err != nil {
			continue
		}
		if !slices.ContainsFunc(shards, func(s servingShard) bool { return s.id == row.Shard }) {
			shards = append(shards, servingShard{row.Shard, keys, row.Plan > 0})
		}
	}
	slices.SortFunc(shards, func(a, b servingShard) int { return cmp.Compare(a.keys.First, b.keys.First) })
	return shards
}

// drawCommand draws a command that keeps the number of shards between half and twice the initial number. It shuffles
// servers in place. It returns false if a plan already changes the drawn shard.
func (d *disruptor) drawCommand(index string, shards []servingShard, servers []string) (shardCommand, bool) {
	i := d.rng.IntN(len(shards))
	d.shuffle(servers)
	initial := d.world.shards
	command := shardCommand{kind: disruptionMove, index: index, shard: shards[i].id, to: servers[:d.world.replicas]}
	switch roll := d.rng.IntN(3); {
	case shards[i].planned:
		return command, false
	case roll == 0 && len(shards) < 2*initial:
		command.kind = disruptionSplit
	case roll == 1 && len(shards) > initial/2 && i+1 < len(shards) && !shards[i+1].planned:
		command.kind, command.adjacent = disruptionMerge, shards[i+1].id
	}
	return command, true
}
