package daemon

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net"
	"reflect"
	"strings"
	"testing"
	"time"

	"linkpass/internal/config"
	"linkpass/internal/config/restriction"
	"linkpass/internal/config/rollback"
	"linkpass/internal/coordinator"
	"linkpass/internal/endpoints"
	"linkpass/internal/goldentest"
	"linkpass/internal/http1"
	"linkpass/internal/metrics"
	"linkpass/internal/searchconfig"
	"linkpass/internal/store"
)

// A position report and a restriction request of member "b".
var (
	goldenReport = rollback.Report{
		ID:          "b",
		Incarnation: 3,
		Nonce:       18446744073709551557,
		AtStart:     rollback.Position{Term: 4, Index: 5},
		Current:     rollback.Position{Term: 6, Index: 7},
	}
	goldenRequests = []restriction.Request{{
		ID:     restriction.ID{Origin: restriction.Origin{Instance: "b", Incarnation: 8}, Seq: 1},
		Server: "s-1",
		Level:  restriction.Draining,
		Force:  true,
	}}
)

const (
	memberCallTimeout = 10 * time.Second // ends a test that hangs; no assertion depends on it
	maxRequestBytes   = 1 << 20
)

// memberCall makes one call to another member, whose response has a status and a body, and returns the bytes of the
// request. The address, whose port the system picks, is replaced by PEER.
func memberCall(
	t *testing.T, status int, body string, call func(ctx context.Context, addr string) error,
) (request []byte, err error) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	got := make(chan []byte, 1)
	go func() {
		var read []byte
		defer func() { got <- read }()
		nc, err := ln.Accept()
		if err != nil {
			return
		}
		defer nc.Close()
		if _, err := http1.NewReader(readRecorder{nc, &read}, maxRequestBytes).Request(); err == nil {
			_ = http1.WriteResponse(nc, &http1.Response{Status: status, Body: []byte(body)})
		}
	}()
	ctx, cancel := context.WithTimeout(context.Background(), memberCallTimeout)
	defer cancel()
	err = call(ctx, ln.Addr().String())
	return []byte(strings.ReplaceAll(string(<-got), ln.Addr().String(), "PEER")), err
}

// readRecorder records what is read.
type readRecorder struct {
	net.Conn
	read *[]byte
}

func (r readRecorder) Read(p []byte) (int, error) {
	n, err := r.Conn.Read(p)
	*r.read = append(*r.read, p[:n]...)
	return n, err
}

func TestMemberRequestsGolden(t *testing.T) {
	for _, c := range []struct {
		file string
		call func(ctx context.Context, addr string) error
	}{
		{"orders_request.http", func(ctx context.Context, addr string) error {
			return broadcastTo("b", addr)(ctx, goldenRequests)
		}},
		{"marks_request.http", func(ctx context.Context, addr string) error {
			return reportPosition(ctx, store.Member{ID: "a", HTTP: addr}, goldenReport)
		}},
		{"version_request.http", func(ctx context.Context, addr string) error {
			_, err := callMember(ctx, addr, "GET", versionPath, nil)
			return err
		}},
	} {
		t.Run(c.file, func(t *testing.T) {
			request, err := memberCall(t, 200, "", c.call)
			if err != nil {
				t.Error(err)
			}
			goldentest.Bytes(t, c.file, request)
		})
	}
}

// A member's status 409 to a report means that it has seen a later position of this instance's disk.
func TestPositionReportConflict(t *testing.T) {
	for status, rolledBack := range map[int]bool{409: true, 400: false, 503: false} {
		_, err := memberCall(t, status, "an old disk\n", func(ctx context.Context, addr string) error {
			return reportPosition(ctx, store.Member{ID: "a", HTTP: addr}, goldenReport)
		})
		if err == nil || errors.Is(err, rollback.ErrRolledBack) != rolledBack {
			t.Errorf("status %d: error %v, want rollback.ErrRolledBack: %v", status, err, rolledBack)
		}
	}
}

// storeTimeScale shortens Raft's timeouts; no assertion depends on them.
const storeTimeScale = 0.2

