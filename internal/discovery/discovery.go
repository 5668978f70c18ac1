// Package discovery follows the shared list of league servers: one actor that
// keeps a long watch and renews it at once.
package discovery

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"log"
	"math"
	"net"
	"slices"
	"time"

	"linkpass"
	"linkpass/internal/coordinator"
	"linkpass/internal/counters"
	"linkpass/internal/http1"
)

const (
	watchWait  = 20 * time.Second
	watchSlack = 2 * time.Second        // past the wait: discovery says nothing
	pause      = 50 * time.Millisecond  // before a new connection; a renewal has 200 ms
	dialLimit  = 500 * time.Millisecond // the agent is on this machine
	maxList    = 1 << 20                // bytes of a list

	// none stands for no version held. Version 0 is a real one: asking for the
	// whole list in its place, which is answered at once, would go on for ever.
	none = -1
)

// Document is a list in discovery's form.
type Document struct {
	Version int64    `json:"version"`
	Full    bool     `json:"full"`
	Servers []Server `json:"servers"`
}

// Server is one line of it.
type Server struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"`
	Weight    float64 `json:"weight"`
	StartedMS int64   `json:"started_ms"`
}

var states = map[string]linkpass.ServerState{
	"in_service": linkpass.Ready, "terminating": linkpass.Draining, "terminated": linkpass.Gone,
}

// Reader turns documents into lists.
type Reader struct {
	Zones, Kinds []string
	Cells        int
	Clock        func(unixMS int64) time.Duration
}

// Parse reads a document.
func Parse(data []byte) (Document, error) {
	var d Document
	if err := json.Unmarshal(data, &d); err != nil {
		return Document{}, fmt.Errorf("discovery: %w", err)
	}
	return d, nil
}

// List turns a document into news; one that names a server that can't be
// understood is refused as a whole, as part of a list would mislead.
func (r *Reader) List(d Document) (coordinator.List, error) {
	out := coordinator.List{Mode: linkpass.ListDelta}
	if d.Full {
		out.Mode = linkpass.ListFull
	}
	for _, s := range d.Servers {
		state, ok := states[s.State]
		if !ok || s.ID == "" || s.Cell < 0 || s.Cell >= r.Cells || math.IsNaN(s.Weight) || s.Weight < 0 {
			return coordinator.List{}, fmt.Errorf("discovery: unusable server %q state %q cell %d", s.ID, s.State, s.Cell)
		}
		if _, err := net.ResolveTCPAddr("tcp", s.Addr); err != nil && state != linkpass.Gone {
			return coordinator.List{}, fmt.Errorf("discovery: server %q: %w", s.ID, err)
		}
		out.Members = append(out.Members, coordinator.Member{Name: s.ID, Addr: s.Addr, Entry: linkpass.Entry{
			Server: ServerID(s.ID), Zone: max(0, slices.Index(r.Zones, s.Zone)),
			Kind: max(0, slices.Index(r.Kinds, s.Kind)), Cell: s.Cell, State: state, Weight: s.Weight,
			Since: r.Clock(s.StartedMS)}})
	}
	return out, nil
}

// ServerID is the module's number for a server's name: the same at every start.
func ServerID(name string) linkpass.ServerID {
	h := fnv.New64a()
	h.Write([]byte(name))
	return linkpass.ServerID(h.Sum64())
}

// Core takes the news and keeps the deadlines.
type Core interface {
	List(coordinator.List)
	Now() time.Duration
	Arm(at time.Duration, fire func()) (disarm func())
}

// Watcher is the actor.
type Watcher struct {
	Addr     string
	Reader   *Reader
	Core     Core
	Counters *counters.Set

	version int64
}

// Run starts from the list last known and watches until the context ends.
func (w *Watcher) Run(ctx context.Context, known Document) {
	w.version = none
	if list, err := w.Reader.List(known); err != nil {
		w.bad(err)
	} else {
		list.Mode = linkpass.ListCached
		w.version = known.Version
		w.Core.List(list)
	}
	for ctx.Err() == nil {
		if err := w.watch(ctx); err != nil && ctx.Err() == nil {
			w.Counters.Add("discovery_failed", 1)
			log.Printf("event=discovery_failed addr=%s err=%q", w.Addr, err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// watch keeps calling on one connection until that ends.
func (w *Watcher) watch(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	disarm := w.Core.Arm(w.Core.Now()+dialLimit, cancel)
	nc, err := (&net.Dialer{}).DialContext(ctx, "tcp", w.Addr)
	disarm()
	if err != nil {
		return fmt.Errorf("connect: %w", err)
	}
	defer nc.Close()
	stop := context.AfterFunc(ctx, func() { _ = nc.Close() })
	defer stop()
	reader := http1.NewReader(nc, maxList)
	for {
		path := fmt.Sprintf("/registry/instances?after=%d&wait_ms=%d", w.version, watchWait.Milliseconds())
		if w.version < 0 {
			path = "/registry/instances"
		}
		disarm := w.Core.Arm(w.Core.Now()+watchWait+watchSlack, cancel)
		err := http1.WriteRequest(nc, "GET", path, w.Addr, nil, nil)
		var res *http1.Response
		if err == nil {
			res, err = reader.Response()
		}
		disarm()
		if err != nil {
			return fmt.Errorf("watch: %w", err)
		}
		if res.Status != 200 {
			return fmt.Errorf("watch: status %d", res.Status)
		}
		if err := w.take(res.Body); err != nil {
			w.bad(err)
			w.version = none // the whole list will set it right
			return err
		}
		if res.Close {
			return errors.New("watch: closed by discovery")
		}
	}
}

func (w *Watcher) bad(err error) {
	w.Counters.Add("discovery_bad", 1)
	log.Printf("event=list_bad err=%q", err)
}

func (w *Watcher) take(data []byte) error {
	d, err := Parse(data)
	if err != nil {
		return err
	}
	list, err := w.Reader.List(d)
	if err != nil {
		return err
	}
	w.Counters.Add("discovery_answers", 1)
	w.version = d.Version
	if d.Full || len(list.Members) > 0 {
		w.Core.List(list)
	}
	return nil
}
