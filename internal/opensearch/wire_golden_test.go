package opensearch

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"linkpass/internal/coordinator"
	"linkpass/internal/goldentest"
	"linkpass/internal/http1"
	"linkpass/internal/outcome"
	"linkpass/internal/searchconfig"
	"linkpass/internal/shardmap"
	"linkpass/internal/store"
	"linkpass/internal/upstream"
)

// sortedHead is a request's or response's bytes with the header lines sorted, as maps have no order.
func sortedHead(t *testing.T, message []byte) []byte {
	t.Helper()
	head, body, ok := bytes.Cut(message, []byte("\r\n\r\n"))
	if !ok {
		t.Fatalf("no end of the header: %q", message)
	}
	lines := strings.Split(string(head), "\r\n")
	slices.Sort(lines[1:])
	return append([]byte(strings.Join(lines, "\r\n")+"\r\n\r\n"), body...)
}

// responseBytes is a response with its status and header.
func responseBytes(t *testing.T, res *http1.Response) []byte {
	t.Helper()
	var b bytes.Buffer
	if err := http1.WriteResponse(&b, res); err != nil {
		t.Fatal(err)
	}
	return sortedHead(t, b.Bytes())
}

func goldenShardRequest() *coordinator.ShardRequest {
	return &coordinator.ShardRequest{Shard: shardmap.FirstDynamicID + 4, MapVersion: 7, Range: shardmap.Range{First: 1, Last: 0xff}}
}

// What a league server is sent for a part, for a probe and for a body that follows in pieces.
func TestServerRequestsGolden(t *testing.T) {
	text := []byte(`{"from":0,"query":{"match":{"name":"li"}},"size":3}`)
	fixed := upstream.Part{Name: "n0-1.3", Collection: "players", Shard: 3, Timeout: 240 * time.Millisecond, Payload: text}
	moving := upstream.Part{Name: "n0-1.4", Collection: "pl/ayers", Shard: 9, Timeout: time.Microsecond, Payload: text, Request: goldenShardRequest()}
	plain := upstream.Part{Name: "q.3", Shard: 3, Timeout: time.Second, Payload: []byte("c41e77d0")}
	d := Codec{}
	for _, c := range []struct {
		file string
		got  []byte
	}{
		{"server_part_fixed.http", d.EncodeRequest([]upstream.Part{fixed})},
		{"server_part_layout.http", d.EncodeRequest([]upstream.Part{moving})},
		{"server_part_plain.http", d.EncodeRequest([]upstream.Part{plain})},
		{"server_head_fixed.http", d.EncodeHeader(fixed, 123456)},
		{"server_head_layout.http", d.EncodeHeader(moving, 123456)},
		{"server_probe.http", d.EncodeHealthCheck()},
	} {
		t.Run(c.file, func(t *testing.T) { goldentest.Bytes(t, c.file, sortedHead(t, c.got)) })
	}
	if got := d.EncodeHeader(plain, 1); got != nil {
		t.Errorf("head of a plain part: %q", got)
	}
}

