package opensearch

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"linkpass/internal/coordinator"
	"linkpass/internal/outcome"
	"linkpass/internal/searchconfig"
	"linkpass/internal/shardmap"
	"linkpass/internal/upstream"
)

// fakeSettingsUpdater stands in for the store.
type fakeSettingsUpdater struct{ now *searchconfig.Config }

func (c *fakeSettingsUpdater) UpdateSettings(change func(*searchconfig.Config) (*searchconfig.Config, error)) (*searchconfig.Config, error) {
	next, err := change(c.now)
	if err == nil {
		c.now = next
	}
	return next, err
}

// newDynamicFront is a front with an index of four slices that can move.
func newDynamicFront(t *testing.T, k *fakeCore) (*Front, *fakeSettingsUpdater) {
	c, err := searchconfig.Parse([]byte(`{"search":{},"indices":{"players":{"class":"team-lookup","spread":{"slices":4,"sets":[["a","b"],["c","d"]]}},"fixed":{"class":"team-lookup","slices":[0]}}}`))
	if err != nil {
		t.Fatal(err)
	}
	store := &fakeSettingsUpdater{c}
	f := newFront(k)
	f.SearchConfig, f.SettingsUpdater = func() *searchconfig.Config { return store.now }, store
	return f, store
}

const first = uint64(shardmap.FirstDynamicID)

// A search is handed on as the keys that it wants, whatever slices they lie in now; what is missing
// is told by its ranges.
func TestASearchOfALayoutWantsKeys(t *testing.T) {
	halves := shardmap.FullRange.Split(2)
	key := shardmap.HashKey("li")
	for target, want := range map[string][]shardmap.Range{
		"/players/_search":            {shardmap.FullRange},
		"/players/_search?routing=li": {{First: key, Last: key}},
		"/players/_search?preference=_ranges:" + halves[0].String():              {halves[0]},
		fmt.Sprintf("/players/_search?preference=_shards:%d,%d", first+1, first): {halves[0]},
	} {
		k := &fakeCore{answer: func(_ coordinator.Query) coordinator.Answer {
			return coordinator.Answer{Status: coordinator.Answered, ShardMapVersion: 7, Missing: []coordinator.MissingPart{
				{LastOutcome: outcome.ShardMoved, Attempted: true, Request: &coordinator.ShardRequest{Shard: 9, Range: halves[1], MapVersion: 7}}}}
		}}
		f, _ := newDynamicFront(t, k)
		res, _ := serve(f, "POST", target, ``)
		if len(k.queries) != 1 || fmt.Sprint(k.queries[0].KeyRanges) != fmt.Sprint(want) || len(k.queries[0].Parts) != 0 {
			t.Errorf("%s wants %v", target, k.queries)
		}
		for _, s := range []string{`"failed":1`, `"range":"` + halves[1].String(), `"layout_version":7`, "ended as moved"} {
			if !strings.Contains(string(res.Body), s) {
				t.Errorf("%s lacks %s", res.Body, s)
			}
		}
		if res.Header.Get(headerMapVersion) != "7" {
			t.Errorf("headers %v", res.Header)
		}
	}
	f, _ := newDynamicFront(t, &fakeCore{})
	for _, target := range []string{"/players/_search?preference=_shards:1", "/players/_search?preference=_ranges:9-1", "/fixed/_search?routing=a"} {
		if res, _ := serve(f, "POST", target, ``); res.Status != 404 && res.Status != 400 {
			t.Errorf("%s: %d", target, res.Status)
		}
	}
}

