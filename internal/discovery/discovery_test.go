package discovery

import (
	"bytes"
	"context"
	"fmt"
	"linkpass/internal/eventlog"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "linkpass/internal/testrand"

	"linkpass/internal/coordinator"
	"linkpass/internal/http1"
	"linkpass/internal/metrics"
	"linkpass/internal/routing"
)

type fakeCore struct {
	lists chan coordinator.EndpointUpdate
	armed chan limit // nil: deadlines never fall due
}

type limit struct {
	at   time.Duration
	fire func()
}

func (f *fakeCore) UpdateEndpoints(l coordinator.EndpointUpdate) { f.lists <- l }
func (*fakeCore) Now() time.Duration                             { return 0 }
func (f *fakeCore) Arm(at time.Duration, fire func()) (disarm func()) {
	if f.armed != nil {
		f.armed <- limit{at, fire}
	}
	return func() {}
}

func reader() *Converter {
	return &Converter{Zones: []string{"ebene", "port-louis"}, Kinds: []string{"m2"}, Cells: 6,
		Clock: func(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }}
}

// agent answers each call with the next document and hands on its path.
func agent(t *testing.T, paths chan<- string, answers <-chan string) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer nc.Close()
				r := http1.NewReader(nc, 0)
				for {
					req, err := r.Request()
					if err != nil {
						return
					}
					paths <- req.Path + "?" + req.Query
					body, ok := <-answers
					status, err := strconv.Atoi(body)
					if err != nil {
						status = 200
					}
					if !ok || http1.WriteResponse(nc, &http1.Response{Status: status, Body: []byte(body)}) != nil {
						return
					}
				}
			}()
		}
	}()
	return ln.Addr().String()
}

const server = `{"id":"s-1","addr":"127.0.0.1:9","zone":"port-louis","kind":"m2","cell":3,"state":"in_service","weight":1.5,"started_ms":7}`

// A list at version 0 is held like any other: asked for as a whole it came at
// once, again and again, and took most of a core.
func TestWatchContinuesFromVersionZero(t *testing.T) {
	paths, answers := make(chan string), make(chan string)
	defer close(answers)
	core := &fakeCore{lists: make(chan coordinator.EndpointUpdate, 4)}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	w := NewWatcher(agent(t, paths, answers), reader(), core, metrics.NewCounters())
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.Run(ctx, EndpointList{Version: 0, Full: true, Endpoints: []Endpoint{{ID: "s-1", Addr: "127.0.0.1:9", State: "in_service"}}})
	}()
	if l := <-core.lists; l.Mode != routing.UpdateCached || len(l.Endpoints) != 1 {
		t.Fatalf("known list came as %+v", l)
	}
	next := func(want string) {
		t.Helper()
		if got := <-paths; !strings.HasPrefix(got, want) {
			t.Fatalf("asked %q, want %q", got, want)
		}
	}
	next("/registry/instances?after=0&wait_ms=")
	answers <- `{"version":0,"full":false,"servers":[]}`
	next("/registry/instances?after=0&wait_ms=")
	answers <- `{"version":2,"full":false,"servers":[` + server + `]}`
	l := <-core.lists
	if m := l.Endpoints[0]; l.Mode != routing.UpdateDelta || m.Zone != 1 || m.Cell != 3 || m.StartedAt != 7*time.Millisecond {
		t.Errorf("change came as %+v", l)
	}
	next("/registry/instances?after=2&wait_ms=")
	answers <- `{"version":3,"full":false,"servers":[{"id":"s-2","state":"asleep"}]}`
	next("/registry/instances?") // a list that can't be used is asked for anew, and whole
	if w.Counters.Get("discovery_bad") != 1 || len(core.lists) != 0 {
		t.Errorf("bad list: counters %s, %d lists", w.Counters, len(core.lists))
	}
	cancel()
	<-done
}

func TestListsFromAnything(t *testing.T) {
	valid := `{"version":41,"full":true,"servers":[` + server + `]}`
	rapid.Check(t, func(t *rapid.T) {
		data := rapid.SliceOf(rapid.Byte()).Draw(t, "garbage")
		if rapid.Bool().Draw(t, "cut") {
			data = []byte(valid[:rapid.IntRange(0, len(valid)-1).Draw(t, "at")])
			if _, err := Parse(data); err == nil {
				t.Fatalf("took the cut list %q", data)
			}
		}
		if d, err := Parse(data); err == nil {
			_, _ = reader().Convert(d)
		}
	})
}

