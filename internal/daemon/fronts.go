package daemon

import (
	"context"
	"fmt"
	"net"
	"os"
	"strconv"

	"linkpass/internal/admin"
	"linkpass/internal/eventlog"
	"linkpass/internal/http1"
	"linkpass/internal/lifecycle"
	"linkpass/internal/opensearch"
	"linkpass/internal/platform"
	"linkpass/internal/searchconfig"
	"linkpass/internal/store"
)

// entrance is a server and where it listens.
type entrance struct {
	server *http1.Server
	ln     net.Listener
}

// run serves until the context ends or the listener is closed.
func (e *entrance) run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = e.ln.Close() })
	defer stop()
	eventlog.Listening.Log(e.server.Name, e.ln.Addr())
	if err := e.server.Serve(e.ln); err != nil {
		eventlog.FrontFailed.Log(e.server.Name, err)
	}
}

// close ends what is open on it.
func (e *entrance) close() error {
	if e == nil {
		return nil
	}
	_ = e.ln.Close() // once more does no harm
	e.server.Close()
	return nil
}

// letIn serves a front's clients from when they are welcome until they no longer are.
func (p *Program) letIn(ctx context.Context, e *entrance) {
	select {
	case <-p.welcome:
	case <-p.leaving:
		return
	case <-ctx.Done():
		return
	}
	e.run(ctx)
}

// add sets up one front on a listener.
func (p *Program) add(name string, ln net.Listener, h http1.Handler) *entrance {
	server := &http1.Server{Name: name, Handler: h, Clock: p.core, Counters: p.count, MaxConns: p.clients}
	p.lns, p.fronts = append(p.lns, ln), append(p.fronts, server)
	p.gate.AddFront(server)
	p.accepting.Add(1) // before it runs: the end waits for it
	return &entrance{server, ln}
}

// frontPart is a part whose entrance is one for clients, or nil after it has opened: it is off.
func (p *Program) frontPart(part lifecycle.Component, open func() (*entrance, error), alsoClose func() error) lifecycle.Component {
	var e *entrance
	part.Start = func() (err error) { e, err = open(); return err }
	part.Run = func(ctx context.Context) {
		if e != nil {
			defer p.accepting.Done()
			p.letIn(ctx, e)
		}
	}
	part.Stop = func() error {
		_ = e.close()
		if alsoClose == nil {
			return nil
		}
		return alsoClose()
	}
	return part
}

// platformPart is the platform's front.
func (p *Program) platformPart() lifecycle.Component {
	return p.frontPart(lifecycle.Component{Name: "platform", DependsOn: []string{"core", "bodies", "links"}}, func() (*entrance, error) {
		thin := &platform.Front{Core: p.core, Classes: p.cfg.host.Classes, Tenants: p.cfg.host.Tenants, Shards: p.cfg.module.Shards, Counters: p.count}
		thin.Ready, thin.Bodies, thin.Retry = p.gate.Ready, p.bodies, p.retry()
		for _, class := range p.cfg.module.Classes {
			thin.Worth = append(thin.Worth, class.Worth)
		}
		ln, err := clientListener(p.cfg)
		if err != nil {
			return nil, err
		}
		return p.add("platform", ln, thin), nil
	}, nil)
}

// clientListener is where clients come in: the platform's socket, if it holds one that
// outlives this process, or a socket of our own. The platform's is only ever closed
// here, never shut: others accept on it too.
func clientListener(cfg Config) (net.Listener, error) {
	if cfg.listenFD == 0 {
		ln, err := net.Listen("tcp", cfg.listen)
		if err != nil {
			return nil, err
		}
		return ln, nil
	}
	f := os.NewFile(uintptr(cfg.listenFD), "ROUTER_LISTEN_FD")
	defer f.Close()
	ln, err := net.FileListener(f)
	if err != nil {
		return nil, fmt.Errorf("ROUTER_LISTEN_FD %d: %w", cfg.listenFD, err)
	}
	return ln, nil
}

// doorPart is the operators' door on the platform's address.
func (p *Program) doorPart() lifecycle.Component {
	return lifecycle.Component{Name: "door", DependsOn: []string{"core"}, Start: func() error {
		if p.cfg.operator == "" {
			return nil
		}
		ln, err := net.Listen("tcp", p.cfg.operator)
		if err != nil {
			return err
		}
		p.door = &entrance{&http1.Server{Name: "operator", Handler: &admin.Handler{Readiness: &p.gate, Totals: p.figures}, Clock: p.core,
			Counters: p.count, MaxConns: admin.MaxConns}, ln}
		return nil
	}, Run: func(ctx context.Context) {
		if p.door != nil {
			p.door.run(ctx)
		}
	}, Stop: func() error { return p.door.close() }}
}

// settle names the search settings that hold.
func (p *Program) settle(current func() *searchconfig.Config) { p.current.Store(&current) }

// searchPart is the search front, and the store where there is one. It has an address and files that another process
// may still hold.
func (p *Program) searchPart() lifecycle.Component {
	return p.frontPart(lifecycle.Component{Name: "search", DependsOn: []string{"core", "bodies", "links", "layouts"}, Deferred: true}, p.openSearch, func() error {
		if p.store == nil {
			return nil
		}
		return p.store.Close()
	})
}

func (p *Program) openSearch() (*entrance, error) {
	if p.cfg.Search.Listen == "" {
		return nil, nil
	}
	initial := p.fixed.Load()
	p.layouts.take(initial)
	answers := opensearch.FixedSettings(p.fixed.Load)
	if p.cfg.Search.Store.ID != "" {
		c := p.cfg.Search.Store
		c.InitialSettings, c.OnSettingsChanged, c.OnApplied, c.ReportPosition = initial, p.layouts.take, p.agreement.LogApplied, tellMark
		s, err := store.Open(c)
		if err != nil {
			return nil, err
		}
		p.store = s
		p.opened.Store(s)
		p.agreement.Attach(s)
		p.settle(s.Settings)
		answers = opensearch.StoreSettings(s)
	}
	ln, err := net.Listen("tcp", p.cfg.Search.Listen)
	if err != nil {
		if p.store != nil {
			_ = p.store.Close()
		}
		return nil, err
	}
	front := &opensearch.Front{Core: p.core, Shards: p.cfg.module.Shards, Counters: p.count, Catalog: *p.current.Load(),
		Settings: answers, Prefix: strconv.FormatUint(p.cfg.seed, 16), Bodies: p.bodies}
	if p.store != nil {
		front.Changes = p.store
	}
	for i, name := range p.cfg.host.Classes {
		front.Classes = append(front.Classes, opensearch.Class{Name: name, Deadline: p.cfg.module.Classes[i].Deadline,
			Worth: p.cfg.module.Classes[i].Worth})
	}
	e := p.add("search", ln, p.hearing(front))
	e.server.MaxBody = Keys.Int("bodies.max_body_kib", p.cfg.Search.Bodies.MaxKiB) << 10
	if p.bodies != nil {
		e.server.Spools = p.spools
	}
	return e, nil
}
