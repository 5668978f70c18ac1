package daemon

import (
	"linkpass/internal/frame"
	"linkpass/internal/lifecycle"
	"linkpass/internal/opensearch"
	"linkpass/internal/searchconfig"
	"linkpass/internal/transport"
	"linkpass/internal/upstream"
)

// upstreamLinks holds the connections to the league servers.
type upstreamLinks struct {
	*process
	core        *queryCore
	settings    *activeSettings
	connLimiter *upstream.ConnLimiter

	links *transport.Set
}

func newUpstreamLinks(p *process, core *queryCore, settings *activeSettings, connLimiter *upstream.ConnLimiter) *upstreamLinks {
	return &upstreamLinks{process: p, core: core, settings: settings, connLimiter: connLimiter}
}

func (u *upstreamLinks) component() lifecycle.Component {
	return lifecycle.Component{Name: "upstreams", DependsOn: []string{"core"}, Start: u.start, Stop: u.stop}
}

func (u *upstreamLinks) start() error {
	u.links = transport.NewSet(u.protocols())
	u.core.core.SetTransports(u.links)
	return nil
}

func (u *upstreamLinks) stop() error {
	u.links.Close()
	return nil
}

// protocols returns the constructors of the transports by protocol, and the choice of the protocol that a league server
// speaks.
func (u *upstreamLinks) protocols() transport.Protocols {
	common := upstream.Config{
		Sink:              u.core.core,
		Counters:          u.counters,
		Totals:            u.totals,
		ConnLimiter:       u.connLimiter,
		ConnectTimeout:    u.cfg.programSettings.ConnectTimeout,
		ServerIdleTimeout: u.cfg.programSettings.ServerIdleTimeout,
	}
	newConstructor := func(codec upstream.Codec) transport.Constructor {
		return func(name, addr string) transport.Transport { return upstream.New(common, codec, name, addr) }
	}
	names := u.cfg.programSettings.ReportNames
	return transport.Protocols{
		Constructors: map[string]transport.Constructor{
			searchconfig.ProtocolPlain:  newConstructor(frame.Codec{MaxStreams: u.cfg.programSettings.MaxStreams, ReportNames: names}),
			searchconfig.ProtocolSearch: newConstructor(opensearch.Codec{ReportNames: names}),
		},
		ForServer: func(server string) string { return u.settings.config().Protocol(server) },
	}
}
