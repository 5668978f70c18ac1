package adminapi

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"linkpass/internal/adminapi/signature"
	"linkpass/internal/config"
	"linkpass/internal/config/restriction"
	"linkpass/internal/endpoints"
	"linkpass/internal/goldentest"
	"linkpass/internal/http1"
	"linkpass/internal/metrics"
	"linkpass/internal/searchconfig"
	"linkpass/internal/shardmap"
	"linkpass/internal/store"
)

// The values of the API with every field set, each of its own value.
var (
	goldenStatus = Status{Name: "n1", Program: "v1.2.3", PID: 4711, State: "serving", UptimeS: 12.5, Core: "ok", InFlight: 3,
		Attempts: 4, ServersKnown: 80, ServersExcluded: 2, Classes: []ClassStatus{{Name: "team-lookup", Served: 100, Rejected: 5, Failed: 6}},
		Bodies:    &BodyStatus{Stored: 11, Shared: 12, Arriving: 13, Waiting: 14, Memory: 15, Files: 16, Disk: 17},
		ShardMaps: []ShardMapSummary{{Index: "players", Version: 21, Shards: 22, Plans: 23}},
		Store: &StoreStatus{ID: "a", Leader: "b", Revision: 31,
			Members: []StoreMember{{ID: "b", Raft: "127.0.0.1:9300", HTTP: "127.0.0.1:9200", Leader: true}}},
		Fronts: []string{"127.0.0.1:8080"}, AdminListen: "127.0.0.1:8090", ResidentKB: 41}
	goldenServers = []Server{{Name: "s-1", State: "draining", Excluded: "slow", InFlight: 2, MedianMS: 1.25,
		Health: map[string]float64{"league-table": 0.5, "team-lookup": 1}, WarmingUp: true, ConsecutiveProbeLosses: 3}}
	goldenShard     = shardmap.Shard{ID: shardmap.FirstDynamicID, Range: shardmap.Range{First: 1, Last: 0xff}, Epoch: 51, Replicas: []string{"s-1", "s-2"}}
	goldenShardMaps = []IndexShardMap{{Index: "players", Version: 52, Total: 53, Shards: []shardmap.Shard{goldenShard},
		Plans: []shardmap.Plan{{ID: 54, Kind: shardmap.Split, Step: shardmap.Abandoned, From: []shardmap.Shard{goldenShard},
			To:      []shardmap.Shard{{ID: shardmap.FirstDynamicID + 1, Range: shardmap.Range{First: 2, Last: 0x7f}, Epoch: 55, Replicas: []string{"s-3"}}},
			Version: 56, Reason: "ordered"}}}}
	goldenRestriction     = restriction.Request{ID: restriction.ID{Origin: restriction.Origin{Instance: "a", Incarnation: 61}, Seq: 62}, Server: "s-1", Level: restriction.Draining, Force: true}
	goldenSpec            = config.ServerSpec{Addr: "127.0.0.1:7001", Zone: "z1", Kind: "large", Cell: 2}
	goldenReplicatedState = ReplicatedState{Version: 71, Hash: "c0ffee",
		Servers: map[string]config.Server{"s-1": {Version: 72, Spec: &goldenSpec, Weight: 0.75, Restriction: restriction.Draining}},
		Removed: []string{"s-9"}, Pending: []restriction.Request{goldenRestriction},
		Rejected: []config.RejectedRestriction{{Request: goldenRestriction, Reason: config.NoReplicaLeft, Version: 73}}}
	goldenServerRequest  = ServerRequest{Server: "s-1", Action: "add", Force: true, Weight: 0.75, Spec: &goldenSpec, ExpectedVersion: 81, ClientID: "cli-1", Seq: 82}
	goldenServerResponse = ServerResponse{Scope: "everywhere", RestrictionID: "a.61.62", Version: 83, UncoveredShards: []string{"slice 3"}}
	goldenMemberRequest  = MemberRequest{Action: "join", ID: "c", Raft: "127.0.0.1:9302", HTTP: "127.0.0.1:9202"}
	goldenSettings       = []Setting{{Key: "reshape.moves", Value: "4", Source: "default"}}
	goldenReloadResult   = ReloadResult{Applied: []string{"reshape.moves"}, NeedsRestart: []string{"listen"}, Replicated: []string{"indices.players.class"}}
	goldenDocument       = `{"revision":9,"search":{"max_result_window":50},"indices":{"players":{"class":"team-lookup","slices":[0,1]}}}`
	goldenBackup         = Backup{Format: 1, Taken: time.Date(2026, 12, 2, 5, 0, 0, 123, time.UTC), Revision: 9,
		Sum: checksum([]byte(goldenDocument)), Document: json.RawMessage(goldenDocument)}
)

