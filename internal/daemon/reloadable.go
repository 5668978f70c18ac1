package daemon

import (
	"encoding/json"
	"fmt"
	"strings"

	"linkpass/internal/searchconfig"
)

// isReplicated reports whether a key belongs to the settings that the store replicates, if there is a store.
func isReplicated(key string) bool {
	section, _, _ := strings.Cut(key, ".")
	return section == "search" || section == "indices" || section == "servers"
}

// needsRestart returns a function that reports whether a key that the schema marks as reloadable needs a restart in
// this case. That is so for bodies.files_kib if the files would have to be created or removed, and for indices with a
// shard map, whose versions only the store can advance.
func (c *SearchConfig) needsRestart(next *SearchConfig) func(key string) bool {
	return func(key string) bool {
		if key == "bodies.files_kib" {
			return (c.Bodies.FilesKiB == 0) != (next.Bodies.FilesKiB == 0) || c.Bodies.Off
		}
		rest, ok := strings.CutPrefix(key, "indices.")
		name, _, _ := strings.Cut(rest, ".")
		return ok && (c.hasShardMap(name) || next.hasShardMap(name))
	}
}

// hasShardMap reports whether an index has a shard map.
func (c *SearchConfig) hasShardMap(name string) bool { return hasShardMap(c.Indices[name]) }

func hasShardMap(index searchconfig.Index) bool {
	return index.ShardMap != nil || index.InitialSharding != nil
}

// mergeSearchConfig returns the new settings, but with those indices of the old ones that have a shard map, which can't
// be changed without a restart.
func mergeSearchConfig(old, next *searchconfig.Config) (*searchconfig.Config, error) {
	c := searchconfig.Config{
		Search:  next.Search,
		Servers: next.Servers,
		Indices: map[string]searchconfig.Index{},
	}
	for name, index := range next.Indices {
		if !hasShardMap(index) && !hasShardMap(old.Indices[name]) {
			c.Indices[name] = index
		}
	}
	for name, index := range old.Indices {
		if hasShardMap(index) {
			c.Indices[name] = index
		}
	}
	data, err := json.Marshal(&c)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return searchconfig.ParseUpdate(data, old)
}
