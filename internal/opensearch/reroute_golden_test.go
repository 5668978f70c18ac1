package opensearch

import (
	"testing"

	"linkpass/internal/goldentest"
)

func TestRerouteGolden(t *testing.T) {
	earlierCommands := map[string][]string{"abandon": {"split"}, "resume": {"split", "abandon"}}
	for _, name := range []string{"move", "move_set", "split", "merge", "abandon", "resume"} {
		t.Run(name, func(t *testing.T) {
			f, _ := newDynamicFront(t, &fakeCore{})
			for _, earlier := range earlierCommands[name] {
				request := goldentest.Read(t, "reroute_"+earlier+".json")
				if res, _ := serve(f, "POST", "/_cluster/reroute", string(request)); res.Status != 200 {
					t.Fatalf("%s: status = %d, want 200: %s", earlier, res.Status, res.Body)
				}
			}
			request := string(goldentest.Read(t, "reroute_"+name+".json"))
			dry, _ := serve(f, "POST", "/_cluster/reroute?dry_run=true", request)
			goldentest.Bytes(t, "reroute_"+name+"_dry_run.http", responseBytes(t, dry))
			res, _ := serve(f, "POST", "/_cluster/reroute", request)
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
		const body = `{"commands":[{"split":{"index":"players","shard":1048576,"pieces":2}}]}`
		if res, _ := serve(f, "POST", "/_cluster/reroute", body); res.Status != 400 {
			t.Errorf("status = %d, want 400", res.Status)
		}
	})
}