func TestAdminBodiesGolden(t *testing.T) {
	t.Run("status response", func(t *testing.T) { goldentest.JSON(t, "status_response.json", goldenStatus) })
	t.Run("servers response", func(t *testing.T) { goldentest.JSON(t, "servers_response.json", goldenServers) })
	t.Run("agreed response", func(t *testing.T) { goldentest.JSON(t, "agreed_response.json", goldenReplicatedState) })
	t.Run("layouts response", func(t *testing.T) { goldentest.JSON(t, "layouts_response.json", goldenShardMaps) })
	t.Run("config response", func(t *testing.T) { goldentest.JSON(t, "config_response.json", goldenSettings) })
	t.Run("reload response", func(t *testing.T) { goldentest.JSON(t, "reload_response.json", goldenReloadResult) })
	t.Run("server order request", func(t *testing.T) { goldentest.JSON(t, "server_order_request.json", goldenServerRequest) })
	t.Run("server order response", func(t *testing.T) { goldentest.JSON(t, "server_order_response.json", goldenServerResponse) })
	t.Run("member order request", func(t *testing.T) { goldentest.JSON(t, "member_order_request.json", goldenMemberRequest) })
	t.Run("backup", func(t *testing.T) { goldentest.JSON(t, "backup.json", goldenBackup) })
	t.Run("error response", func(t *testing.T) { goldentest.JSON(t, "error_response.json", errorBody{Error: "no such server"}) })
}

// The optional fields are left out where they have no value, and the others are not.
func TestAdminBodiesWithoutOptionalFieldsGolden(t *testing.T) {
	for file, value := range map[string]any{
		"empty_status.json": Status{}, "empty_server.json": Server{}, "empty_layout.json": IndexShardMap{}, "empty_agreed.json": ReplicatedState{},
		"empty_server_order.json": ServerRequest{}, "empty_ordered.json": ServerResponse{}, "empty_member_order.json": MemberRequest{},
		"empty_setting.json": Setting{}, "empty_reloaded.json": ReloadResult{}, "empty_store_status.json": StoreStatus{},
	} {
		t.Run(file, func(t *testing.T) { goldentest.Encodes(t, file, value) })
	}
}

// fixedCoordinator answers with the golden values and keeps the requests that it was given.
type fixedCoordinator struct {
	err    error
	server ServerRequest
	member MemberRequest
	store  *store.Store
}

func (*fixedCoordinator) Status() Status               { return goldenStatus }
func (c *fixedCoordinator) Servers() ([]Server, error) { return goldenServers, c.err }
func (*fixedCoordinator) Drain() string                { return "drained" }
func (*fixedCoordinator) Activate() string             { return "serving" }
func (*fixedCoordinator) Settings() []Setting          { return goldenSettings }
func (*fixedCoordinator) ShardMaps() []IndexShardMap   { return goldenShardMaps }
func (c *fixedCoordinator) ReplicatedState() (ReplicatedState, error) {
	return goldenReplicatedState, c.err
}
func (c *fixedCoordinator) Reload() (ReloadResult, error) { return goldenReloadResult, c.err }
func (c *fixedCoordinator) Store() *store.Store           { return c.store }
func (*fixedCoordinator) Search() http1.Handler {
	return http1.HandlerFunc(func(_ context.Context, _ time.Duration, req *http1.Request) *http1.Response {
		return &http1.Response{Status: 200, Body: []byte(req.Method + " " + req.Path + "?" + req.Query + " " + string(req.Body))}
	})
}

func (c *fixedCoordinator) ChangeMember(o MemberRequest) error {
	c.member = o
	return c.err
}

func (c *fixedCoordinator) ChangeServer(o ServerRequest) (ServerResponse, error) {
	c.server = o
	return goldenServerResponse, c.err
}

func serve(h http1.Handler, method, target string, body []byte) *http1.Response {
	path, query, _ := strings.Cut(target, "?")
	return h.Serve(context.Background(), 0, &http1.Request{Method: method, Path: path, Query: query, Body: body})
}

