//go:build review2

package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// listed is a league server in discovery's list.
type listed struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"`
	Weight    float64 `json:"weight"`
	StartedMS int64   `json:"started_ms"`
}

type list struct {
	Version int64    `json:"version"`
	Full    bool     `json:"full"`
	Servers []listed `json:"servers"`
}

// agent is discovery's agent on the machine of one coordinator, where lists are pushed.
type agent struct {
	record   *record
	name     string // of its coordinator
	listener net.Listener

	mu      sync.Mutex
	list    list
	changed chan struct{}
}

func newAgent(r *record, name string, servers []listed) *agent {
	listener := listen()
	a := &agent{record: r, name: name, listener: listener, changed: make(chan struct{}),
		list: list{Version: 41, Full: true, Servers: servers}}
	server := &http.Server{Handler: http.HandlerFunc(a.serve)}
	go func() { _ = server.Serve(listener) }()
	return a
}

func (a *agent) addr() string { return a.listener.Addr().String() }

// known returns the whole list.
func (a *agent) known() list {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.list
}

func (a *agent) serve(w http.ResponseWriter, req *http.Request) {
	after, err := strconv.ParseInt(req.URL.Query().Get("after"), 10, 64)
	waitMS, _ := strconv.Atoi(req.URL.Query().Get("wait_ms"))
	a.mu.Lock()
	out, changed := a.list, a.changed
	a.mu.Unlock()
	if err == nil && after >= out.Version {
		select {
		case <-changed:
			out = a.known()
		case <-time.After(time.Duration(min(waitMS, 60000)) * time.Millisecond):
			out = list{Version: after, Servers: []listed{}}
		case <-req.Context().Done():
			return
		}
	}
	body, _ := json.Marshal(out)
	if out.Full {
		a.record.note("discovery tells %s version %d, whole, %d servers", a.name, out.Version, len(out.Servers))
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}
