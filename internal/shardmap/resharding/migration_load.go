package resharding

import "linkpass/internal/shardmap"

// migrationLoad counts the plans that copy or wait for the switch.
type migrationLoad struct {
	total    int
	byServer map[string]int // plans that involve a server, by its name
}

// newMigrationLoad counts the migrations of all indices.
func newMigrationLoad(shardMaps map[string]*shardmap.Map) *migrationLoad {
	load := &migrationLoad{byServer: map[string]int{}}
	for _, m := range shardMaps {
		for _, p := range m.Plans() {
			if p.Step == shardmap.Copying || p.Step == shardmap.Replicated {
				load.add(involvedServers(p))
			}
		}
	}
	return load
}

// reserve adds a plan to the load. It reports false and adds nothing if a limit is reached.
func (l *migrationLoad) reserve(p shardmap.Plan, limits Limits) bool {
	if l.total >= limits.MaxMigrations {
		return false
	}
	servers := involvedServers(p)
	for server := range servers {
		if l.byServer[server] >= limits.MaxPerServer {
			return false
		}
	}
	l.add(servers)
	return true
}

func (l *migrationLoad) add(servers map[string]bool) {
	l.total++
	for server := range servers {
		l.byServer[server]++
	}
}

// involvedServers returns the servers that a plan copies from or to.
func involvedServers(p shardmap.Plan) map[string]bool {
	servers := map[string]bool{}
	for _, shards := range [][]shardmap.Shard{p.From, p.To} {
		for _, s := range shards {
			for _, server := range s.Replicas {
				servers[server] = true
			}
		}
	}
	return servers
}