func TestAdminHandlerResponsesGolden(t *testing.T) {
	for _, c := range []struct {
		method, target, request, response string
	}{
		{"GET", "/v1/status", "", "status_response.json"},
		{"GET", "/v1/servers", "", "servers_response.json"},
		{"GET", "/v1/servers/agreed", "", "agreed_response.json"},
		{"PUT", "/v1/servers/order", "server_order_request.json", "server_order_response.json"},
		{"PUT", "/v1/store/members", "member_order_request.json", "member_order_request.json"},
		{"GET", "/v1/layouts", "", "layouts_response.json"},
		{"PUT", "/v1/drain", "", "drain_response.json"},
		{"PUT", "/v1/activate", "", "activate_response.json"},
		{"GET", "/v1/config", "", "config_response.json"},
		{"PUT", "/v1/config/reload", "", "reload_response.json"},
		{"PUT", "/v1/store/document?check=true", "backup.json", "backup_check_response.json"},
		{"POST", "/v1/search/players/_search?size=3", "member_order_request.json", "search_response.txt"},
	} {
		t.Run(c.method+" "+c.target, func(t *testing.T) {
			k := &fixedCoordinator{store: &store.Store{}}
			var body []byte
			if c.request != "" {
				body = goldentest.Read(t, c.request)
			}
			res := serve(Handler{k}, c.method, c.target, body)
			if res.Status != 200 {
				t.Errorf("status %d", res.Status)
			}
			if got := res.Header.Get("Content-Type"); got != "application/json" && !strings.Contains(c.target, "/search/") {
				t.Errorf("content type %q", got)
			}
			goldentest.Bytes(t, c.response, res.Body)
			if c.target == "/v1/servers/order" && !reflect.DeepEqual(k.server, goldenServerRequest) {
				t.Errorf("request received: %+v", k.server)
			}
			if c.target == "/v1/store/members" && k.member != goldenMemberRequest {
				t.Errorf("request received: %+v", k.member)
			}
		})
	}
}

// A log level is set by a plain body; the response lists the levels by component.
func TestAdminLogLevelGolden(t *testing.T) {
	before := string(serve(Handler{&fixedCoordinator{}}, "GET", "/v1/log", nil).Body)
	var levels map[string]string
	if err := json.Unmarshal([]byte(before), &levels); err != nil || len(levels) == 0 {
		t.Fatalf("%s: %v", before, err)
	}
	for part, level := range levels {
		res := serve(Handler{&fixedCoordinator{}}, "PUT", "/v1/log/"+part, []byte(level))
		if res.Status != 200 || string(res.Body) != before {
			t.Errorf("PUT /v1/log/%s: %d %s", part, res.Status, res.Body)
		}
	}
	if res := serve(Handler{&fixedCoordinator{}}, "PUT", "/v1/log/none", []byte("info")); res.Status != 400 {
		t.Errorf("unknown part: status %d", res.Status)
	}
}

// The status of each error, and the error object with the error's text. The texts themselves are no part of the format.
func TestAdminErrorResponses(t *testing.T) {
	for _, c := range []struct {
		name   string
		err    error
		status int
	}{
		{"not the leader", &store.NotLeaderError{Leader: store.Member{ID: "b", HTTP: "127.0.0.1:9200"}}, 421},
		{"refused by the log", &endpoints.RejectedError{Result: config.Result{Reason: config.ServerNotFound}}, 409},
		{"no store", ErrNoStore, 409}, {"member", store.ErrUnknownMember, 409}, {"majority", store.ErrQuorumAtRisk, 409}, {"behind", store.ErrLearnerBehind, 409},
		{"too large", store.ErrTooLarge, 413}, {"busy", store.ErrBusy, 429}, {"no quorum", store.ErrNoQuorum, 503}, {"no leader", store.ErrNoLeader, 503},
	} {
		t.Run(c.name, func(t *testing.T) {
			k := &fixedCoordinator{err: c.err}
			for _, call := range []struct{ method, target, request string }{
				{"GET", "/v1/servers/agreed", ""}, {"PUT", "/v1/servers/order", "server_order_request.json"},
				{"PUT", "/v1/store/members", "member_order_request.json"},
			} {
				var body []byte
				if call.request != "" {
					body = goldentest.Read(t, call.request)
				}
				res := serve(Handler{k}, call.method, call.target, body)
				text := c.err.Error()
				if c.status == 421 {
					text += "; ask there"
				}
				quoted, err := json.Marshal(text)
				if err != nil {
					t.Fatal(err)
				}
				if want := fmt.Sprintf(`{"error":%s}`, quoted); res.Status != c.status || string(res.Body) != want {
					t.Errorf("%s %s: %d %s, want %d %s", call.method, call.target, res.Status, res.Body, c.status, want)
				}
			}
		})
	}
	for _, c := range []struct {
		method, target, body string
		err                  error
		status               int
	}{
		{"GET", "/v2/status", "", nil, 404}, {"GET", "/v1/none", "", nil, 404}, {"POST", "/v1/status", "", nil, 404},
		{"PUT", "/v1/servers/order", "[", nil, 400}, {"PUT", "/v1/store/members", "[", nil, 400},
		{"GET", "/v1/servers", "", ErrCoreBusy, 503}, {"PUT", "/v1/config/reload", "", ErrNoStore, 409},
		{"GET", "/v1/store/document", "", nil, 409}, {"GET", "/v1/store/backup", "", nil, 409}, {"PUT", "/v1/store/document", "{}", nil, 409},
	} {
		t.Run(fmt.Sprint(c.method, " ", c.target, " ", c.status), func(t *testing.T) {
			res := serve(Handler{&fixedCoordinator{err: c.err}}, c.method, c.target, []byte(c.body))
			var f map[string]string
			if err := json.Unmarshal(res.Body, &f); err != nil || res.Status != c.status || len(f) != 1 || f["error"] == "" {
				t.Errorf("%d %s, %v", res.Status, res.Body, err)
			}
		})
	}
}

