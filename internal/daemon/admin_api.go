package daemon

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"linkpass/internal/adminapi"
	"linkpass/internal/http1"
	"linkpass/internal/lifecycle"
)

// AdminConfig configures the admin API: the section `operator` of the operators' file.
type AdminConfig struct {
	Socket string `toml:"socket"` // path of the API's Unix socket; "" turns it off
	Listen string `toml:"listen"` // address of the API over TCP; "" turns it off
	Keys   string `toml:"keys"`   // file with the keys that sign calls over TCP
	Window string `toml:"window"` // duration: how far the time of a signed call may be off; "": the key's default
}

const (
	adminAPIName     = "adminapi" // name of the component
	maxAdminAPIConns = 8          // connections at a time, of each listener
	maxAdminBody     = 16 << 20   // bytes; the largest body is a backup
	maxUnsignedBody  = 1 << 20    // bytes, over TCP; a body is held in memory before its signature is verified
)

// socketProbeTimeout is how long another process has to accept a connection at the socket.
const socketProbeTimeout = time.Second

// errSocketInUse means that another process listens at the socket.
var errSocketInUse = errors.New("another process listens")

// adminAPI serves the admin API at its Unix socket and over TCP.
type adminAPI struct {
	*process
	core    *queryCore
	backend *adminBackend

	keys    keyring      // verifies the calls over TCP
	tcpAddr atomic.Value // string, the address of the API over TCP; unset while it does not listen there
	bound   []*boundServer
}

func newAdminAPI(p *process, core *queryCore) *adminAPI { return &adminAPI{process: p, core: core} }

func (a *adminAPI) component() lifecycle.Component {
	return lifecycle.Component{Name: adminAPIName, DependsOn: []string{"core"}, Deferred: true,
		Start: a.start, Run: a.run, Stop: a.stop}
}

func (a *adminAPI) start() error {
	err := a.listen()
	if err != nil {
		_ = a.stop()
	}
	return err
}

func (a *adminAPI) run(ctx context.Context) {
	var serving sync.WaitGroup
	for _, b := range a.bound {
		serving.Go(func() { b.run(ctx) })
	}
	serving.Wait()
}

func (a *adminAPI) stop() error {
	for _, b := range a.bound {
		_ = b.close()
	}
	return nil
}

func (a *adminAPI) listen() error {
	c := a.cfg.Search.Operator
	handler := adminapi.Handler{Coordinator: a.backend}
	if c.Socket != "" {
		ln, err := listenSocket(c.Socket)
		if err != nil {
			return err
		}
		a.add(ln, handler, maxAdminBody)
	}
	if c.Listen == "" {
		return nil
	}
	ring, err := ReadKeyRing(c.Keys)
	if err != nil {
		return err
	}
	a.keys.open(ring, Keys.Duration("operator.window", c.Window))
	ln, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return err
	}
	a.tcpAddr.Store(ln.Addr().String())
	a.add(ln, &adminapi.SignedHandler{Handler: handler, Verify: a.keys.check, Counters: a.counters}, maxUnsignedBody)
	return nil
}

func (a *adminAPI) add(ln net.Listener, h http1.Handler, maxBody int64) {
	server := a.newServer("control", a.core, h, adminapi.HeaderFields)
	server.MaxConns, server.MaxBody = maxAdminAPIConns, maxBody
	a.bound = append(a.bound, &boundServer{server, ln})
}

// listenSocket listens at a Unix socket. It replaces a socket file left by a crash. If another process listens at the
// socket, the error is errSocketInUse.
func listenSocket(path string) (net.Listener, error) {
	if _, err := os.Stat(path); err == nil {
		if conn, err := net.DialTimeout("unix", path, socketProbeTimeout); err == nil {
			_ = conn.Close()
			return nil, fmt.Errorf("%w at %s", errSocketInUse, path)
		}
		if err := os.Remove(path); err != nil {
			return nil, fmt.Errorf("remove stale socket: %w", err)
		}
	}
	if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
		return nil, err
	}
	ln, err := net.Listen("unix", path)
	if err != nil {
		return nil, err
	}
	if err := os.Chmod(path, 0o600); err != nil {
		_ = ln.Close()
		return nil, err
	}
	return ln, nil
}
