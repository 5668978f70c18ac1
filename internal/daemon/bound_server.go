package daemon

import (
	"context"
	"net"

	"linkpass/internal/eventlog"
	"linkpass/internal/http1"
)

// boundServer is an HTTP server with the listener that it serves.
type boundServer struct {
	server   *http1.Server
	listener net.Listener
}

// newServer returns an HTTP server that shares processor time and memory with the process's other servers. headerFields
// are those that the handler reads.
func (p *process) newServer(name string, core *queryCore, h http1.Handler, headerFields []string) *http1.Server {
	return &http1.Server{
		Name:         name,
		Handler:      h,
		Clock:        frontClock{core.core},
		Counters:     p.counters,
		Work:         p.work,
		Memory:       p.memory,
		HeaderFields: headerFields,
	}
}

// run serves until the context ends or the listener is closed.
func (b *boundServer) run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = b.listener.Close() })
	defer stop()
	eventlog.Listening.Log(b.server.Name, b.listener.Addr())
	if err := b.server.Serve(b.listener); err != nil {
		eventlog.FrontFailed.Log(b.server.Name, err)
	}
}

// close closes the listener and all connections. It does nothing if b is nil.
func (b *boundServer) close() error {
	if b == nil {
		return nil
	}
	_ = b.listener.Close() // fails if it is closed already
	b.server.Close()
	return nil
}