// What league servers answer, read in full.
func TestServerResponsesGolden(t *testing.T) {
	covers := shardmap.Range{First: 1, Last: 0xff}
	body := func(file string) []byte {
		_, b, _ := bytes.Cut(goldentest.Read(t, file), []byte("\r\n\r\n"))
		return b
	}
	for _, c := range []struct {
		file string
		want upstream.Message
	}{
		{"server_answer.http", upstream.Message{Outcome: outcome.Success, LoadReport: []float64{3, 0.5}, Value: body("server_answer.http"), Score: 2.5, ShardMapVersion: 8, Covers: &covers,
			Hits: &coordinator.Hits{Total: 12, AtLeast: true, List: []coordinator.Hit{
				{ID: "7", Score: 2.5, Source: []byte(`{"name":"li"}`)}, {ID: "8", Source: []byte(`{"name":"wu"}`)}}}}},
		{"server_answer_timed_out.http", upstream.Message{Outcome: outcome.ServerError, LoadReport: []float64{3, 0.5}}},
		{"server_answer_failed.http", upstream.Message{Outcome: outcome.ServerError, LoadReport: []float64{3, 0.5}}},
		{"server_answer_short.http", upstream.Message{Outcome: outcome.ServerError, LoadReport: []float64{3, 0.5}}},
		{"server_moved.http", upstream.Message{Outcome: outcome.ShardMoved, LoadReport: []float64{3, 0.5}, ShardMapVersion: 9}},
		{"server_rejected.http", upstream.Message{Outcome: outcome.Rejected, LoadReport: []float64{3, 0.5}}},
		{"server_error.http", upstream.Message{Outcome: outcome.ServerError, LoadReport: []float64{3, 0.5}, ConnCloses: true}},
		{"server_greeting.http", upstream.Message{HealthCheck: true, Outcome: outcome.Success, LoadReport: []float64{3, 0.5}, Value: body("server_greeting.http")}},
	} {
		t.Run(c.file, func(t *testing.T) {
			got, _, err := Codec{ReportNames: []string{"active", "cpu"}}.NewReader(bytes.NewReader(goldentest.Read(t, c.file))).Next()
			if err != nil || !reflect.DeepEqual(got, c.want) {
				t.Errorf("got  %+v, %v\nwant %+v", got, err, c.want)
			}
		})
	}
	for _, file := range []string{"server_answer_without_counts.http", "server_answer_without_hits.http"} {
		t.Run(file, func(t *testing.T) {
			if _, e, err := (Codec{}).NewReader(bytes.NewReader(goldentest.Read(t, file))).Next(); err == nil || e != outcome.MalformedResponse {
				t.Errorf("ended as %v, %v", e, err)
			}
		})
	}
}

// The search's text as the core gets it, which is what each server is sent.
func TestSearchTextGolden(t *testing.T) {
	for _, c := range []struct{ file, target, body string }{
		{"search_text.json", "/players/_search?timeout=300ms", `{"query": {"match": {"name": "li"}}, "from": 2, "size": 3}`},
		{"search_text_default.json", "/players/_search", ``},
		{"search_text_params.json", "/players/_search?from=4&size=5&allow_partial_search_results=false&preference=_shards:2,0", `{"from":1}`},
	} {
		t.Run(c.file, func(t *testing.T) {
			k := &fakeCore{answer: completeAnswer}
			if res, _ := serve(newFront(k), "POST", c.target, c.body); res.Status != 200 {
				t.Fatalf("%d %s", res.Status, res.Body)
			}
			for _, p := range k.queries[0].Parts {
				goldentest.Bytes(t, c.file, p.Payload)
			}
			goldentest.Bytes(t, c.file, k.queries[0].Payload)
		})
	}
}

// Final answers of searches, with status and header.
func TestSearchAnswersGolden(t *testing.T) {
	missing := []coordinator.MissingPart{{Shard: 2, LastOutcome: outcome.Rejected, Attempted: true}, {Shard: 0, BodyEvicted: true}}
	value := []coordinator.Value{{Shard: 1, Hits: &coordinator.Hits{Total: 7, AtLeast: true, List: []coordinator.Hit{
		{ID: "best", Score: 9, Source: []byte(`{"name":"x"}`)}, {ID: "low", Score: 0.5}}}}, {Shard: 0, Data: []byte("v"), Score: 4}}
	for _, c := range []struct {
		file   string
		target string
		answer coordinator.Answer
	}{
		{"answer_whole.http", "/players/_search", coordinator.Answer{Complete: true, Values: value}},
		{"answer_no_hits.http", "/players/_search", coordinator.Answer{Complete: true, Values: []coordinator.Value{{Hits: &coordinator.Hits{}}}}},
		{"answer_partial.http", "/players/_search", coordinator.Answer{Values: value[:1], Missing: missing, TimedOut: true}},
		{"answer_partial_refused.http", "/players/_search?allow_partial_search_results=false", coordinator.Answer{Values: value[:1], Missing: missing}},
		{"answer_rejected.http", "/players/_search", coordinator.Answer{Status: coordinator.Rejected, Missing: missing, RetryAfter: 1250 * time.Millisecond}},
		{"answer_failed.http", "/players/_search", coordinator.Answer{Status: coordinator.Failed, Missing: missing}},
		{"answer_timeout.http", "/players/_search", coordinator.Answer{Status: coordinator.Failed, Missing: missing, TimedOut: true}},
		{"answer_layout.http", "/movable/_search", coordinator.Answer{ShardMapVersion: 7, Values: value[:1],
			Missing: []coordinator.MissingPart{{LastOutcome: outcome.ShardMoved, Attempted: true, Request: goldenShardRequest()}}}},
	} {
		t.Run(c.file, func(t *testing.T) {
			k := &fakeCore{answer: func(coordinator.Query) coordinator.Answer { return c.answer }}
			f := newFront(k)
			f.SearchConfig = goldenConfig(t)
			res, _ := serve(f, "POST", c.target, "")
			goldentest.Bytes(t, c.file, responseBytes(t, res))
		})
	}
}