// Orders are taken whole or not at all, an impossible one names what it would break, and a dry run
// changes nothing.
func TestReroute(t *testing.T) {
	f, store := newDynamicFront(t, &fakeCore{})
	split := fmt.Sprintf(`{"split":{"index":"players","shard":%d,"into":3}}`, first)
	order := func(params string, commands ...string) (int, string) {
		res, _ := serve(f, "POST", "/_cluster/reroute"+params, `{"commands":[`+strings.Join(commands, ",")+`]}`)
		return res.Status, string(res.Body)
	}
	for _, c := range []struct{ params, commands, says string }{
		{"", split + "," + split, shardmap.ErrPlanOverlap.Error()},
		{"", fmt.Sprintf(`{"merge":{"index":"players","shards":[%d,%d]}}`, first, first+2), shardmap.ErrIncompleteCoverage.Error()},
		{"", fmt.Sprintf(`{"move":{"index":"players","shard":%d,"to_nodes":[[]]}}`, first), shardmap.ErrNoReplica.Error()},
		{"", fmt.Sprintf(`{"move":{"index":"players","shard":%d,"from_node":"z","to_node":"c"}}`, first), "not on node"},
		{"", `{"split":{"index":"players","shard":3}}`, shardmap.ErrNotFound.Error()},
		{"", `{"split":{"index":"fixed","shard":0}}`, "no layout that can change"},
		{"", `{"abandon":{"index":"players","plan":5}}`, shardmap.ErrNotFound.Error()},
		{"", `{"explode":{"index":"players"}}`, "known are move"},
		{"", `{"split":{"index":"players"},"merge":{}}`, "one name"},
		{"", `{"split":{"indices":"players"}}`, "unknown field"},
		{"?dry_run=maybe", split, "dry_run"},
	} {
		if status, body := order(c.params, c.commands); status != 400 || (!strings.Contains(body, c.says) && c.says != "dry_run") {
			t.Errorf("%s: %d %s, want %q", c.commands, status, body, c.says)
		}
		if store.now.ShardMap("players").Version() != 1 {
			t.Fatalf("%s left a trace", c.commands)
		}
	}
	if status, body := order("?dry_run=true", split); status != 200 || !strings.Contains(body, `"step":"planned"`) || store.now.ShardMap("players").Version() != 1 {
		t.Errorf("dry run: %d %s", status, body)
	}
	if status, body := order("", split); status != 200 || !strings.Contains(body, `"versions":{"players":2}`) {
		t.Errorf("%d %s", status, body)
	}
	if status, _ := order("", `{"abandon":{"index":"players","plan":1}}`); status != 200 {
		t.Errorf("abandon: %d", status)
	}
	if status, body := order("", `{"resume":{"index":"players","plan":1}}`); status != 200 || len(store.now.ShardMap("players").Plans()) != 1 {
		t.Errorf("resume: %d %s", status, body)
	}
	res, _ := serve(f, "GET", "/_cat/shards/players?v", "")
	if got := string(res.Body); strings.Count(got, "RELOCATING") != 2 || strings.Count(got, "INITIALIZING") != 6 || strings.Count(got, "STARTED") != 6 {
		t.Errorf("%s", got)
	}
	if res, _ := serve(f, "GET", "/players/_search_shards?routing=li", ""); bytes.Count(res.Body, []byte(`"node"`)) != 2 {
		t.Errorf("%s", res.Body)
	}
	f.SettingsUpdater = nil
	if status, _ := order("", split); status != 400 {
		t.Errorf("without a store: %d", status)
	}
}

// What a server says of its version and ranges is read, and nothing that it says breaks the reader.
func TestServersSayWhatTheyHold(t *testing.T) {
	reply := func(status, headers, body string) (upstream.Message, outcome.Outcome, error) {
		text := fmt.Sprintf("HTTP/1.1 %s x\r\n%sContent-Length: %d\r\n\r\n%s", status, headers, len(body), body)
		return Codec{}.NewReader(strings.NewReader(text)).Next()
	}
	const hits = `{"_shards":{"total":1,"successful":1},"hits":{"total":{"value":0},"hits":[]}}`
	if m, _, err := reply("409", "X-Layout-Version: 12\r\n", ""); err != nil || m.Outcome != outcome.ShardMoved || m.ShardMapVersion != 12 {
		t.Errorf("%+v %v", m, err)
	}
	if m, _, err := reply("409", "", ""); err != nil || m.Outcome != outcome.ServerError {
		t.Errorf("a conflict without a version: %+v %v", m, err)
	}
	if m, _, err := reply("200", "X-Layout-Covers: 0-ff\r\n", hits); err != nil || m.Outcome != outcome.Success || *m.Covers != (shardmap.Range{First: 0, Last: 255}) {
		t.Errorf("%+v %v", m, err)
	}
	rapid.Check(t, func(t *rapid.T) {
		value := rapid.StringMatching(`[ -~]{0,40}`).Draw(t, "value")
		name := rapid.SampledFrom([]string{headerMapVersion, headerCoveredRange}).Draw(t, "name")
		m, e, err := reply("200", name+": "+value+"\r\n", hits)
		if err != nil && e != outcome.MalformedResponse || err == nil && m.Covers != nil && !m.Covers.Valid() {
			t.Fatalf("%q: %+v %v %v", value, m, e, err)
		}
	})
	ask := &coordinator.ShardRequest{Shard: 1 << 20, MapVersion: 3, Range: shardmap.Range{First: 1, Last: 2}}
	wire := string(Codec{}.EncodeRequest([]upstream.Part{{Name: "q.1", Collection: "players", Shard: 1 << 33, Timeout: time.Second, Request: ask}}))
	for _, s := range []string{"/players/_search?preference=_shards:1048576&", "X-Layout-Version: 3\r\n", "X-Layout-Range: 0000000000000001-0000000000000002\r\n"} {
		if !strings.Contains(wire, s) {
			t.Errorf("%q lacks %q", wire, s)
		}
	}
	if wire := string(Codec{}.EncodeRequest([]upstream.Part{{Name: "q.1", Collection: "players", Shard: 1}})); strings.Contains(wire, "Layout") {
		t.Errorf("a fixed layout's part says %q", wire)
	}
}
