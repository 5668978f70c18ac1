package opensearch

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"linkpass/internal/shardmap"
)

// Orders are taken whole or not at all, an impossible one names what it would break, and a dry run
// changes nothing.
func TestRerouteAppliesAllCommandsOrNone(t *testing.T) {
	f, store := newDynamicFront(t, &fakeCore{})
	split := fmt.Sprintf(`{"split":{"index":"players","shard":%d,"into":3}}`, firstShardID)
	order := func(params string, commands ...string) (int, string) {
		res, _ := serve(f, "POST", "/_cluster/reroute"+params, `{"commands":[`+strings.Join(commands, ",")+`]}`)
		return res.Status, string(res.Body)
	}
	for _, c := range []struct{ params, commands, says string }{
		{"", split + "," + split, shardmap.ErrPlanOverlap.Error()},
		{"", fmt.Sprintf(`{"merge":{"index":"players","shards":[%d,%d]}}`, firstShardID, firstShardID+2), shardmap.ErrIncompleteCoverage.Error()},
		{"", fmt.Sprintf(`{"move":{"index":"players","shard":%d,"to_nodes":[[]]}}`, firstShardID), shardmap.ErrNoReplica.Error()},
		{"", fmt.Sprintf(`{"move":{"index":"players","shard":%d,"from_node":"z","to_node":"c"}}`, firstShardID), "not on node"},
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