// goldenConfig are a fixed index and one of two slices, of which the first is being split and the second was moved.
func goldenConfig(t *testing.T) func() *searchconfig.Config {
	t.Helper()
	c, err := searchconfig.Parse([]byte(`{"search":{"max_result_window":100},"indices":{"players":{"class":"team-lookup","slices":[0,1,2]},
		"movable":{"class":"team-lookup","spread":{"slices":2,"sets":[["s-1","s-2"],["s-3"]]}}},"servers":{"s-1":{"protocol":"search"}}}`))
	if err != nil {
		t.Fatal(err)
	}
	first, l := shardmap.FirstDynamicID, c.ShardMap("movable")
	for _, step := range []shardmap.Command{
		{Request: &shardmap.PlanRequest{Kind: shardmap.Split, Shards: []shardmap.ShardID{first}, Pieces: 2, ReplicaSets: [][]string{{"s-4"}, {"s-5"}}}},
		{Request: &shardmap.PlanRequest{Kind: shardmap.Move, Shards: []shardmap.ShardID{first + 1}, ReplicaSets: [][]string{{"s-6"}}}},
		{Advance: &shardmap.Advance{Plan: 2, Step: shardmap.Copying}},
		{Advance: &shardmap.Advance{Plan: 2, Step: shardmap.Replicated, Replicas: map[shardmap.ShardID][]string{first + 4: {"s-6"}}}},
		{Advance: &shardmap.Advance{Plan: 2, Step: shardmap.Switched, Replicas: map[shardmap.ShardID][]string{first + 4: {"s-6"}}}},
	} {
		if l, err = l.Apply(step); err != nil {
			t.Fatal(err)
		}
	}
	c = c.WithShardMap("movable", l)
	return func() *searchconfig.Config { return c }
}

func TestShardListsGolden(t *testing.T) {
	f := newFront(&fakeCore{})
	f.SearchConfig = goldenConfig(t)
	f.Settings = FixedSettingsHandler(f.SearchConfig)
	for _, c := range []struct{ file, method, target string }{
		{"cat_shards.http", "GET", "/_cat/shards"},
		{"cat_shards_v.http", "GET", "/_cat/shards/movable?v"},
		{"cat_shards_json.http", "GET", "/_cat/shards?format=json"},
		{"cat_shards_unknown.http", "GET", "/_cat/shards/none"},
		{"search_shards.http", "GET", "/movable/_search_shards"},
		{"search_shards_routing.http", "POST", "/movable/_search_shards?routing=li"},
		{"search_shards_fixed.http", "GET", "/players/_search_shards"},
		{"cluster_settings.http", "GET", "/_cluster/settings"},
		{"cluster_settings_fixed.http", "PUT", "/_cluster/settings"},
		{"no_handler.http", "GET", "/_none"},
		{"search_method.http", "PUT", "/players/_search"},
		{"search_unknown_index.http", "POST", "/none/_search"},
		{"search_unknown_shard.http", "POST", "/movable/_search?preference=_shards:5"},
		{"search_window.http", "POST", "/players/_search?size=101"},
		{"search_unknown_parameter.http", "POST", "/players/_search?scroll=1m"},
	} {
		t.Run(c.file, func(t *testing.T) {
			res, _ := serve(f, c.method, c.target, "")
			goldentest.Bytes(t, c.file, responseBytes(t, res))
		})
	}
}

