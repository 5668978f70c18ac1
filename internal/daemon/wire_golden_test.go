package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"math"
	"net"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"linkpass/internal/adminapi"
	"linkpass/internal/config"
	"linkpass/internal/config/restriction"
	"linkpass/internal/config/rollback"
	"linkpass/internal/coordinator"
	"linkpass/internal/discovery"
	"linkpass/internal/endpoints"
	"linkpass/internal/goldentest"
	"linkpass/internal/http1"
	"linkpass/internal/metrics"
	"linkpass/internal/schema"
	"linkpass/internal/searchconfig"
	"linkpass/internal/shardmap"
	"linkpass/internal/store"
)

var (
	goldenReport = rollback.Report{ID: "b", Incarnation: 3, Nonce: 18446744073709551557, AtStart: rollback.Position{Term: 4, Index: 5}, Current: rollback.Position{Term: 6, Index: 7}}
	goldenOrders = []restriction.Request{{ID: restriction.ID{Origin: restriction.Origin{Instance: "b", Incarnation: 8}, Seq: 1}, Server: "s-1", Level: restriction.Draining, Force: true}}
)

// memberCall makes one call to another member, which answers with a status and a body, and returns the request's bytes. The
// Host header, whose port the system picks, is replaced.
func memberCall(t *testing.T, status int, body string, call func(ctx context.Context, addr string) error) (request []byte, err error) {
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
		if _, err := http1.NewReader(readRecorder{nc, &read}, 1<<20).Request(); err == nil {
			_ = http1.WriteResponse(nc, &http1.Response{Status: status, Body: []byte(body)})
		}
	}()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
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
		{"orders_request.http", func(ctx context.Context, addr string) error { return broadcastTo("b", addr)(ctx, goldenOrders) }},
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

// A member's 409 to a report means that it knows a later state of this instance's disk.
func TestPositionReportConflict(t *testing.T) {
	for status, restored := range map[int]bool{409: true, 400: false, 503: false} {
		_, err := memberCall(t, status, "an old disk\n", func(ctx context.Context, addr string) error {
			return reportPosition(ctx, store.Member{ID: "a", HTTP: addr}, goldenReport)
		})
		if err == nil || errors.Is(err, rollback.ErrRolledBack) != restored {
			t.Errorf("status %d: %v", status, err)
		}
	}
}

// openMember is an instance "a" of a store of one, whose members by the file are "a" alone: "b" is known once it has joined.
func openMember(t *testing.T, members ...store.Member) (*endpointRegistry, http1.Handler) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	st, err := store.Open(store.Config{ID: "a", Dir: t.TempDir(), TimeScale: 0.2, Listener: ln, InitialSettings: &searchconfig.Config{},
		Members: append([]store.Member{{ID: "a", Raft: ln.Addr().String(), HTTP: "127.0.0.1:1"}}, members...)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = st.Close() })
	r := &endpointRegistry{process: &process{counters: metrics.NewCounters()}, store: &replicatedStore{}}
	r.store.set(st)
	r.registry = endpoints.New(endpoints.Config{InstanceID: "a", Incarnation: 9, OnUpdate: func(coordinator.EndpointUpdate) {}, Counters: r.counters,
		ResolveEndpoint: func(id string, _ config.ServerSpec) (coordinator.Endpoint, error) {
			return coordinator.Endpoint{Name: id}, nil
		}})
	r.registry.Attach(st)
	front := http1.HandlerFunc(func(context.Context, time.Duration, *http1.Request) *http1.Response {
		return &http1.Response{Status: 299}
	})
	return r, &memberHandler{registry: r, front: front}
}