// The document, a backup of it and a restore, through a store of one instance.
func TestAdminStoreDocumentGolden(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	initial, err := searchconfig.Parse([]byte(goldenDocument))
	if err != nil {
		t.Fatal(err)
	}
	s, err := store.Open(store.Config{ID: "a", Dir: t.TempDir(), TimeScale: 0.2, Listener: ln, InitialSettings: initial,
		Members: []store.Member{{ID: "a", Raft: ln.Addr().String(), HTTP: "a"}}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := s.Close(); err != nil {
			t.Error(err)
		}
	})
	h := Handler{&fixedCoordinator{store: s}}
	for end := time.Now().Add(30 * time.Second); !s.IsLeader(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("no leader was elected")
		}
	}
	for _, target := range []string{"/v1/store/document", "/v1/store/document?read=local", "/v1/store/document?local=true", "/v1/store/document?read=lease"} {
		res := serve(h, "GET", target, nil)
		if res.Status != 200 {
			t.Errorf("%s: status %d", target, res.Status)
		}
		goldentest.Bytes(t, "document_response.json", res.Body)
	}
	res := serve(h, "GET", "/v1/store/backup", nil)
	var b Backup
	if err := json.Unmarshal(res.Body, &b); err != nil || res.Status != 200 {
		t.Fatalf("%d %s: %v", res.Status, res.Body, err)
	}
	taken, err := json.Marshal(b.Taken)
	if err != nil {
		t.Fatal(err)
	}
	fixed, err := json.Marshal(goldenBackup.Taken)
	if err != nil {
		t.Fatal(err)
	}
	goldentest.Bytes(t, "backup.json", []byte(strings.Replace(string(res.Body), string(taken), string(fixed), 1)))
	res = serve(h, "PUT", "/v1/store/document", goldentest.Read(t, "backup.json"))
	if res.Status != 200 {
		t.Errorf("restore: status %d", res.Status)
	}
	goldentest.Bytes(t, "restore_response.json", res.Body)
	doc, err := ReadBackup(goldentest.Read(t, "backup.json"))
	if err != nil || !reflect.DeepEqual(doc, initial) {
		t.Errorf("the golden backup is %+v, %v; want %+v", doc, err, initial)
	}
}

// exchange answers one call at a socket with response and returns the request's bytes as they came.
func exchange(t *testing.T, response *http1.Response, call func(*Client) error) (request []byte, err error) {
	t.Helper()
	socket := filepath.Join(t.TempDir(), "s")
	ln, err := net.Listen("unix", socket)
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	done := make(chan []byte, 1)
	go func() {
		var got []byte
		defer func() { done <- got }()
		nc, err := ln.Accept()
		if err != nil {
			return
		}
		defer nc.Close()
		_ = nc.SetDeadline(time.Now().Add(10 * time.Second))
		r := http1.NewReader(recorder{nc, &got}, 1<<20)
		if _, err := r.Request(); err == nil {
			_ = http1.WriteResponse(nc, response)
		}
	}()
	err = call(&Client{Socket: socket, Timeout: 10 * time.Second})
	return <-done, err
}

// recorder keeps what is read.
type recorder struct {
	net.Conn
	got *[]byte
}

func (r recorder) Read(p []byte) (int, error) {
	n, err := r.Conn.Read(p)
	*r.got = append(*r.got, p[:n]...)
	return n, err
}

