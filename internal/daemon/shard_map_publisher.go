package daemon

import (
	"sync"

	"linkpass/internal/discovery"
	"linkpass/internal/eventlog"
	"linkpass/internal/searchconfig"
)

// shardMapPublisher notifies the core of the changes of the shard maps from one version of the settings to the next.
type shardMapPublisher struct {
	core *queryCore

	mu   sync.Mutex           // guards last, and keeps the core's updates in order
	last *searchconfig.Config // published last; nil: none yet
}

// publish notifies the core of what differs between the shard maps of c and those published last.
func (p *shardMapPublisher) publish(c *searchconfig.Config) {
	p.mu.Lock()
	defer p.mu.Unlock()
	changes := c.ShardMapChanges(p.last)
	p.last = c
	if len(changes) == 0 {
		return
	}
	p.core.core.UpdateShardMaps(changes, discovery.ServerID)
	for _, change := range changes {
		version := uint64(0)
		if change.Map != nil {
			version = change.Map.Version()
		}
		eventlog.ShardMapChanged.Log(change.Collection, version, len(change.Added), len(change.Removed))
	}
}
