package daemon

import (
	"context"
	"net"

	"linkpass/internal/admin"
	"linkpass/internal/lifecycle"
)

// adminListener serves readiness and totals at the platform's operator address.
type adminListener struct {
	*process
	core *queryCore

	bound *boundServer // nil if the listener is off
}

func newAdminListener(p *process, core *queryCore) *adminListener {
	return &adminListener{process: p, core: core}
}

func (a *adminListener) component() lifecycle.Component {
	return lifecycle.Component{Name: "admin", DependsOn: []string{"core"}, Start: a.start, Run: a.run,
		Stop: func() error { return a.bound.close() }}
}

func (a *adminListener) start() error {
	if a.cfg.adminListen == "" {
		return nil
	}
	ln, err := net.Listen("tcp", a.cfg.adminListen)
	if err != nil {
		return err
	}
	handler := &admin.Handler{Readiness: &a.readiness, Totals: a.totals, Counters: a.counters}
	server := a.newServer("operator", a.core, handler, []string{})
	server.MaxConns = admin.MaxConns
	a.bound = &boundServer{server, ln}
	return nil
}

func (a *adminListener) run(ctx context.Context) {
	if a.bound != nil {
		a.bound.run(ctx)
	}
}
