package daemon

import (
	"linkpass/internal/frame"
	"linkpass/internal/lifecycle"
	"linkpass/internal/link"
	"linkpass/internal/opensearch"
	"linkpass/internal/peer"
	"linkpass/internal/searchconfig"
)

// upstreamLinks are the connections to the league servers.
type upstreamLinks struct {
	*process
	core     *queryCore
	settings *activeSettings
	dials    *peer.Places

	links *link.Set
}

func newUpstreamLinks(p *process, core *queryCore, settings *activeSettings, dials *peer.Places) *upstreamLinks {
	return &upstreamLinks{process: p, core: core, settings: settings, dials: dials}
}

func (u *upstreamLinks) component() lifecycle.Component {
	return lifecycle.Component{Name: "upstreams", DependsOn: []string{"core"}, Start: u.start, Stop: u.stop}
}

func (u *upstreamLinks) start() error {
	u.links = link.NewSet(u.protocols())
	u.core.core.Bind(u.links)
	return nil
}

func (u *upstreamLinks) stop() error {
	u.links.Close()
	return nil
}

// protocols maps each league server to the protocol that it speaks.
func (u *upstreamLinks) protocols() link.Protocols {
	common := peer.Config{
		Sink:           u.core.core,
		Counters:       u.counters,
		Figures:        u.totals,
		Places:         u.dials,
		ConnectTimeout: u.cfg.host.ConnectTimeout,
		Keepalive:      u.cfg.host.Keepalive,
	}
	factory := func(d peer.Dialect) link.Make {
		return func(name, addr string) link.Carrier { return peer.New(common, d, name, addr) }
	}
	names := u.cfg.host.ReportNames
	return link.Protocols{
		Makers: map[string]link.Make{
			searchconfig.ProtocolPlain:  factory(frame.Dialect{MaxStreams: u.cfg.host.MaxStreams, ReportNames: names}),
			searchconfig.ProtocolSearch: factory(opensearch.Dialect{ReportNames: names}),
		},
		Of: func(server string) string { return u.settings.config().Protocol(server) },
	}
}
