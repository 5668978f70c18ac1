package daemon

import (
	"context"

	"linkpass/internal/discovery"
	"linkpass/internal/lifecycle"
	"linkpass/internal/routing"
)

// discoveryWatcher follows the endpoint list of the platform's discovery.
type discoveryWatcher struct {
	*process
	core     *queryCore
	names    *endpointNames
	shards   *shardMaps
	registry *endpointRegistry

	watcher *discovery.Watcher
}

func newDiscoveryWatcher(p *process, core *queryCore, names *endpointNames, shards *shardMaps,
	registry *endpointRegistry) *discoveryWatcher {
	return &discoveryWatcher{process: p, core: core, names: names, shards: shards, registry: registry}
}

func (d *discoveryWatcher) component() lifecycle.Component {
	return lifecycle.Component{Name: "discovery", DependsOn: []string{"endpoints"}, Start: d.start, Run: d.run}
}

func (d *discoveryWatcher) start() error {
	var target discovery.Core = newEndpointFanout(d.core, d.names, d.shards)
	if d.registry.registry != nil {
		target = registryCore{d.core.core, d.registry.registry}
	}
	d.watcher = discovery.NewWatcher(d.cfg.discovery, newEndpointConverter(d.process, d.core), target, d.counters)
	d.watcher.Seed = d.cfg.seed
	d.watcher.Timeouts = discoveryTimeouts(d.cfg.routingSettings)
	return nil
}

func (d *discoveryWatcher) run(ctx context.Context) { d.watcher.Run(ctx, d.cfg.initialEndpoints) }

// newEndpointConverter returns the converter of discovery's endpoint lists for the zones, kinds and cells of this
// coordinator.
func newEndpointConverter(p *process, core *queryCore) *discovery.Converter {
	return &discovery.Converter{
		Zones:      p.cfg.programSettings.Zones,
		Kinds:      p.cfg.programSettings.Kinds,
		Cells:      p.cfg.routingSettings.Cells,
		ToCoreTime: core.core.FromUnixMilli,
	}
}

// discoveryTimeouts returns the timeouts for a discovery service that all coordinators share if changes have to be
// polled, and those for a local agent otherwise.
func discoveryTimeouts(set routing.Settings) discovery.Timeouts {
	if set.SubscribesToEndpoints {
		return discovery.SharedServiceTimeouts
	}
	return discovery.LocalAgentTimeouts(set.DrainGrace)
}
