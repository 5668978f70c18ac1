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

// Discovery is discovery: it holds the list and answers watches, each coordinator's at once.
type Discovery struct {
	mu      sync.Mutex
	version int64
	list    map[string]discovery.Endpoint
	changes []discovery.EndpointList // the latest, by version
	news    chan struct{}            // closed by the next change
	ln      net.Listener
	web     *http.Server
}

const keptChanges = 256

// NewDiscovery starts discovery on a port of its own.
func NewDiscovery(addr string) (*Discovery, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("standin: discovery: %w", err)
	}
	a := &Discovery{list: map[string]discovery.Endpoint{}, news: make(chan struct{}), ln: ln, version: 1}
	a.web = &http.Server{Handler: http.HandlerFunc(a.serve), ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = a.web.Serve(ln) }()
	return a, nil
}

// Addr is where it listens.
func (a *Discovery) Addr() string { return a.ln.Addr().String() }

// Close ends it.
func (a *Discovery) Close() { _ = a.web.Close() }

// Update changes the list: lines that are new, changed, or terminated.
func (a *Discovery) Update(lines ...discovery.Endpoint) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.version++
	for _, s := range lines {
		if s.State == "terminated" {
			delete(a.list, s.ID)
		} else {
			a.list[s.ID] = s
		}
	}
	a.changes = append(a.changes, discovery.EndpointList{Version: a.version, Endpoints: lines})
	a.changes = a.changes[max(0, len(a.changes)-keptChanges):]
	close(a.news)
	a.news = make(chan struct{})
}

// EndpointList is the whole list.
func (a *Discovery) EndpointList() discovery.EndpointList {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.whole()
}

func (a *Discovery) whole() discovery.EndpointList {
	d := discovery.EndpointList{Version: a.version, Full: true}
	for _, s := range a.list {
		d.Endpoints = append(d.Endpoints, s)
	}
	return d
}

// since is what changed after a version, or the whole list where that is too long ago.
func (a *Discovery) since(after int64) (discovery.EndpointList, chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	d := discovery.EndpointList{Version: a.version}
	if after >= a.version {
		return d, a.news
	}
	if len(a.changes) == 0 || a.changes[0].Version > after+1 {
		return a.whole(), nil
	}
	for _, c := range a.changes {
		if c.Version > after {
			d.Endpoints = append(d.Endpoints, c.Endpoints...)
		}
	}
	return d, nil
}

func (a *Discovery) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/registry/instances" {
		http.NotFound(w, r)
		return
	}
	q := r.URL.Query()
	d := a.EndpointList()
	if q.Has("after") {
		after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
		wait, _ := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
		var news chan struct{}
		if d, news = a.since(after); news != nil {
			timer := time.NewTimer(time.Duration(min(wait, 60_000)) * time.Millisecond)
			defer timer.Stop()
			select {
			case <-news:
			case <-timer.C:
			case <-r.Context().Done():
				return
			}
			d, _ = a.since(after)
		}
	}
	_ = json.NewEncoder(w).Encode(d)
}
