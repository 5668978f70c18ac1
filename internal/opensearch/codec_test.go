package opensearch

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"linkpass/internal/coordinator"
	"linkpass/internal/http1"
	"linkpass/internal/outcome"
	"linkpass/internal/shardmap"
	"linkpass/internal/upstream"
)

const searchAnswer = `{"took":3,"timed_out":false,"_shards":{"total":1,"successful":1,"failed":0},` +
	`"hits":{"total":{"value":12,"relation":"gte"},"max_score":2.5,` +
	`"hits":[{"_index":"players","_id":"7","_score":2.5,"_source":{"a":1}}]}}`

// response returns a server's response with a load report.
func response(status int, body string) string {
	var b bytes.Buffer
	header := map[string][]string{"X-Server-Load": {"active=3"}}
	_ = http1.WriteResponse(&b, &http1.Response{Status: status, Body: []byte(body), Header: header})
	return b.String()
}

// next decodes one response.
func next(text string) (upstream.Message, outcome.Outcome, error) {
	return Codec{ReportNames: []string{"active"}}.NewReader(strings.NewReader(text)).Next()
}

func TestNextDecodesResponses(t *testing.T) {
	m, _, err := next(response(200, searchAnswer))
	if err != nil || m.Outcome != outcome.Success || m.HealthCheck || string(m.Value) != searchAnswer ||
		m.LoadReport[0] != 3 || m.Hits.Total != 12 || !m.Hits.AtLeast || m.Hits.List[0].ID != "7" || m.Score != 2.5 {
		t.Errorf("Next() = %+v, %v, want the decoded %s", m, err, searchAnswer)
	}
	if m, _, err := next(response(200, `{"name":"s-1"}`)); err != nil || !m.HealthCheck {
		t.Errorf("Next() = %+v, %v, want a health check's response", m, err)
	}
	for text, want := range map[string]outcome.Outcome{
		response(429, "{}"): outcome.Rejected,
		response(503, "{}"): outcome.ServerError,
		response(404, "{}"): outcome.ServerError,
		response(200, strings.Replace(searchAnswer, `"timed_out":false`, `"timed_out":true`, 1)): outcome.ServerError,
		response(200, strings.Replace(searchAnswer, `"failed":0`, `"failed":1`, 1)):              outcome.ServerError,
	} {
		if m, _, err := next(text); err != nil || m.Outcome != want || m.Hits != nil {
			t.Errorf("Next() of %.80q = %+v, %v, want outcome %v and no hits", text, m, err, want)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		text := response(200, searchAnswer)
		_, o, err := next(text[:rapid.IntRange(0, len(text)-1).Draw(t, "at")])
		if err == nil || o != outcome.ConnReset && o != outcome.MalformedResponse {
			t.Fatalf("truncated response: got %s, %v, want ConnReset or MalformedResponse and an error", o, err)
		}
		garbage := string(rapid.SliceOf(rapid.Byte()).Draw(t, "garbage"))
		if m, _, err := next(response(200, garbage)); err == nil && !m.HealthCheck && m.Hits == nil {
			t.Fatalf("Next() accepted body %q as a search result without hits: %+v", garbage, m)
		}
		_, _, _ = next(garbage)
	})
}

func TestEncodeRequestPutsPayloadIntoSearch(t *testing.T) {
	for text, want := range map[string]string{
		"c41e77d0":                   `{"query":{"query_string":{"query":"c41e77d0"}}}`,
		`{"query":{"match_all":{}}}`: `{"query":{"match_all":{}}}`,
	} {
		out := Codec{}.EncodeRequest([]upstream.Part{{
			Name:       "q.3",
			Collection: "players",
			Shard:      3,
			Timeout:    240 * time.Millisecond,
			Payload:    []byte(text),
		}})
		req, err := http1.NewReader(bytes.NewReader(out), 0).Request()
		if err != nil || req.Path != "/players/_search" || req.Query != "preference=_shards:3&timeout=240ms" ||
			req.Header.Get("X-Opaque-Id") != "q.3" || string(req.Body) != want {
			t.Errorf("request for payload %q = %+v, body %s, %v, want body %s", text, req, req.Body, err, want)
		}
	}
}

func TestNextDecodesShardMapHeaders(t *testing.T) {
	reply := func(status, headers, body string) (upstream.Message, outcome.Outcome, error) {
		text := fmt.Sprintf("HTTP/1.1 %s x\r\n%sContent-Length: %d\r\n\r\n%s", status, headers, len(body), body)
		return Codec{}.NewReader(strings.NewReader(text)).Next()
	}
	const hits = `{"_shards":{"total":1,"successful":1},"hits":{"total":{"value":0},"hits":[]}}`
	m, _, err := reply("409", "X-Layout-Version: 12\r\n", "")
	if err != nil || m.Outcome != outcome.ShardMoved || m.ShardMapVersion != 12 {
		t.Errorf("status 409 with a version: got %+v, %v, want ShardMoved at version 12", m, err)
	}
	if m, _, err := reply("409", "", ""); err != nil || m.Outcome != outcome.ServerError {
		t.Errorf("status 409 without a version: got %+v, %v, want ServerError", m, err)
	}
	m, _, err = reply("200", "X-Layout-Covers: 0-ff\r\n", hits)
	if err != nil || m.Outcome != outcome.Success || *m.Covers != (shardmap.Range{First: 0, Last: 255}) {
		t.Errorf("got %+v, %v, want Success that covers 0-ff", m, err)
	}
	rapid.Check(t, func(t *rapid.T) {
		value := rapid.StringMatching(`[ -~]{0,40}`).Draw(t, "value")
		name := rapid.SampledFrom([]string{headerMapVersion, headerCoveredRange}).Draw(t, "name")
		m, o, err := reply("200", name+": "+value+"\r\n", hits)
		if err != nil && o != outcome.MalformedResponse || err == nil && m.Covers != nil && !m.Covers.Valid() {
			t.Fatalf("%s %q: got %+v, %v, %v, want MalformedResponse or a valid range", name, value, m, o, err)
		}
	})
}

func TestEncodeRequestWritesShardMapHeaders(t *testing.T) {
	request := &coordinator.ShardRequest{Shard: 1 << 20, MapVersion: 3, Range: shardmap.Range{First: 1, Last: 2}}
	part := upstream.Part{Name: "q.1", Collection: "players", Shard: 1 << 33, Timeout: time.Second, Request: request}
	wire := string(Codec{}.EncodeRequest([]upstream.Part{part}))
	for _, s := range []string{
		"/players/_search?preference=_shards:1048576&",
		"X-Layout-Version: 3\r\n",
		"X-Layout-Range: 0000000000000001-0000000000000002\r\n",
	} {
		if !strings.Contains(wire, s) {
			t.Errorf("request = %q, want %q in it", wire, s)
		}
	}
	fixed := upstream.Part{Name: "q.1", Collection: "players", Shard: 1}
	if wire := string(Codec{}.EncodeRequest([]upstream.Part{fixed})); strings.Contains(wire, "Layout") {
		t.Errorf("request for a fixed shard = %q, want no shard map headers", wire)
	}
}