// The golden requests, as another member sent them, are decoded completely.
func TestMemberHandlerReadsGoldenRequests(t *testing.T) {
	r, h := openMember(t, store.Member{ID: "b", Raft: "127.0.0.1:1", HTTP: "127.0.0.1:1"})
	send := func(file string) *http1.Response {
		t.Helper()
		req, err := http1.NewReader(strings.NewReader(string(goldentest.Read(t, file))), 1<<20).Request()
		if err != nil {
			t.Fatal(err)
		}
		return h.Serve(context.Background(), 0, req)
	}
	if res := send("version_request.http"); res.Status != 200 || string(res.Body) != "0" {
		t.Errorf("version: %d %q", res.Status, res.Body)
	}
	if res := send("marks_request.http"); res.Status != 200 || len(res.Body) != 0 {
		t.Errorf("marks: %d %q", res.Status, res.Body)
	}
	if res := send("orders_request.http"); res.Status != 200 || len(res.Body) != 0 {
		t.Errorf("orders: %d %q", res.Status, res.Body)
	}
	if got := r.registry.PendingRestrictions(); !reflect.DeepEqual(got, goldenOrders) {
		t.Errorf("orders received: %+v, want %+v", got, goldenOrders)
	}
	// Of the report every field counts: a disk that begins before the reported state is an old one.
	for _, c := range []struct {
		name   string
		change func(*rollback.Report)
		status int
	}{
		{"the next start, as far as reported", func(r *rollback.Report) {
			r.Incarnation, r.Nonce, r.AtStart = 4, 1, rollback.Position{Term: 6, Index: 7}
		}, 200},
		{"a start on a disk with an earlier index", func(r *rollback.Report) {
			r.Incarnation, r.Nonce, r.AtStart = 5, 2, rollback.Position{Term: 6, Index: 6}
		}, 409},
	} {
		r := goldenReport
		c.change(&r)
		r.Current = r.AtStart
		body, err := json.Marshal(r)
		if err != nil {
			t.Fatal(err)
		}
		if res := h.Serve(context.Background(), 0, &http1.Request{Method: "POST", Path: "/_linkpass/marks", Body: body}); res.Status != c.status {
			t.Errorf("%s: %d %q", c.name, res.Status, res.Body)
		}
	}
	for _, c := range []struct {
		method, path, body string
		status             int
	}{
		{"GET", "/_linkpass/marks", "", 400}, {"POST", "/_linkpass/marks", "{}", 400}, {"POST", "/_linkpass/orders", "{}", 400},
		{"GET", "/_linkpass/orders", "[]", 400}, {"POST", "/_linkpass/version", "", 299}, {"GET", "/players/_search", "", 299},
	} {
		if res := h.Serve(context.Background(), 0, &http1.Request{Method: c.method, Path: c.path, Body: []byte(c.body)}); res.Status != c.status {
			t.Errorf("%s %s: status %d, want %d", c.method, c.path, res.Status, c.status)
		}
	}
}

