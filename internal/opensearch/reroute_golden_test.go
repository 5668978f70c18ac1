package opensearch

import (
	"encoding/json"
	"testing"

	"linkpass/internal/goldentest"
)

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