func TestClientRequestsGolden(t *testing.T) {
	for _, c := range []struct {
		name, request, response string
		call                    func(*Client) (any, error)
		want                    any
	}{
		{"status", "client_status.http", "status_response.json", func(c *Client) (any, error) { return c.Status() }, goldenStatus},
		{"servers", "client_servers.http", "servers_response.json", func(c *Client) (any, error) { return c.Servers() }, goldenServers},
		{"layouts", "client_layouts.http", "layouts_response.json", func(c *Client) (any, error) { return c.ShardMaps() }, goldenShardMaps},
		{"server order", "client_server_order.http", "server_order_response.json", func(c *Client) (any, error) {
			body, err := json.Marshal(goldenServerRequest)
			if err != nil {
				return nil, err
			}
			var out ServerResponse
			return &out, c.Call("PUT", "/servers/order", body, &out)
		}, &goldenServerResponse},
	} {
		t.Run(c.name, func(t *testing.T) {
			var got any
			request, err := exchange(t, &http1.Response{Status: 200, Body: goldentest.Read(t, c.response)}, func(client *Client) (err error) {
				got, err = c.call(client)
				return err
			})
			if err != nil || !reflect.DeepEqual(got, c.want) {
				t.Errorf("got  %+v, %v\nwant %+v", got, err, c.want)
			}
			goldentest.Bytes(t, c.request, request)
		})
	}
}

// The reasons of the API's errors, of the search front's and of a follower's redirect, as the client reads them.
func TestClientReadsErrorBodies(t *testing.T) {
	for _, c := range []struct {
		name   string
		res    http1.Response
		reason string
	}{
		{"error of the API", http1.Response{Status: 409, Body: goldentest.Read(t, "error_response.json")}, "no such server"},
		{"error of the search front", http1.Response{Status: 400, Body: goldentest.Read(t, "search_error_response.json")}, "no settings to update"},
		{"redirect", http1.Response{Status: 307, Header: map[string][]string{"Location": {"http://127.0.0.1:9200/_cluster/settings"}}},
			"another instance leads the store: http://127.0.0.1:9200/_cluster/settings"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := exchange(t, &c.res, func(client *Client) error { return client.Call("GET", "/status", nil, nil) })
			var rejected *ResponseError
			if !errors.As(err, &rejected) || rejected.Status != c.res.Status || rejected.Reason != c.reason {
				t.Errorf("got %#v", err)
			}
		})
	}
}

// A signed call carries one Authorization header, which the verifier accepts for the call's method, target with query and body.
func TestClientSignsCalls(t *testing.T) {
	key, at := []byte("0123456789abcdef"), time.UnixMilli(1764652800123)
	c := &Client{Address: "127.0.0.1:1", KeyID: "ops-1", Key: key, Now: func() time.Time { return at }}
	header, err := c.sign("PUT", "/v1/store/document?check=true", []byte("body"))
	if err != nil || len(header) != 1 {
		t.Fatalf("%v, %v", header, err)
	}
	v := signature.NewVerifier(signature.KeyRing{"ops-1": key}, time.Minute, at)
	signed := &SignedHandler{Handler: Handler{&fixedCoordinator{store: &store.Store{}}}, Counters: metrics.NewCounters(),
		Verify: func(header string, c signature.Call) error { _, err := v.Verify(at, header, c); return err }}
	req := &http1.Request{Method: "PUT", Path: "/v1/store/document", Query: "check=true", Header: header, Body: []byte("body")}
	if res := signed.Serve(context.Background(), 0, req); res.Status != 400 { // admitted: the body is no backup
		t.Errorf("status %d %s", res.Status, res.Body)
	}
	if res := signed.Serve(context.Background(), 0, req); res.Status != 401 {
		t.Errorf("the same call again: status %d %s", res.Status, res.Body)
	}
	fields := strings.Split(strings.TrimPrefix(header.Get("Authorization"), "linkpass-v1 "), ",")
	if len(fields) != 4 || fields[0] != "id=ops-1" || fields[1] != "time=1764652800123" || len(fields[2]) != len("once=")+hex.EncodedLen(16) {
		t.Errorf("fields %q", fields)
	}
}

// A command's reason is returned by the API and kept in the replicated state, whose hash instances of two versions compare: its
// text is part of the format.
func TestRejectionReasonsGolden(t *testing.T) {
	goldentest.Encodes(t, "reasons.json", []config.Reason{config.Applied, config.Conflict, config.ServerNotFound, config.ServerExists, config.ServerIDRetired, config.NoReplicaLeft,
		config.AlreadySettled, config.StaleSequence, config.NotInitialized, config.LimitExceeded, config.Invalid})
}