// Every key of docs/settings.md is in the schema under its name, type, default, bounds and unit.
func TestSettingsSchemaGolden(t *testing.T) {
	var rows []map[string]any
	for _, k := range Keys {
		rows = append(rows, map[string]any{"name": k.Name, "type": string(k.Type), "default": k.Default, "min": k.Min, "max": k.Max,
			"one_of": k.OneOf, "unit": k.Unit, "live": k.Reloadable})
	}
	data, err := json.MarshalIndent(rows, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	goldentest.Bytes(t, "settings_schema.json", append(data, '\n'))
	page, err := os.ReadFile(filepath.Join("..", "..", "docs", "settings.md"))
	if err != nil {
		t.Fatal(err)
	}
	for _, k := range Keys {
		if !strings.Contains(string(page), "`"+k.Name+"`") {
			t.Errorf("docs/settings.md does not name %s", k.Name)
		}
	}
}

// The golden file sets every key of the operators' file, each to a value that is not its default, and each reaches its field.
func TestOperatorsFileFieldsGolden(t *testing.T) {
	c, err := LoadSearchConfig(filepath.Join("testdata", "wire", "all_settings.toml"))
	if err != nil {
		t.Fatal(err)
	}
	even, err := shardmap.NewEven(4, [][]string{{"s-1"}, {"s-2", "s-3"}}) // what the spread expands to
	if err != nil {
		t.Fatal(err)
	}
	no, spread := false, even.Document()
	slice := func(n shardmap.ShardID, first, last uint64, holder string) shardmap.Shard {
		return shardmap.Shard{ID: shardmap.FirstDynamicID + n, Range: shardmap.Range{First: first, Last: last}, Epoch: 1, Replicas: []string{holder}}
	}
	want := SearchConfig{Listen: "127.0.0.1:9200",
		Config: searchconfig.Config{Search: searchconfig.Defaults{Timeout: "1500ms", AllowPartial: &no, MaxResultWindow: 500},
			Indices: map[string]searchconfig.Index{"fixed": {Class: "team-lookup", Shards: []int{0, 1}},
				"spread": {Class: "team-lookup", ShardMap: &spread},
				"movable": {Class: "league-table", ShardMap: &shardmap.Document{Version: 2, NextShard: shardmap.FirstDynamicID + 2, NextPlan: 3,
					Shards: []shardmap.Shard{slice(0, 0, 1<<63-1, "s-1"), slice(1, 1<<63, math.MaxUint64, "s-2")}}}},
			Servers: map[string]searchconfig.Server{"s-1": {Protocol: "search"}}},
		Store: store.Config{ID: "a", Dir: "/var/lib/linkpass/store", Join: true, TimeScale: 0.5, Members: []store.Member{
			{ID: "a", Raft: "127.0.0.1:9300", HTTP: "127.0.0.1:9200"}, {ID: "b", Raft: "127.0.0.1:9301", HTTP: "127.0.0.1:9201"}}},
		Reshape: ReshardingConfig{Moves: 5, PerServer: 2, Poll: "2s", RetireAfter: "3s", Patience: "4m", Replan: &no},
		Bodies: BodyConfig{MemoryKiB: 4096, LargestKiB: 512, FilesKiB: 8192, Dir: "/var/lib/linkpass/bodies", MaxKiB: 128, Off: true,
			Classes: map[string]BodyClassConfig{"team-lookup": {FloorKiB: 64, Share: 0.25}}},
		Operator: AdminConfig{Socket: "/run/linkpass.sock", Listen: "127.0.0.1:9400", Keys: "/etc/linkpass/keys.toml", Window: "20s"},
		Log:      LogConfig{Format: "json", Level: "warn", Levels: map[string]string{"store": "debug"}}}
	for _, f := range []struct {
		name      string
		got, want any
	}{
		{"listen", c.Listen, want.Listen}, {"search", c.Config.Search, want.Config.Search}, {"indices", c.Indices, want.Indices},
		{"servers", c.Servers, want.Servers}, {"store", c.Store, want.Store}, {"reshape", c.Reshape, want.Reshape},
		{"bodies", c.Bodies, want.Bodies}, {"operator", c.Operator, want.Operator}, {"log", c.Log, want.Log},
	} {
		if !reflect.DeepEqual(f.got, f.want) {
			t.Errorf("%s: got %+v, want %+v", f.name, f.got, f.want)
		}
	}
	// The schema's keys are those that the file sets, with a * for each name of the operators' own.
	var set []string
	for _, v := range c.values {
		for _, k := range Keys {
			pattern := "^" + strings.ReplaceAll(regexp.QuoteMeta(k.Name), `\*`, `[^.]+`)
			if k.Type != schema.Opaque {
				pattern += "$"
			}
			if regexp.MustCompile(pattern).MatchString(v.Name) {
				set = append(set, k.Name)
			}
		}
	}
	for _, k := range Keys {
		if !slices.Contains(set, k.Name) {
			t.Errorf("the golden file does not set %s", k.Name)
		}
	}
}

// The keys as `linkpass config show` and GET /v1/config give them, of the golden file: their names, values and sources.
func TestSettingsShownGolden(t *testing.T) {
	c, err := LoadSearchConfig(filepath.Join("testdata", "wire", "all_settings.toml"))
	if err != nil {
		t.Fatal(err)
	}
	for file, search := range map[string]SearchConfig{"settings_shown.json": c, "settings_shown_default.json": {}} {
		b := &adminBackend{process: &process{cfg: Config{name: "n1", listen: "127.0.0.1:8080", discovery: "127.0.0.1:8081", memoryMB: 256,
			sockets: 1024, Search: search}}}
		shown := b.Settings()
		if c := b.cfg.Search; c.path != "" {
			// A bool that is true by default and false in the file is shown as its default, which is a fault: no golden form.
			shown = slices.DeleteFunc(shown, func(s adminapi.Setting) bool {
				return s.Key == "reshape.replan" || s.Key == "search.default_allow_partial_results"
			})
		}
		data, err := json.MarshalIndent(shown, "", " ")
		if err != nil {
			t.Fatal(err)
		}
		goldentest.Bytes(t, file, append(data, '\n'))
	}
}

// The platform's configuration document, with every field that the program reads.
func TestPlatformDocumentGolden(t *testing.T) {
	want := document{Name: "n1", Listen: "127.0.0.1:8080", Discovery: "127.0.0.1:8081", Operator: "127.0.0.1:8082", Seed: "1f",
		Known: discovery.Document{Version: 3, Full: true, Servers: []discovery.Server{{ID: "s-1", Addr: "127.0.0.1:7001", Zone: "z1", Kind: "large",
			Cell: 2, State: "in_service", Weight: 0.5, StartedMS: 1764652800123}}}, Settings: json.RawMessage(`{"tick":1}`)}
	want.Limits.Cores, want.Limits.MemoryMB, want.Limits.Sockets = 1.5, 256, 1024
	goldentest.JSON(t, "platform.json", want)
}
