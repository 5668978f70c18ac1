package daemon

import (
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"

	"linkpass/internal/eventlog"
	"linkpass/internal/lifecycle"
	"linkpass/internal/platform"
	"linkpass/internal/querynames"
)

// platformFront is the front that speaks the platform's protocol.
type platformFront struct {
	*process
	core   *queryCore
	bodies *bodyStore
	fronts *clientFronts

	names *querynames.Table // nil until the front has started
}

func newPlatformFront(p *process, core *queryCore, bodies *bodyStore, fronts *clientFronts) *platformFront {
	return &platformFront{process: p, core: core, bodies: bodies, fronts: fronts}
}

func (f *platformFront) component() lifecycle.Component {
	c := f.fronts.frontComponent(lifecycle.Component{Name: "platform", DependsOn: []string{"core", "bodies", "upstreams"}}, f.start)
	closeFront := c.Stop
	c.Stop = func() error { return errors.Join(closeFront(), f.names.Close()) }
	return c
}

func (f *platformFront) start() (*boundServer, error) {
	f.names = openQueryNames(f.cfg.name)
	handler := &platform.Front{
		Core:       f.core.core,
		Classes:    f.cfg.programSettings.Classes,
		Tenants:    f.cfg.programSettings.Tenants,
		ShardCount: f.cfg.routingSettings.Shards,
		Counters:   f.counters,
		Ready:      f.readiness.Ready,
		BodyStore:  f.bodies.store,
		RetryAfter: f.bodies.retryAfter(),
		Names:      f.names,
	}
	for _, class := range f.cfg.routingSettings.Classes {
		handler.PriorityWeights = append(handler.PriorityWeights, class.PriorityWeight)
	}
	ln, err := clientListener(f.cfg.listen, f.cfg.listenFD)
	if err != nil {
		return nil, err
	}
	return f.fronts.add("platform", ln, handler, platform.HeaderFields), nil
}

// openQueryNames returns the table of names that the processes of the coordinator of this name share. If its file cannot
// be used, the table is this process's alone.
func openQueryNames(name string) *querynames.Table {
	table, err := querynames.Open(filepath.Join(os.TempDir(), "linkpass-"+filepath.Base(name)+".names"))
	if err != nil {
		eventlog.QueryNamesNotShared.Log(err)
	}
	return table
}

// clientListener returns the listener that clients connect to: the platform's socket, which outlives this process, if
// the platform passes one as fd, or else a socket of this process at addr. The platform's socket is only ever closed
// here and never shut down, because other processes accept on it too.
func clientListener(addr string, fd int) (net.Listener, error) {
	if fd == 0 {
		return net.Listen("tcp", addr)
	}
	f := os.NewFile(uintptr(fd), "ROUTER_LISTEN_FD")
	defer f.Close()
	ln, err := net.FileListener(f)
	if err != nil {
		return nil, fmt.Errorf("ROUTER_LISTEN_FD %d: %w", fd, err)
	}
	return ln, nil
}