// openMember opens a store of instance "a", whose configured members are "a" and those given. It returns the registry
// and the handler of members' calls.
func openMember(t *testing.T, members ...store.Member) (*endpointRegistry, http1.Handler) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	self := store.Member{ID: "a", Raft: ln.Addr().String(), HTTP: "127.0.0.1:1"}
	st, err := store.Open(store.Config{
		ID:              self.ID,
		Dir:             t.TempDir(),
		TimeScale:       storeTimeScale,
		Listener:        ln,
		InitialSettings: &searchconfig.Config{},
		Members:         append([]store.Member{self}, members...),
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = st.Close() })
	registry := &endpointRegistry{process: &process{counters: metrics.NewCounters()}, store: &replicatedStore{}}
	registry.store.set(st)
	registry.registry = endpoints.New(endpoints.Config{
		InstanceID:  self.ID,
		Incarnation: 9,
		OnUpdate:    func(coordinator.EndpointUpdate) {},
		Counters:    registry.counters,
		ResolveEndpoint: func(id string, _ config.ServerSpec) (coordinator.Endpoint, error) {
			return coordinator.Endpoint{Name: id}, nil
		},
	})
	registry.registry.Attach(st)
	front := http1.HandlerFunc(func(context.Context, time.Duration, *http1.Request) *http1.Response {
		return &http1.Response{Status: frontStatus}
	})
	return registry, &memberHandler{registry: registry, front: front}
}

// frontStatus is the status of the search front's responses, which no handler of members' calls uses.
const frontStatus = 299

// openTwoMembers opens a store whose members are "a", which is opened, and "b", which does not run.
func openTwoMembers(t *testing.T) (*endpointRegistry, http1.Handler) {
	t.Helper()
	return openMember(t, store.Member{ID: "b", Raft: "127.0.0.1:1", HTTP: "127.0.0.1:1"})
}

// serveMember passes a request without a deadline to a handler.
func serveMember(h http1.Handler, method, path, body string) *http1.Response {
	return h.Serve(context.Background(), 0, &http1.Request{Method: method, Path: path, Body: []byte(body)})
}

// The golden requests, as another member sends them, are decoded completely.
func TestMemberHandlerReadsGoldenRequests(t *testing.T) {
	registry, handler := openTwoMembers(t)
	for _, c := range []struct{ file, name, body string }{
		{"version_request.http", "version", "0"},
		{"marks_request.http", "marks", ""},
		{"orders_request.http", "orders", ""},
	} {
		reader := http1.NewReader(bytes.NewReader(goldentest.Read(t, c.file)), maxRequestBytes)
		req, err := reader.Request()
		if err != nil {
			t.Fatal(err)
		}
		if res := handler.Serve(context.Background(), 0, req); res.Status != 200 || string(res.Body) != c.body {
			t.Errorf("%s: status = %d, body %q; want 200, %q", c.name, res.Status, res.Body, c.body)
		}
	}
	if got := registry.registry.PendingRestrictions(); !reflect.DeepEqual(got, goldenRequests) {
		t.Errorf("restrictions received: %+v, want %+v", got, goldenRequests)
	}
	requireRollbackDetected(t, handler)
}

// requireRollbackDetected requires that the member remembers every field of the golden report that it has received: a
// report of a later start on a disk with an earlier position is rejected.
func requireRollbackDetected(t *testing.T, handler http1.Handler) {
	t.Helper()
	for _, c := range []struct {
		name        string
		incarnation uint64
		nonce       uint64
		atStart     rollback.Position
		status      int
	}{
		{"the next start, at the reported position", 4, 1, rollback.Position{Term: 6, Index: 7}, 200},
		{"a start at an earlier index", 5, 2, rollback.Position{Term: 6, Index: 6}, 409},
	} {
		report := goldenReport
		report.Incarnation, report.Nonce = c.incarnation, c.nonce
		report.AtStart, report.Current = c.atStart, c.atStart
		body, err := json.Marshal(report)
		if err != nil {
			t.Fatal(err)
		}
		res := serveMember(handler, "POST", "/_linkpass/marks", string(body))
		if res.Status != c.status {
			t.Errorf("%s: status = %d, body %q; want %d", c.name, res.Status, res.Body, c.status)
		}
	}
}

// Invalid calls of members are rejected. Requests that are no calls of members go to the search front.
func TestMemberHandlerStatusByRequest(t *testing.T) {
	_, handler := openTwoMembers(t)
	for _, c := range []struct {
		method, path, body string
		status             int
	}{
		{"GET", "/_linkpass/marks", "", 400},
		{"POST", "/_linkpass/marks", "{}", 400},
		{"POST", "/_linkpass/orders", "{}", 400},
		{"GET", "/_linkpass/orders", "[]", 400},
		{"POST", "/_linkpass/version", "", frontStatus},
		{"GET", "/players/_search", "", frontStatus},
	} {
		if res := serveMember(handler, c.method, c.path, c.body); res.Status != c.status {
			t.Errorf("%s %s: status %d, want %d", c.method, c.path, res.Status, c.status)
		}
	}
}
