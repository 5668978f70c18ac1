package emulator

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"linkpass/internal/discovery"
)

// maxRetainedChanges is the number of versions that a watch may lag behind; beyond it, the watch gets the full list.
const maxRetainedChanges = 256

// Discovery serves an endpoint list and watches of it over HTTP. It owns its HTTP server and the goroutine that
// serves the listener; Close ends both. Its methods may be called from any goroutine.
type Discovery struct {
	listener   net.Listener
	httpServer *http.Server

	mu        sync.Mutex
	version   int64                         // of the endpoint list; incremented by each Update
	endpoints map[string]discovery.Endpoint // by id
	changes   []discovery.EndpointList      // the latest maxRetainedChanges changes, sorted by version
	changed   chan struct{}                 // closed and replaced by Update; watches wait for it
}

// NewDiscovery serves an empty list at an address (host:port; port 0 selects a free port). It returns an error if it
// cannot listen there.
func NewDiscovery(addr string) (*Discovery, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("emulator: discovery: listen at %s: %w", addr, err)
	}
	d := &Discovery{listener: listener, version: 1, endpoints: map[string]discovery.Endpoint{}, changed: make(chan struct{})}
	d.httpServer = &http.Server{Handler: http.HandlerFunc(d.serve), ReadHeaderTimeout: readHeaderTimeout}
	go func() { _ = d.httpServer.Serve(listener) }()
	return d, nil
}

// Addr returns the address (host:port) that the server listens on.
func (d *Discovery) Addr() string { return d.listener.Addr().String() }

// Close closes the listener and all connections.
func (d *Discovery) Close() { _ = d.httpServer.Close() }

// Update makes a new version of the list and notifies the watches. It removes endpoints in discovery.StateTerminated
// and adds or replaces the others.
func (d *Discovery) Update(endpoints ...discovery.Endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	for _, endpoint := range endpoints {
		if endpoint.State == discovery.StateTerminated {
			delete(d.endpoints, endpoint.ID)
		} else {
			d.endpoints[endpoint.ID] = endpoint
		}
	}
	d.changes = append(d.changes, discovery.EndpointList{Version: d.version, Endpoints: endpoints})
	d.changes = d.changes[max(0, len(d.changes)-maxRetainedChanges):]
	close(d.changed)
	d.changed = make(chan struct{})
}

// EndpointList returns the full list, in no particular order.
func (d *Discovery) EndpointList() discovery.EndpointList {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.fullList()
}

// fullList returns the full list, in no particular order. The caller holds the mutex.
func (d *Discovery) fullList() discovery.EndpointList {
	list := discovery.EndpointList{Version: d.version, Full: true}
	for _, endpoint := range d.endpoints {
		list.Endpoints = append(list.Endpoints, endpoint)
	}
	return list
}

// listSince returns the changes after a version, or the full list if some of them are no longer retained. If there are
// no changes yet, it also returns a channel that closes with the next change; otherwise the channel is nil.
func (d *Discovery) listSince(version int64) (list discovery.EndpointList, changed <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	list = discovery.EndpointList{Version: d.version}
	if version >= d.version {
		return list, d.changed
	}
	if len(d.changes) == 0 || d.changes[0].Version > version+1 {
		return d.fullList(), nil
	}
	for _, change := range d.changes {
		if change.Version > version {
			list.Endpoints = append(list.Endpoints, change.Endpoints...)
		}
	}
	return list, nil
}

func (d *Discovery) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != pathEndpointList {
		http.NotFound(w, r)
		return
	}
	list := d.EndpointList()
	if query := r.URL.Query(); query.Has(paramAfterVersion) {
		version, _ := strconv.ParseInt(query.Get(paramAfterVersion), 10, 64)
		waitMS, _ := strconv.ParseInt(query.Get(paramWaitMS), 10, 64)
		var ok bool
		if list, ok = d.watch(r, version, time.Duration(min(waitMS, maxWatchWaitMS))*time.Millisecond); !ok {
			return
		}
	}
	_ = json.NewEncoder(w).Encode(list)
}

// watch waits up to timeout for a change after a version and returns all changes since that version. It returns false
// if the request is canceled.
func (d *Discovery) watch(r *http.Request, version int64, timeout time.Duration) (discovery.EndpointList, bool) {
	list, changed := d.listSince(version)
	if changed == nil {
		return list, true
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-r.Context().Done():
		return list, false
	}
	list, _ = d.listSince(version)
	return list, true
}
