// Package discovery follows the shared list of league servers: one actor that
// keeps a long watch and renews it at once.
package discovery

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"linkpass/internal/coordinator"
	"linkpass/internal/eventlog"
	"linkpass/internal/http1"
	"linkpass/internal/metrics"
	"linkpass/internal/routing"
)

const (
	// watchWait is short: a connection that fell silent looks like a list without changes until the wait
	// is over, and the next call renews the watch at no cost.
	watchWait = time.Second
	firstWait = 300 * time.Millisecond // for discovery's first word, before the list last known will do
	blindWait = 8 * time.Second        // the same where no server is known: the platform wants a start ready in 10 s
	maxList   = 1 << 20                // bytes of a list

	// none stands for no version held. Version 0 is a real one: asking for the
	// whole list in its place, which is answered at once, would go on for ever.
	none = -1
)

// EndpointList is a list in discovery's form.
type EndpointList struct {
	Version   int64      `json:"version"`
	Full      bool       `json:"full"`
	Endpoints []Endpoint `json:"servers"`
}

// Endpoint is one line of it.
type Endpoint struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"`
	Weight    float64 `json:"weight"`
	StartedMS int64   `json:"started_ms"`
}

var states = map[string]routing.EndpointState{
	"in_service": routing.Ready, "terminating": routing.Draining, "terminated": routing.Removed,
}

// Converter turns documents into lists.
type Converter struct {
	Zones, Kinds []string
	Cells        int
	Clock        func(unixMS int64) time.Duration
}

// Parse reads a document.
func Parse(data []byte) (EndpointList, error) {
	var d EndpointList
	if err := json.Unmarshal(data, &d); err != nil {
		return EndpointList{}, fmt.Errorf("discovery: %w", err)
	}
	return d, nil
}

// Convert turns a document into news; one that names a server that can't be
// understood is refused as a whole, as part of a list would mislead.
func (r *Converter) Convert(d EndpointList) (coordinator.EndpointUpdate, error) {
	out := coordinator.EndpointUpdate{Mode: routing.UpdateDelta}
	if d.Full {
		out.Mode = routing.UpdateFull
	}
	for _, s := range d.Endpoints {
		state, ok := states[s.State]
		if !ok || s.ID == "" || s.Cell < 0 || s.Cell >= r.Cells || math.IsNaN(s.Weight) || s.Weight < 0 {
			return coordinator.EndpointUpdate{}, fmt.Errorf("discovery: unusable server %q state %q cell %d", s.ID, s.State, s.Cell)
		}
		if _, err := net.ResolveTCPAddr("tcp", s.Addr); err != nil && state != routing.Removed {
			return coordinator.EndpointUpdate{}, fmt.Errorf("discovery: server %q: %w", s.ID, err)
		}
		out.Endpoints = append(out.Endpoints, coordinator.Endpoint{Name: s.ID, Addr: s.Addr, Endpoint: routing.Endpoint{
			Server: ServerID(s.ID), Zone: max(0, slices.Index(r.Zones, s.Zone)),
			Kind: max(0, slices.Index(r.Kinds, s.Kind)), Cell: s.Cell, State: state, Weight: s.Weight,
			StartedAt: r.Clock(s.StartedMS)}})
	}
	return out, nil
}

// ServerID is the module's number for a server's name: the same at every start.
func ServerID(name string) routing.ServerID {
	h := fnv.New64a()
	h.Write([]byte(name))
	return routing.ServerID(h.Sum64())
}

// Core takes the news and keeps the deadlines.
type Core interface {
	UpdateEndpoints(coordinator.EndpointUpdate)
	Now() time.Duration
	Arm(at time.Duration, fire func()) (disarm func())
}

// Watcher is the actor of the list: its mailbox takes the answers of the calls
// that it has begun, one at a time.
type Watcher struct {
	Addr      string
	Converter *Converter
	Core      Core
	Counters  *metrics.Counters
	Seed      uint64 // of the chance that keeps many watchers from asking in step
	Timeouts  Timeouts

	version int64
	answers int           // of discovery in a row
	rest    time.Duration // before the next try, about
	chance  *rand.Rand
	mailbox chan reply
	moves   chan string
	usable  func()
	first   chan struct{}
}

// NewWatcher makes the watcher of the list at an address.
func NewWatcher(addr string, reader *Converter, core Core, count *metrics.Counters) *Watcher {
	w := &Watcher{Addr: addr, Converter: reader, Core: core, Counters: count, Timeouts: SharedServiceTimeouts, mailbox: make(chan reply, 1),
		moves: make(chan string, 1), first: make(chan struct{})}
	w.usable = sync.OnceFunc(func() { close(w.first) })
	return w
}

// Ready is closed once there is a list to work with: what discovery has answered or, where
// it says nothing for a moment, the servers last known. Where none are known it is closed
// in time all the same: what comes then is refused, until discovery speaks.
func (w *Watcher) Ready() <-chan struct{} { return w.first }

// SetAddress goes on at another address. Of several moves in a row the last one holds.
// It must not be called from two goroutines at once.
func (w *Watcher) SetAddress(addr string) {
	select {
	case <-w.moves:
	default:
	}
	w.moves <- addr
}

// ask is one call: for news after a version, or for the whole list.
type ask struct {
	version     int64
	wait, slack time.Duration // how long discovery may hold it, and how late it may then be
}

// reply is how one call ended. Without a connection the next call makes its own.
type reply struct {
	line *line
	body []byte
	err  error
}

// line is a connection to discovery.
type line struct {
	net.Conn
	reader *http1.Reader
}