// While discovery is down every try counts, but only the first is logged.
func TestDiscoveryThatIsDownIsLoggedOnce(t *testing.T) {
	var lines bytes.Buffer
	eventlog.SetOutput(&lines, false)
	defer eventlog.SetOutput(os.Stderr, false)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	tries := make(chan struct{})
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			nc.Close()
			tries <- struct{}{}
		}
	}()
	w := NewWatcher(ln.Addr().String(), reader(), &fakeCore{lists: make(chan coordinator.EndpointUpdate, 1)}, metrics.NewCounters())
	done := make(chan struct{})
	go func() { defer close(done); w.Run(ctx, EndpointList{}) }()
	for range 4 {
		<-tries
	}
	cancel()
	ln.Close()
	<-done
	if n := strings.Count(lines.String(), "event=discovery_failed"); n != 1 || w.Counters.Get("discovery_failed") < 2 {
		t.Errorf("%d lines, counters %s", n, w.Counters)
	}
}

// The list's address may change while a watch is held open at the old one: the whole
// list is asked for at the new one at once, not when the old watch ends.
func TestMove(t *testing.T) {
	paths, answers := make(chan string), make(chan string)
	defer close(answers)
	newPaths, newAnswers := make(chan string), make(chan string)
	defer close(newAnswers)
	core := &fakeCore{lists: make(chan coordinator.EndpointUpdate, 4)}
	ctx, cancel := context.WithCancel(t.Context())
	w := NewWatcher(agent(t, paths, answers), reader(), core, metrics.NewCounters())
	done := make(chan struct{})
	go func() { defer close(done); w.Run(ctx, EndpointList{Version: 9, Full: true}) }()
	<-core.lists
	<-paths // the watch at the old address is never answered
	w.SetAddress("127.0.0.1:1")
	w.SetAddress(agent(t, newPaths, newAnswers))
	if got := <-newPaths; got != "/registry/instances?" {
		t.Errorf("asked %q of the new address", got)
	}
	newAnswers <- `{"version":3,"full":true,"servers":[` + server + `]}`
	if l := <-core.lists; l.Mode != routing.UpdateFull || len(l.Endpoints) != 1 {
		t.Errorf("%+v", l)
	}
	if got := <-newPaths; !strings.HasPrefix(got, "/registry/instances?after=3&") {
		t.Errorf("went on with %q", got)
	}
	cancel()
	<-done
}

// A watch whose connection fell silent looks like a list without changes. It is given up
// within two seconds, and the whole list is asked for on a new connection.
func TestSilentWatchIsGivenUp(t *testing.T) {
	paths, answers := make(chan string), make(chan string)
	defer close(answers)
	core := &fakeCore{lists: make(chan coordinator.EndpointUpdate, 4), armed: make(chan limit, 8)}
	ctx, cancel := context.WithCancel(t.Context())
	w := NewWatcher(agent(t, paths, answers), reader(), core, metrics.NewCounters())
	done := make(chan struct{})
	go func() { defer close(done); w.Run(ctx, EndpointList{Version: 9, Full: true}) }()
	<-core.lists
	<-core.armed                          // of a start that knows no server
	<-core.armed                          // of the dial
	for _, wait := range []int{0, 1000} { // a watch that begins may stand in a queue
		if first := <-core.armed; first.at < time.Duration(wait)*time.Millisecond+SharedServiceTimeouts.begin {
			t.Errorf("a first call is given up after %v", first.at)
		}
		if got := <-paths; got != fmt.Sprint("/registry/instances?after=9&wait_ms=", wait) {
			t.Errorf("asked %q", got)
		}
		answers <- `{"version":9,"full":false,"servers":[]}`
	}
	watch := <-core.armed
	if got := <-paths; !strings.HasPrefix(got, "/registry/instances?after=9&") || watch.at > 2*time.Second {
		t.Fatalf("asked %q, given up after %v", got, watch.at)
	}
	watch.fire()
	if got := <-paths; got != "/registry/instances?" {
		t.Errorf("then asked %q", got)
	}
	cancel()
	<-done
}

// Many coordinators that discovery turns away must not keep it down: each asks ever more
// seldom and none in step with another, and goes on from the version that it holds.
func TestThoseTurnedAwayBackOff(t *testing.T) {
	var rests [2][]time.Duration
	for i := range rests {
		chance := rand.New(rand.NewPCG(uint64(i), 0))
		var rest time.Duration
		for next, want := SharedServiceTimeouts.rest, SharedServiceTimeouts.rest; len(rests[i]) < 9; want = min(2*want, SharedServiceTimeouts.most) {
			rest, next = SharedServiceTimeouts.rested(next, chance.Float64())
			if rest < want/2 || rest > want+want/2 {
				t.Errorf("rests %v, want about %v", rest, want)
			}
			rests[i] = append(rests[i], rest)
		}
	}
	if slices.Equal(rests[0], rests[1]) {
		t.Error("two watchers ask in step")
	}
	paths, answers := make(chan string), make(chan string)
	defer close(answers)
	ctx, cancel := context.WithCancel(t.Context())
	core := &fakeCore{lists: make(chan coordinator.EndpointUpdate, 4)}
	w := NewWatcher(agent(t, paths, answers), reader(), core, metrics.NewCounters())
	done := make(chan struct{})
	go func() { defer close(done); w.Run(ctx, EndpointList{Version: 9, Full: true}) }()
	for _, answer := range []string{"503", `{"version":9,"full":false,"servers":[]}`} {
		if got := <-paths; got != "/registry/instances?after=9&wait_ms=0" {
			t.Errorf("asked %q", got)
		}
		answers <- answer
	}
	<-w.Ready()
	cancel()
	<-done
}

