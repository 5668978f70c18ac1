package adminapi

import (
	"context"
	"encoding/json"
	"reflect"
	"strings"
	"testing"
	"time"

	"linkpass/internal/config"
	"linkpass/internal/goldentest"
	"linkpass/internal/http1"
	"linkpass/internal/store"
)

// Each body with all of its fields is encoded to, and decoded from, its golden file.
func TestBodiesGolden(t *testing.T) {
	t.Run("status response", testBodyGolden("status_response.json", goldenStatus))
	t.Run("servers response", testBodyGolden("servers_response.json", goldenServers))
	t.Run("agreed response", testBodyGolden("agreed_response.json", goldenReplicatedState))
	t.Run("layouts response", testBodyGolden("layouts_response.json", goldenShardMaps))
	t.Run("config response", testBodyGolden("config_response.json", goldenSettings))
	t.Run("reload response", testBodyGolden("reload_response.json", goldenReloadResult))
	t.Run("server order request", testBodyGolden("server_order_request.json", goldenServerRequest))
	t.Run("server order response", testBodyGolden("server_order_response.json", goldenServerResponse))
	t.Run("member order request", testBodyGolden("member_order_request.json", goldenMemberRequest))
	t.Run("backup", testBodyGolden("backup.json", goldenBackup))
	t.Run("error response", testBodyGolden("error_response.json", errorBody{Error: "no such server"}))
}

// testBodyGolden returns a subtest that encodes a body to JSON and decodes it.
func testBodyGolden[T any](file string, value T) func(*testing.T) {
	return func(t *testing.T) {
		t.Helper()
		goldentest.JSON(t, file, value)
	}
}

// Optional fields with a zero value are omitted from the JSON; all other fields are present.
func TestBodiesWithoutOptionalFieldsGolden(t *testing.T) {
	for file, value := range map[string]any{
		"empty_status.json":       Status{},
		"empty_server.json":       Server{},
		"empty_layout.json":       IndexShardMap{},
		"empty_agreed.json":       ReplicatedState{},
		"empty_server_order.json": ServerRequest{},
		"empty_ordered.json":      ServerResponse{},
		"empty_member_order.json": MemberRequest{},
		"empty_setting.json":      Setting{},
		"empty_reloaded.json":     ReloadResult{},
		"empty_store_status.json": StoreStatus{},
	} {
		t.Run(file, func(t *testing.T) { goldentest.Encodes(t, file, value) })
	}
}

// fakeCoordinator returns the golden values or err, and records the requests that it receives.
type fakeCoordinator struct {
	err    error
	server ServerRequest
	member MemberRequest
	store  *store.Store

	canceled bool // a change was called with a canceled context
}

func (*fakeCoordinator) Status() Status               { return goldenStatus }
func (c *fakeCoordinator) Servers() ([]Server, error) { return goldenServers, c.err }
func (*fakeCoordinator) Drain() string                { return "drained" }
func (*fakeCoordinator) Activate() string             { return "serving" }
func (*fakeCoordinator) Settings() []Setting          { return goldenSettings }
func (*fakeCoordinator) ShardMaps() []IndexShardMap   { return goldenShardMaps }
func (c *fakeCoordinator) ReplicatedState() (ReplicatedState, error) {
	return goldenReplicatedState, c.err
}
func (c *fakeCoordinator) Reload() (ReloadResult, error) { return goldenReloadResult, c.err }
func (c *fakeCoordinator) Store() *store.Store           { return c.store }
func (*fakeCoordinator) Search() http1.Handler {
	return http1.HandlerFunc(func(_ context.Context, _ time.Duration, req *http1.Request) *http1.Response {
		return &http1.Response{
			Status: 200,
			Body:   []byte(req.Method + " " + req.Path + "?" + req.Query + " " + string(req.Body)),
		}
	})
}

func (c *fakeCoordinator) ChangeMember(ctx context.Context, request MemberRequest) error {
	c.canceled = c.canceled || ctx.Err() != nil
	c.member = request
	return c.err
}

func (c *fakeCoordinator) ChangeServer(ctx context.Context, request ServerRequest) (ServerResponse, error) {
	c.canceled = c.canceled || ctx.Err() != nil
	c.server = request
	return goldenServerResponse, c.err
}

// serve passes a request to a handler.
func serve(h http1.Handler, method, target string, body []byte) *http1.Response {
	path, query, _ := strings.Cut(target, "?")
	return h.Serve(context.Background(), 0, &http1.Request{Method: method, Path: path, Query: query, Body: body})
}

// readRequestBody reads the golden file with the body of a request. If file is "", the request has no body.
func readRequestBody(t *testing.T, file string) []byte {
	t.Helper()
	if file == "" {
		return nil
	}
	return goldentest.Read(t, file)
}

func TestHandlerResponsesGolden(t *testing.T) {
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
			coordinator := &fakeCoordinator{store: &store.Store{}}
			res := serve(Handler{coordinator}, c.method, c.target, readRequestBody(t, c.request))
			if res.Status != 200 {
				t.Errorf("status = %d, want 200", res.Status)
			}
			contentType := res.Header.Get("Content-Type")
			if contentType != "application/json" && !strings.Contains(c.target, "/search/") {
				t.Errorf("Content-Type = %q, want application/json", contentType)
			}
			goldentest.Bytes(t, c.response, res.Body)
			if c.target == "/v1/servers/order" && !reflect.DeepEqual(coordinator.server, goldenServerRequest) {
				t.Errorf("coordinator received %+v, want %+v", coordinator.server, goldenServerRequest)
			}
			if c.target == "/v1/store/members" && coordinator.member != goldenMemberRequest {
				t.Errorf("coordinator received %+v, want %+v", coordinator.member, goldenMemberRequest)
			}
		})
	}
}

// The body of a request that sets a log level is the plain level. The response lists the levels of all components.
func TestHandlerSetsLogLevel(t *testing.T) {
	before := string(serve(Handler{&fakeCoordinator{}}, "GET", "/v1/log", nil).Body)
	var levels map[string]string
	if err := json.Unmarshal([]byte(before), &levels); err != nil || len(levels) == 0 {
		t.Fatalf("GET /v1/log: %s, error %v; want at least one level", before, err)
	}
	for component, level := range levels {
		res := serve(Handler{&fakeCoordinator{}}, "PUT", "/v1/log/"+component, []byte(level))
		if res.Status != 200 || string(res.Body) != before {
			t.Errorf("PUT /v1/log/%s: status = %d %s, want 200 %s", component, res.Status, res.Body, before)
		}
	}
	if res := serve(Handler{&fakeCoordinator{}}, "PUT", "/v1/log/none", []byte("info")); res.Status != 400 {
		t.Errorf("unknown component: status = %d, want 400", res.Status)
	}
}

// The API returns the reason of a rejected command, and the replicated state contains it. Instances of two versions
// compare the hash of that state, so the texts of the reasons are part of the format.
func TestRejectionReasonsGolden(t *testing.T) {
	goldentest.Encodes(t, "reasons.json", []config.Reason{
		config.Applied,
		config.Conflict,
		config.ServerNotFound,
		config.ServerExists,
		config.ServerIDRetired,
		config.NoReplicaLeft,
		config.AlreadySettled,
		config.StaleSequence,
		config.NotInitialized,
		config.LimitExceeded,
		config.Invalid,
	})
}