// Run starts from the list last known and watches until the context ends.
func (w *Watcher) Run(ctx context.Context, known EndpointList) {
	w.version = none
	wait := blindWait
	if list, err := w.Converter.Convert(known); err != nil {
		w.bad(err)
	} else {
		list.Mode = routing.UpdateCached
		w.version = known.Version
		w.Core.UpdateEndpoints(list)
		if len(list.Endpoints) > 0 {
			wait = firstWait
		}
	}
	defer w.Core.Arm(w.Core.Now()+wait, w.usable)()
	var held *line
	failing := false
	w.rest, w.chance = w.Timeouts.rest, rand.New(rand.NewPCG(w.Seed, 0))
	for {
		call, stop := context.WithCancel(ctx)
		c := ask{version: w.version, wait: watchWait, slack: w.Timeouts.goOn}
		if w.answers == 0 || c.version == none {
			c.wait = 0 // whether there is news is known at once, and with it that the list can be used
		}
		if w.answers < 2 {
			c.slack = w.Timeouts.begin
		}
		go func(l *line) { w.mailbox <- w.call(call, l, c) }(held)
		var r reply
		var next string
		select {
		case r = <-w.mailbox: // the call ends with the context
		case next = <-w.moves:
			stop()
			r = <-w.mailbox
		}
		stop()
		held = r.line
		if ctx.Err() != nil {
			break
		}
		if r.err == nil {
			r.err = w.take(r.body)
		}
		if next != "" {
			held = w.move(held, next)
			continue
		}
		if failing && r.err == nil {
			failing = false
			eventlog.DiscoveryRecovered.Log(w.Addr)
		}
		if r.err != nil {
			w.Counters.Add("discovery_failed", 1)
			w.answers = 0
			if !errors.As(r.err, new(turnedAway)) {
				w.version = none // what was told on a watch that broke may be lost: the whole list brings it
			}
			// Guards the log against one line for each of the tries while discovery is down.
			if !failing {
				eventlog.DiscoveryFailed.Log(w.Addr, r.err)
			}
			failing = true
			var rest time.Duration
			rest, w.rest = w.Timeouts.rested(w.rest, w.chance.Float64())
			select {
			case <-ctx.Done():
			case next := <-w.moves:
				held = w.move(held, next)
			case <-time.After(rest):
			}
		} else {
			w.answers, w.rest = w.answers+1, w.Timeouts.rest
		}
	}
	if held != nil {
		_ = held.Close()
	}
}

// move gives up the old address. The whole list is asked for at the new one: what
// the versions of the old one say need not hold there.
func (w *Watcher) move(held *line, addr string) *line {
	if held != nil {
		_ = held.Close()
	}
	eventlog.DiscoveryMoved.Log(w.Addr, addr)
	w.Counters.Add("discovery_moved", 1)
	w.Addr, w.version, w.answers, w.rest = addr, none, 0, w.Timeouts.rest
	return nil
}

// turnedAway is the status of an answer that is no list.
type turnedAway int

func (s turnedAway) Error() string { return fmt.Sprintf("status %d", int(s)) }

// call makes one call, on the connection held or on a new one. A connection that
// can't carry another call is closed and not handed back.
func (w *Watcher) call(ctx context.Context, l *line, c ask) reply {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if l == nil {
		disarm := w.Core.Arm(w.Core.Now()+w.Timeouts.dial, cancel)
		nc, err := (&net.Dialer{}).DialContext(ctx, "tcp", w.Addr)
		disarm()
		if err != nil {
			return reply{err: fmt.Errorf("connect: %w", err)}
		}
		l = &line{nc, http1.NewReader(nc, maxList)}
	}
	nc := l.Conn // l may be given up below while the function that closes it still runs
	stop := context.AfterFunc(ctx, func() { _ = nc.Close() })
	disarm := w.Core.Arm(w.Core.Now()+c.wait+c.slack, cancel)
	res, err := l.ask(w.Addr, c)
	disarm()
	if !stop() || err != nil || res.Status != 200 || res.Close {
		_ = l.Close()
		l = nil
	}
	if err == nil && res.Status != 200 {
		err = turnedAway(res.Status)
	}
	if err != nil {
		return reply{err: fmt.Errorf("watch: %w", err)}
	}
	return reply{line: l, body: res.Body}
}

func (l *line) ask(host string, c ask) (*http1.Response, error) {
	path := "/registry/instances"
	if c.version != none {
		path = fmt.Sprintf("%s?after=%d&wait_ms=%d", path, c.version, c.wait.Milliseconds())
	}
	if err := http1.WriteRequest(l, "GET", path, host, nil, nil); err != nil {
		return nil, err
	}
	return l.reader.Response()
}

func (w *Watcher) bad(err error) {
	w.Counters.Add("discovery_bad", 1)
	eventlog.EndpointListInvalid.Log(err)
}

func (w *Watcher) take(data []byte) error {
	d, err := Parse(data)
	var list coordinator.EndpointUpdate
	if err == nil {
		list, err = w.Converter.Convert(d)
	}
	if err == nil && !d.Full && d.Version < w.version {
		// Guards against changes that were told before: a server in them may have begun to drain since.
		err = fmt.Errorf("discovery: version %d after %d", d.Version, w.version)
	}
	if err != nil {
		w.bad(err)
		w.version = none // the whole list will set it right
		return err
	}
	w.Counters.Add("discovery_answers", 1)
	w.version = d.Version
	if d.Full || len(list.Endpoints) > 0 {
		w.Core.UpdateEndpoints(list)
	}
	w.usable()
	return nil
}
