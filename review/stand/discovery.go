//go:build review

package main

import (
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// instance is an entry of discovery's list, in the protocol's form.
type instance struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"`
	Weight    float64 `json:"weight"`
	StartedMS int64   `json:"started_ms"`
}

type instanceList struct {
	Version int        `json:"version"`
	Full    bool       `json:"full"`
	Servers []instance `json:"servers"`
}

// agent stands in for discovery's agent on a coordinator's machine: it answers at once with what it has been sent.
type agent struct {
	r    *run
	name string // of its coordinator
	ln   net.Listener

	mu      sync.Mutex
	version int
	servers []instance // the present list
	changes []instanceList
	changed chan struct{}
}

func (r *run) newAgent(name string, servers []instance) (*agent, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a := &agent{r: r, name: name, ln: ln, version: 1, servers: servers, changed: make(chan struct{})}
	go func() { _ = http.Serve(ln, http.HandlerFunc(a.serve)) }()
	return a, nil
}

func (a *agent) addr() string { return a.ln.Addr().String() }

// list returns the whole list.
func (a *agent) list() instanceList {
	a.mu.Lock()
	defer a.mu.Unlock()
	return instanceList{Version: a.version, Full: true, Servers: append([]instance{}, a.servers...)}
}

// change tells a change of one entry.
func (a *agent) change(i instance) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.version++
	kept := []instance{}
	for _, s := range a.servers {
		if s.ID != i.ID {
			kept = append(kept, s)
		}
	}
	if i.State != "terminated" {
		kept = append(kept, i)
	}
	a.servers = kept
	a.changes = append(a.changes, instanceList{Version: a.version, Servers: []instance{i}})
	close(a.changed)
	a.changed = make(chan struct{})
}

func (a *agent) since(after int) (instanceList, chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := instanceList{Version: a.version, Servers: []instance{}}
	if after < 1 || after > a.version {
		return instanceList{Version: a.version, Full: true, Servers: append([]instance{}, a.servers...)}, nil
	}
	for _, c := range a.changes {
		if c.Version > after {
			out.Servers = append(out.Servers, c.Servers...)
		}
	}
	if len(out.Servers) == 0 {
		return out, a.changed
	}
	return out, nil
}

func (a *agent) serve(w http.ResponseWriter, req *http.Request) {
	if req.URL.Path != "/registry/instances" {
		http.NotFound(w, req)
		return
	}
	out := a.list()
	if q := req.URL.Query(); q.Has("after") {
		after, _ := strconv.Atoi(q.Get("after"))
		wait, _ := strconv.Atoi(q.Get("wait_ms"))
		var changed chan struct{}
		if out, changed = a.since(after); changed != nil {
			select {
			case <-changed:
				out, _ = a.since(after)
			case <-time.After(time.Duration(min(wait, 60000)) * time.Millisecond):
			case <-req.Context().Done():
				return
			}
		}
	}
	for _, s := range out.Servers {
		if s.State != "in_service" {
			a.r.notef("discovery told %s: version %d, %s is %s", a.name, out.Version, s.ID, s.State)
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write([]byte(encode(out)))
}
