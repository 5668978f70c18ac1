package daemon

import (
	"encoding/json"
	"fmt"
	"strings"

	"linkpass/internal/searchconfig"
)

// isReplicated tells whether a key is in the store's settings, where there is a store.
func isReplicated(key string) bool {
	section, _, _ := strings.Cut(key, ".")
	return section == "search" || section == "indices" || section == "servers"
}

// needsRestart tells which reloadable keys need a restart after all: files for bodies that would have to be created or
// removed, and indices with a shard map, whose versions only the store can advance.
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

// hasShardMap tells whether an index has a shard map.
func (c *SearchConfig) hasShardMap(name string) bool { return hasShardMap(c.Indices[name]) }

func hasShardMap(index searchconfig.Index) bool {
	return index.ShardMap != nil || index.InitialSharding != nil
}

// mergeSearchConfig is the new document with the indices of the old one that can't be changed in service.
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
