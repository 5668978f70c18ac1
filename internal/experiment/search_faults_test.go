package experiment

import (
	"strings"
	"testing"
)

// Guards against incomplete searches while servers are faulty: one claims a shard map version that does not exist, one
// is partitioned, one is slow. Another one is called in frames (protocol plain).
func TestSearchIsCompleteDespiteFaultyServers(t *testing.T) {
	isolate(t)
	d, err := StartDemo(3)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	s := d.Fleet().Servers
	s[0].ClaimShardMapVersion(999)
	s[2].Partition(true)
	s[4].SetSlowdown(5)
	n := d.w.nodes[0]
	if status, body, err := d.w.call(n, "PUT", "/_cluster/settings", `{"persistent":{"servers.s-06.protocol":"plain"}}`); err != nil || status != 200 {
		t.Fatalf("change the protocol of s-06: status = %d, want 200, body %s, error %v", status, body, err)
	}
	for range 12 {
		status, body, err := d.w.call(n, "POST", "/tables/_search", `{"size":1000}`)
		if err != nil || status != 200 || !strings.Contains(string(body), `"failed":0`) {
			t.Fatalf("search: status = %d, want 200 and \"failed\":0, body %.300s, error %v", status, body, err)
		}
	}
	if s[0].MovedParts.Load() == 0 || d.w.counterSum("attempts_unknown_shard_map") == 0 {
		t.Errorf("parts that s-01 answered with \"shard moved\" = %d, attempts_unknown_shard_map = %d, want both above 0", s[0].MovedParts.Load(), d.w.counterSum("attempts_unknown_shard_map"))
	}
	s[2].Partition(false)
}
