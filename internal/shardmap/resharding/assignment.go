package resharding

import (
	"cmp"
	"slices"

	"linkpass/internal/shardmap"
)

// Source is a shard from whose replicas a server may copy a range of keys.
type Source struct {
	Range   shardmap.Range   `json:"range"`   // the keys to copy
	Servers []string         `json:"servers"` // those with a replica of Shard
	Shard   shardmap.ShardID `json:"slice"`
}

// Task is one shard of which a server is to hold a replica, and the sources that it may copy from.
type Task struct {
	Shard   shardmap.ShardID `json:"slice"`
	Range   shardmap.Range   `json:"range"`
	Sources []Source         `json:"sources,omitempty"` // empty: no other server has a replica
}

// Assignment lists the shards of one index of which a server is to hold replicas. The server may drop its
// replicas of all other shards.
type Assignment struct {
	Index   string `json:"index"`
	Version uint64 `json:"version"` // of the shard map
	Tasks   []Task `json:"tasks"`
}

// Assignments returns the assignments for an index, by server: the shards that serve, the old shards of plans
// that have switched and are not retired yet, and the new shards of plans that copy or wait for the switch.
func Assignments(index string, m *shardmap.Map) map[string]Assignment {
	out := map[string]Assignment{}
	assign := func(s shardmap.Shard, sources func(server string) []Source) {
		for _, server := range s.Replicas {
			a := out[server]
			a.Index, a.Version = index, m.Version()
			a.Tasks = append(a.Tasks, Task{Shard: s.ID, Range: s.Range, Sources: sources(server)})
			out[server] = a
		}
	}
	assignExisting := func(shards []shardmap.Shard) {
		for _, s := range shards {
			assign(s, func(server string) []Source { return otherReplicas(s, server) })
		}
	}
	assignExisting(m.Shards())
	for _, p := range m.Plans() {
		switch p.Step {
		case shardmap.Copying, shardmap.Replicated:
			for _, s := range p.To {
				assign(s, func(string) []Source { return migrationSources(s, p.From) })
			}
		case shardmap.Switched:
			assignExisting(p.From)
		}
	}
	for _, a := range out {
		slices.SortFunc(a.Tasks, func(x, y Task) int { return cmp.Compare(x.Shard, y.Shard) })
	}
	return out
}

// otherReplicas returns the source for a server that lost its replica of an existing shard: the other replicas.
func otherReplicas(s shardmap.Shard, server string) []Source {
	others := slices.DeleteFunc(slices.Clone(s.Replicas), func(name string) bool { return name == server })
	if len(others) == 0 {
		return nil
	}
	return []Source{{Range: s.Range, Servers: others, Shard: s.ID}}
}

// migrationSources returns a source for each old shard of a plan that has keys of the new shard s.
func migrationSources(s shardmap.Shard, from []shardmap.Shard) (sources []Source) {
	for _, old := range from {
		if common, ok := old.Range.Intersect(s.Range); ok {
			sources = append(sources, Source{Range: common, Servers: old.Replicas, Shard: old.ID})
		}
	}
	return sources
}
