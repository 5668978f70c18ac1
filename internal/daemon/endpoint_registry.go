package daemon

import (
	"context"
	"time"

	"linkpass/internal/config"
	"linkpass/internal/config/restriction"
	"linkpass/internal/coordinator"
	"linkpass/internal/discovery"
	"linkpass/internal/endpoints"
	"linkpass/internal/lifecycle"
)

// endpointRegistry merges discovery's endpoint list with the overrides of it that the instances of the store replicate.
type endpointRegistry struct {
	*process
	core   *queryCore
	names  *endpointNames
	shards *shardMaps
	store  *replicatedStore

	registry *endpoints.Registry // nil if there is no store
}

func newEndpointRegistry(p *process, core *queryCore, names *endpointNames, shards *shardMaps,
	store *replicatedStore) *endpointRegistry {
	return &endpointRegistry{process: p, core: core, names: names, shards: shards, store: store}
}

func (r *endpointRegistry) component() lifecycle.Component {
	return lifecycle.Component{Name: "endpoints", DependsOn: []string{"upstreams", "shardmaps"},
		Start: r.start, Run: r.run}
}

func (r *endpointRegistry) start() error {
	c := r.cfg.Search.Store
	if r.cfg.Search.Listen == "" || c.ID == "" {
		return nil
	}
	broadcast := map[string]func(context.Context, []restriction.Request) error{}
	for _, m := range c.Members {
		if m.ID != c.ID {
			broadcast[m.ID] = broadcastTo(c.ID, m.HTTP)
		}
	}
	converter := newEndpointConverter(r.process, r.core)
	r.registry = endpoints.New(endpoints.Config{
		InstanceID:  c.ID,
		Incarnation: uint64(time.Now().UnixNano()),
		OnUpdate:    newEndpointFanout(r.core, r.names, r.shards).UpdateEndpoints,
		Broadcast:   broadcast,
		JoinedPeers: r.joinedPeers,
		BroadcastTo: func(peer endpoints.Peer) endpoints.BroadcastFunc { return broadcastTo(c.ID, peer.Addr) },
		Counters:    r.counters,
		ResolveEndpoint: func(id string, spec config.ServerSpec) (coordinator.Endpoint, error) {
			return resolveEndpoint(converter, id, spec)
		},
	})
	return nil
}

// joinedPeers returns the other members of the store that are not in this instance's file.
func (r *endpointRegistry) joinedPeers() (peers []endpoints.Peer) {
	st := r.store.get()
	if st == nil {
		return nil
	}
	configured := r.cfg.Search.Store.Members
	for _, m := range st.Members() {
		if m.ID != st.ID() && m.HTTP != "" && !isMember(configured, m.ID) {
			peers = append(peers, endpoints.Peer{ID: m.ID, Addr: m.HTTP})
		}
	}
	return peers
}

func (r *endpointRegistry) run(ctx context.Context) {
	if r.registry != nil {
		r.registry.Run(ctx)
	}
}

// resolveEndpoint returns the endpoint of a server that the store has added, as if discovery had listed it.
func resolveEndpoint(converter *discovery.Converter, id string, spec config.ServerSpec) (coordinator.Endpoint, error) {
	server := discovery.Endpoint{ID: id, Addr: spec.Addr, Zone: spec.Zone, Kind: spec.Kind, Cell: spec.Cell,
		State: discovery.StateInService, Weight: 1}
	list, err := converter.Convert(discovery.EndpointList{Endpoints: []discovery.Endpoint{server}})
	if err != nil {
		return coordinator.Endpoint{}, err
	}
	return list.Endpoints[0], nil
}