// Each command of /_cluster/reroute in the golden form, on a layout of four slices, and the response.
func TestRerouteGolden(t *testing.T) {
	for _, name := range []string{"move", "move_set", "split", "merge", "abandon", "resume"} {
		t.Run(name, func(t *testing.T) {
			f, _ := newDynamicFront(t, &fakeCore{})
			var request json.RawMessage = goldentest.Read(t, "reroute_"+name+".json")
			if name == "abandon" || name == "resume" {
				if res, _ := serve(f, "POST", "/_cluster/reroute", string(goldentest.Read(t, "reroute_split.json"))); res.Status != 200 {
					t.Fatalf("%d %s", res.Status, res.Body)
				}
			}
			if name == "resume" {
				if res, _ := serve(f, "POST", "/_cluster/reroute", string(goldentest.Read(t, "reroute_abandon.json"))); res.Status != 200 {
					t.Fatalf("%d %s", res.Status, res.Body)
				}
			}
			dry, _ := serve(f, "POST", "/_cluster/reroute?dry_run=true", string(request))
			goldentest.Bytes(t, "reroute_"+name+"_dry_run.http", responseBytes(t, dry))
			res, _ := serve(f, "POST", "/_cluster/reroute", string(request))
			goldentest.Bytes(t, "reroute_"+name+".http", responseBytes(t, res))
		})
	}
	t.Run("unknown command", func(t *testing.T) {
		f, _ := newDynamicFront(t, &fakeCore{})
		res, _ := serve(f, "POST", "/_cluster/reroute", `{"commands":[{"allocate":{"index":"players"}}]}`)
		goldentest.Bytes(t, "reroute_unknown.http", responseBytes(t, res))
	})
	t.Run("unknown key", func(t *testing.T) {
		f, _ := newDynamicFront(t, &fakeCore{})
		if res, _ := serve(f, "POST", "/_cluster/reroute", `{"commands":[{"split":{"index":"players","shard":1048576,"pieces":2}}]}`); res.Status != 400 {
			t.Errorf("status %d", res.Status)
		}
	})
}

// /_cluster/settings from a store: answers, a follower's redirect and errors.
func TestClusterSettingsGolden(t *testing.T) {
	for _, c := range []struct {
		file, method, target, body string
		err                        error
	}{
		{"store_settings_get.http", "GET", "/_cluster/settings", "", nil},
		{"store_settings_put.http", "PUT", "/_cluster/settings", `{"persistent":{"search.max_result_window":100},"transient":{}}`, nil},
		{"store_settings_empty.http", "PUT", "/_cluster/settings", `{}`, nil},
		{"store_settings_transient.http", "PUT", "/_cluster/settings", `{"transient":{"a":1}}`, nil},
		{"store_settings_method.http", "POST", "/_cluster/settings", "", nil},
		{"store_settings_follower.http", "PUT", "/_cluster/settings", `{"persistent":{"a":1}}`,
			&store.NotLeaderError{Leader: store.Member{ID: "b", Raft: "127.0.0.1:9301", HTTP: "127.0.0.1:9201"}}},
	} {
		t.Run(c.file, func(t *testing.T) {
			r := &fakeSettingsStore{err: c.err}
			f := newFront(&fakeCore{})
			f.Settings = StoreSettingsHandler(r)
			res, _ := serve(f, c.method, c.target, c.body)
			goldentest.Bytes(t, c.file, responseBytes(t, res))
			if c.file == "store_settings_put.http" && r.patch != `{"search.max_result_window":100}` {
				t.Errorf("patch %s", r.patch)
			}
		})
	}
	for _, c := range []struct {
		err    error
		status int
		kind   string
	}{
		{store.ErrNoLeader, 503, "cluster_manager_not_discovered_exception"}, {store.ErrNoQuorum, 503, "process_cluster_event_timeout_exception"},
		{searchconfig.ErrInvalid, 400, "illegal_argument_exception"}, {store.ErrTooLarge, 413, "content_too_long_exception"},
		{store.ErrBusy, 429, "circuit_breaking_exception"},
	} {
		t.Run(c.kind, func(t *testing.T) {
			res := StoreSettingsHandler(&fakeSettingsStore{err: c.err}).Serve(context.Background(), 0, &http1.Request{Method: "GET", Path: "/_cluster/settings"})
			quoted, err := json.Marshal(c.err.Error())
			if err != nil {
				t.Fatal(err)
			}
			want := fmt.Sprintf(`{"error":{"root_cause":[{"type":"%s","reason":%s}],"type":"%s","reason":%s},"status":%d}`, c.kind, quoted, c.kind, quoted, c.status)
			if res.Status != c.status || string(res.Body) != want {
				t.Errorf("got  %d %s\nwant %d %s", res.Status, res.Body, c.status, want)
			}
		})
	}
}

