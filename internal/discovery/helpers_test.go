package discovery

import (
	"context"
	"net"
	"strconv"
	"testing"
	"time"

	"linkpass/internal/coordinator"
	"linkpass/internal/http1"
	"linkpass/internal/metrics"
)

// testEndpointJSON is the JSON of one endpoint of a list.
const testEndpointJSON = `{"id":"s-1","addr":"127.0.0.1:9","zone":"port-louis","kind":"m2","cell":3,"state":"in_service","weight":1.5,"started_ms":7}`

// cachedAtVersion9 is a complete cached list without endpoints, at version 9.
var cachedAtVersion9 = EndpointList{Version: 9, Full: true}

// fakeCore sends the updates and the deadlines that it receives to channels. Its clock is always 0.
type fakeCore struct {
	updates chan coordinator.EndpointUpdate
	armed   chan armedDeadline // nil: deadlines are dropped and never fire
}

type armedDeadline struct {
	at   time.Duration
	fire func()
}

func newFakeCore() *fakeCore {
	return &fakeCore{updates: make(chan coordinator.EndpointUpdate, 4)}
}

func newFakeCoreWithDeadlines() *fakeCore {
	core := newFakeCore()
	core.armed = make(chan armedDeadline, 8)
	return core
}

func (f *fakeCore) UpdateEndpoints(u coordinator.EndpointUpdate) { f.updates <- u }
func (*fakeCore) Now() time.Duration                             { return 0 }
func (f *fakeCore) Arm(at time.Duration, fire func()) (disarm func()) {
	if f.armed != nil {
		f.armed <- armedDeadline{at, fire}
	}
	return func() {}
}

func newTestConverter() *Converter {
	return &Converter{
		Zones:      []string{"ebene", "port-louis"},
		Kinds:      []string{"m2"},
		Cells:      6,
		ToCoreTime: func(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond },
	}
}

func newTestWatcher(addr string, core Core) *Watcher {
	return NewWatcher(addr, newTestConverter(), core, metrics.NewCounters())
}

// runWatcher runs a watcher until stop is called; stop waits until Run has returned.
func runWatcher(t *testing.T, w *Watcher, cached EndpointList) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); w.Run(ctx, cached) }()
	return func() { cancel(); <-done }
}

// startTestAgent starts a discovery agent. It sends each request's target to targets and responds with the next value
// of answers: a body, or the number of a status. A connection ends once answers is closed or the test ends.
func startTestAgent(t *testing.T, targets chan<- string, answers <-chan string) (addr string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go serveAgentConn(t.Context(), conn, targets, answers)
		}
	}()
	return ln.Addr().String()
}

// serveAgentConn serves a connection until answers is closed or the test ends.
func serveAgentConn(ctx context.Context, conn net.Conn, targets chan<- string, answers <-chan string) {
	defer conn.Close()
	reader := http1.NewReader(conn, 0)
	for {
		request, err := reader.Request()
		if err != nil {
			return
		}
		select {
		case targets <- request.Path + "?" + request.Query:
		case <-ctx.Done(): // the test does not receive the targets of calls after its last one
			return
		}
		body, ok := <-answers
		status, err := strconv.Atoi(body)
		if err != nil {
			status = 200
		}
		if !ok || http1.WriteResponse(conn, &http1.Response{Status: status, Body: []byte(body)}) != nil {
			return
		}
	}
}