// Crossing: a change that was told is overtaken by an older one. The older one is dropped, and the whole
// list, indented here, sets it right.
func TestAVersionThatGoesBack(t *testing.T) {
	paths, answers := make(chan string), make(chan string)
	defer close(answers)
	ctx, cancel := context.WithCancel(t.Context())
	core := &fakeCore{lists: make(chan coordinator.EndpointUpdate, 4)}
	w := NewWatcher(agent(t, paths, answers), reader(), core, metrics.NewCounters())
	done := make(chan struct{})
	go func() { defer close(done); w.Run(ctx, EndpointList{Version: 9, Full: true}) }()
	<-core.lists
	<-paths
	answers <- `{"version":8,"full":false,"servers":[` + server + `]}`
	if got := <-paths; got != "/registry/instances?" || len(core.lists) != 0 {
		t.Errorf("asked %q after a version that went back, %d lists taken", got, len(core.lists))
	}
	answers <- "{\r\n  \"version\": 4,\n\t\"full\": true,\n  \"servers\": [\n    " + strings.ReplaceAll(server, ",", ",\n      ") + "\n  ]\n}\n"
	if l := <-core.lists; l.Mode != routing.UpdateFull || len(l.Endpoints) != 1 {
		t.Errorf("%+v", l)
	}
	if got := <-paths; !strings.HasPrefix(got, "/registry/instances?after=4&") {
		t.Errorf("went on with %q", got)
	}
	cancel()
	<-done
}

// A start that knows no server, or whose list is of no use, is ready in time though discovery says nothing.
func TestReadyWithoutAnyList(t *testing.T) {
	for _, known := range []EndpointList{{}, {Endpoints: []Endpoint{{ID: "s-1", State: "asleep"}}}} {
		paths, answers := make(chan string, 1), make(chan string)
		core := &fakeCore{lists: make(chan coordinator.EndpointUpdate, 4), armed: make(chan limit, 8)}
		ctx, cancel := context.WithCancel(t.Context())
		w := NewWatcher(agent(t, paths, answers), reader(), core, metrics.NewCounters())
		done := make(chan struct{})
		go func() { defer close(done); w.Run(ctx, known) }()
		limit := <-core.armed
		if limit.at > 9*time.Second {
			t.Errorf("ready after %v", limit.at)
		}
		limit.fire()
		<-w.Ready()
		cancel()
		close(answers)
		<-done
	}
}

// Crossing: a watch is reset, and what changes then is told to nobody. The whole list is asked for at once, on a
// connection that the next call makes; the same where discovery was not there, and is moved meanwhile.
func TestAWatchThatIsReset(t *testing.T) {
	paths, answers := make(chan string), make(chan string)
	defer close(answers)
	watched := make(chan struct{})
	broken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		nc, err := broken.Accept()
		if err != nil {
			return
		}
		_, _ = http1.NewReader(nc, 0).Request()
		_ = nc.(*net.TCPConn).SetLinger(0)
		_ = nc.Close()
		_ = broken.Close()
		close(watched)
	}()
	ctx, cancel := context.WithCancel(t.Context())
	core := &fakeCore{lists: make(chan coordinator.EndpointUpdate, 4)}
	w := NewWatcher(broken.Addr().String(), reader(), core, metrics.NewCounters())
	w.Timeouts = LocalAgentTimeouts(time.Second)
	done := make(chan struct{})
	go func() { defer close(done); w.Run(ctx, EndpointList{Version: 9, Full: true}) }()
	<-watched
	for w.Counters.Get("discovery_failed") < 3 { // reset, then refused
		time.Sleep(time.Millisecond)
	}
	w.SetAddress(agent(t, paths, answers))
	if got := <-paths; got != "/registry/instances?" {
		t.Errorf("asked %q", got)
	}
	answers <- `{"version":12,"full":true,"servers":[` + server + `]}`
	<-core.lists // the list last known
	if l := <-core.lists; l.Mode != routing.UpdateFull || len(l.Endpoints) != 1 {
		t.Errorf("heard %+v", l)
	}
	cancel()
	<-done
}