// Every field of the bodies, both ways.
func TestBodiesGolden(t *testing.T) {
	score, took, timedOut := 1.5, int64(12), true
	reason := apiError{Type: "t-1", Reason: "r-1", Phase: "query", Grouped: true, Index: "players",
		RootCause: []apiError{{Type: "t-2", Reason: "r-2"}}, FailedShards: []shardFailure{{Shard: 1, Index: "i-1", Reason: apiError{Type: "t-3", Reason: "r-3"}, KeyRange: "a-b", MapVersion: 2}}}
	counts := shardCounts{Total: 3, Successful: 4, Skipped: 5, Failed: 6, Failures: []shardFailure{{Shard: 7, Index: "i-2", Reason: reason, KeyRange: "c-d", MapVersion: 8}}}
	t.Run("result", func(t *testing.T) {
		goldentest.JSON(t, "result.json", searchResponse{Took: 9, TimedOut: true, Shards: counts, Hits: searchHits{Total: total{Value: 10, Relation: "gte"}, MaxScore: &score,
			Hits: []searchHit{{Index: "players", ID: "11", Score: &score, Source: json.RawMessage(`{"name":"li"}`)}}}})
	})
	t.Run("error", func(t *testing.T) {
		goldentest.JSON(t, "error.json", errorBody{Error: reason, Status: 503, Took: &took, TimedOut: &timedOut, Shards: &counts})
	})
	t.Run("shard row", func(t *testing.T) {
		goldentest.JSON(t, "shard_row.json", shardRow{Index: "players", Shard: 1, State: "STARTED", Range: "a-b", Epoch: 2, Node: "s-1", PlanID: 3,
			Step: "copying", MapVersion: 4, Primary: true, KeySpaceShare: 0.5})
	})
	t.Run("reroute command", func(t *testing.T) {
		goldentest.JSON(t, "reroute_command.json", rerouteCommand{Index: "players", Shard: 1, Shards: []uint64{2, 3}, FromNode: "s-1", ToNode: "s-2",
			ReplicaSets: [][]string{{"s-3"}, {"s-4"}}, Pieces: 5, PlanID: 6})
	})
}

// The types of a missing slice's reasons by how its latest attempt ended.
func TestMissingReasonTypes(t *testing.T) {
	want := map[outcome.Outcome]string{outcome.Rejected: "rejected_execution_exception", outcome.QueueFull: "rejected_execution_exception",
		outcome.DialRefused: "connect_transport_exception", outcome.DialTimeout: "connect_transport_exception", outcome.DialFailed: "connect_transport_exception",
		outcome.WriteInterrupted: "connect_transport_exception", outcome.ConnReset: "node_disconnected_exception", outcome.ConnClosed: "node_disconnected_exception",
		outcome.Timeout: "receive_timeout_transport_exception", outcome.ShardMoved: "illegal_index_shard_state_exception",
		outcome.UnknownShardMap: "illegal_index_shard_state_exception", outcome.PartialCoverage: "illegal_index_shard_state_exception",
		outcome.Canceled: "task_cancelled_exception", outcome.NotSent: "task_cancelled_exception", outcome.BodyEvicted: "task_cancelled_exception",
		outcome.ServerError: "remote_transport_exception", outcome.MalformedResponse: "remote_transport_exception"}
	for e, kind := range want {
		if got := missingReason(coordinator.MissingPart{LastOutcome: e, Attempted: true}).Type; got != kind {
			t.Errorf("%v: %s, want %s", e, got, kind)
		}
	}
	if got := missingReason(coordinator.MissingPart{}).Type; got != "no_shard_available_action_exception" {
		t.Errorf("not tried: %s", got)
	}
}
