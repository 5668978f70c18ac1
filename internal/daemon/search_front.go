package daemon

import (
	"net"
	"strconv"

	"linkpass/internal/http1"
	"linkpass/internal/lifecycle"
	"linkpass/internal/opensearch"
	"linkpass/internal/searchconfig"
	"linkpass/internal/store"
)

// maxShardsPerMB is how many shards the settings may have for each MB of the platform's memory limit. A change of the
// settings holds several copies of them at a time.
const maxShardsPerMB = 500

// searchFront is the component of the search front, and of the store if there is one. It is deferred, because the
// predecessor of this process may still use its address and its files.
type searchFront struct {
	*process
	core     *queryCore
	bodies   *bodyStore
	fronts   *clientFronts
	settings *activeSettings
	shards   *shardMaps
	registry *endpointRegistry
	store    *replicatedStore
}

func (f *searchFront) component() lifecycle.Component {
	c := f.fronts.frontComponent(lifecycle.Component{
		Name:      "search",
		DependsOn: []string{"core", "bodies", "upstreams", "shardmaps"},
		Deferred:  true,
	}, f.start)
	closeFront := c.Stop
	c.Stop = func() error {
		_ = closeFront()
		return f.store.close()
	}
	return c
}

func (f *searchFront) start() (*boundServer, error) {
	if f.cfg.Search.Listen == "" {
		return nil, nil
	}
	if err := checkListen(f.cfg.Search.Listen); err != nil {
		return nil, err
	}
	settingsHandler := opensearch.FixedSettingsHandler(f.settings.fromFile.Load)
	if f.cfg.Search.Store.ID == "" {
		f.shards.publisher.publish(f.settings.fromFile.Load())
	} else {
		s, err := f.openStore()
		if err != nil {
			return nil, err
		}
		settingsHandler = opensearch.StoreSettingsHandler(searchSettings{s}, f.counters)
	}
	ln, err := net.Listen("tcp", f.cfg.Search.Listen)
	if err != nil {
		f.store.discard()
		return nil, err
	}
	front := f.fronts.add("search", ln, &memberHandler{registry: f.registry, front: f.handler(settingsHandler)}, []string{})
	front.server.MaxBody = Keys.Int("bodies.max_body_kib", f.cfg.Search.Bodies.MaxKiB) << 10
	if f.bodies.store != nil {
		front.server.NewBodySink = f.bodies.newBodySink
	}
	return front, nil
}

// checkListen returns an error if an address cannot be listened at. The store is opened only if it can; the listener
// follows the store, so that the other members' calls are refused and do not wait while the store is being opened.
func checkListen(addr string) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	return ln.Close()
}

// openStore opens the store, which publishes the settings and the overrides that this instance had applied when it last
// ran. They are in force once it is open, whether or not a leader is known.
func (f *searchFront) openStore() (*store.Store, error) {
	c := f.cfg.Search.Store
	c.InitialSettings, c.OnSettingsChanged = f.settings.fromFile.Load(), f.shards.publisher.publish
	c.OnApplied, c.ReportPosition = f.registry.registry.LogApplied, reportPosition
	c.MaxShards = int(f.cfg.memoryMB) * maxShardsPerMB
	c.LeaderVersion, c.MemberVersion = leaderVersion, memberVersion
	s, err := store.Open(c)
	if err != nil {
		return nil, err
	}
	f.store.set(s)
	f.registry.registry.Attach(s)
	f.settings.setSource(s.Settings)
	return s, nil
}

func (f *searchFront) handler(settingsHandler http1.Handler) *opensearch.Front {
	front := &opensearch.Front{
		Core:         f.core.core,
		Shards:       f.cfg.routingSettings.Shards,
		Counters:     f.counters,
		SearchConfig: func() (*searchconfig.Config, error) { return f.settings.fromFile.Load(), nil },
		Settings:     settingsHandler,
		Prefix:       strconv.FormatUint(f.cfg.seed, 16),
		BodyStore:    f.bodies.store,
	}
	if s := f.store.get(); s != nil {
		front.SearchConfig = s.CaughtUpSettings
		front.SettingsUpdater = searchSettings{s}
	}
	for i, name := range f.cfg.programSettings.Classes {
		class := f.cfg.routingSettings.Classes[i]
		front.Classes = append(front.Classes, opensearch.Class{Name: name, Deadline: class.Deadline, PriorityWeight: class.PriorityWeight})
	}
	return front
}
