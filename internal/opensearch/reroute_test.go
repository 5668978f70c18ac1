package opensearch

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"linkpass/internal/shardmap"
)

// reroute sends commands and returns the response's status and body.
func reroute(f *Front, params string, commands ...string) (int, string) {
	res, _ := serve(f, "POST", "/_cluster/reroute"+params, `{"commands":[`+strings.Join(commands, ",")+`]}`)
	return res.Status, string(res.Body)
}

func splitCommand() string {
	return fmt.Sprintf(`{"split":{"index":"players","shard":%d,"into":3}}`, firstShardID)
}

// Guards against commands that are applied only in part, and against errors that don't name the violated invariant.
func TestRerouteRejectsInvalidCommands(t *testing.T) {
	f, updater := newDynamicFront(t, &fakeCore{})
	split := splitCommand()
	merge := fmt.Sprintf(`{"merge":{"index":"players","shards":[%d,%d]}}`, firstShardID, firstShardID+2)
	moveToNone := fmt.Sprintf(`{"move":{"index":"players","shard":%d,"to_nodes":[[]]}}`, firstShardID)
	moveFromOther := fmt.Sprintf(`{"move":{"index":"players","shard":%d,"from_node":"z","to_node":"c"}}`, firstShardID)
	for _, c := range []struct{ params, commands, wantText string }{
		{"", split + "," + split, shardmap.ErrPlanOverlap.Error()},
		{"", merge, shardmap.ErrIncompleteCoverage.Error()},
		{"", moveToNone, shardmap.ErrNoReplica.Error()},
		{"", moveFromOther, "not on node"},
		{"", `{"split":{"index":"players","shard":3}}`, shardmap.ErrNotFound.Error()},
		{"", `{"split":{"index":"fixed","shard":0}}`, "no layout that can change"},
		{"", `{"abandon":{"index":"players","plan":5}}`, shardmap.ErrNotFound.Error()},
		{"", `{"explode":{"index":"players"}}`, "known are move"},
		{"", `{"split":{"index":"players"},"merge":{}}`, "one name"},
		{"", `{"split":{"indices":"players"}}`, "unknown field"},
		{"?dry_run=maybe", split, "Failed to parse value [maybe]"},
	} {
		if status, body := reroute(f, c.params, c.commands); status != 400 || !strings.Contains(body, c.wantText) {
			t.Errorf("%s: status %d, body %s, want status 400 and %q", c.commands, status, body, c.wantText)
		}
		if updater.config.ShardMap("players").Version() != 1 {
			t.Fatalf("rejected %s took the shard map to version %d, want 1",
				c.commands, updater.config.ShardMap("players").Version())
		}
	}
	f.SettingsUpdater = nil
	if status, _ := reroute(f, "", split); status != 400 {
		t.Errorf("status without a store = %d, want 400", status)
	}
}

func TestRerouteAppliesCommands(t *testing.T) {
	f, updater := newDynamicFront(t, &fakeCore{})
	split := splitCommand()
	status, body := reroute(f, "?dry_run=true", split)
	if status != 200 || !strings.Contains(body, `"step":"planned"`) || updater.config.ShardMap("players").Version() != 1 {
		t.Errorf("dry run: status %d, body %s, want status 200, a planned step and no new version", status, body)
	}
	if status, body := reroute(f, "", split); status != 200 || !strings.Contains(body, `"versions":{"players":2}`) {
		t.Errorf("split: status %d, body %s, want status 200 and version 2", status, body)
	}
	if status, _ := reroute(f, "", `{"abandon":{"index":"players","plan":1}}`); status != 200 {
		t.Errorf("abandon: status = %d, want 200", status)
	}
	status, body = reroute(f, "", `{"resume":{"index":"players","plan":1}}`)
	if status != 200 || len(updater.config.ShardMap("players").Plans()) != 1 {
		t.Errorf("resume: status %d, body %s, want status 200 and one open plan", status, body)
	}
	res, _ := serve(f, "GET", "/_cat/shards/players?v", "")
	if got := string(res.Body); strings.Count(got, "RELOCATING") != 2 || strings.Count(got, "INITIALIZING") != 6 ||
		strings.Count(got, "STARTED") != 6 {
		t.Errorf("shards = %s, want 2 RELOCATING, 6 INITIALIZING and 6 STARTED", got)
	}
	res, _ = serve(f, "GET", "/players/_search_shards?routing=li", "")
	if bytes.Count(res.Body, []byte(`"node"`)) != 2 {
		t.Errorf("search shards = %s, want 2 replicas", res.Body)
	}
}

// Guards against a renamed Go type that changes an error text that clients get.
func TestRerouteDecodingErrorTexts(t *testing.T) {
	const command = "map[string]opensearch.rerouteCommand"
	for _, c := range []struct{ body, reason string }{
		{
			`{"commands":[{"split":{"shard":"x"}}]}`,
			"json: cannot unmarshal string into Go struct field rerouteCommand.commands.shard of type uint64",
		},
		{`{"commands":1}`, "json: cannot unmarshal number into Go struct field .commands of type []" + command},
		{`{"commands":[1]}`, "json: cannot unmarshal number into Go struct field .commands of type " + command},
		{
			`[]`,
			`json: cannot unmarshal array into Go value of type struct { Commands []` + command + ` "json:\"commands\"" }`,
		},
	} {
		t.Run(c.body, func(t *testing.T) {
			f, _ := newDynamicFront(t, &fakeCore{})
			res, out := serve(f, "POST", "/_cluster/reroute", c.body)
			e, _ := out["error"].(map[string]any)
			if res.Status != 400 || e["type"] != "parsing_exception" || e["reason"] != c.reason {
				t.Errorf("status %d, body %s, want status 400 and reason %s", res.Status, res.Body, c.reason)
			}
		})
	}
}
