package daemon

import (
	"context"
	"net"
	"time"

	"linkpass/internal/catalog"
	"linkpass/internal/event"
	"linkpass/internal/http1"
	"linkpass/internal/page"
	"linkpass/internal/parts"
)

const pageConns = 8

// pagePart is the page for a browser, and the samples that it draws.
func (p *Program) pagePart() parts.Part {
	var e *entrance
	var series *page.Series
	return parts.Part{Name: "page", Needs: []string{"core"}, Late: true, Open: func() (err error) {
		addr := p.cfg.Search.Operator.Page
		if addr == "" {
			return nil
		}
		if series, err = page.NewSeries(); err != nil {
			return err
		}
		ln, err := net.Listen("tcp", addr)
		if err != nil {
			_ = series.Close()
			return err
		}
		p.pageAddr.Store(ln.Addr().String())
		h := &page.Handler{Coordinator: p, Catalog: func() *catalog.Catalog { return (*p.current.Load())() }, Series: series, Now: time.Now}
		e = &entrance{&http1.Server{Name: "page", Handler: h, Clock: p.core, Counters: p.count, MaxConns: pageConns}, ln}
		return nil
	}, Run: func(ctx context.Context) {
		if e != nil {
			go e.run(ctx) // ends with the listener
			p.sample(ctx, series)
		}
	}, Close: func() error {
		if e == nil {
			return nil
		}
		_ = e.close()
		return series.Close()
	}}
}

// sample adds to the series until the context ends.
func (p *Program) sample(ctx context.Context, series *page.Series) {
	tick := time.NewTicker(page.Every)
	defer tick.Stop()
	for {
		if err := series.Add(time.Now(), p.classStatus()); err != nil {
			event.PageFailed.Log(err)
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}
