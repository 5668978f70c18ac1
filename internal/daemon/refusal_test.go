package daemon

import (
	"testing"

	"linkpass/internal/routing"
)

// Guards against a search that runs twice: one whose class may not run twice and whose part has run and failed is not
// answered with a status that says that nothing has run (429 or 503), upon which its client would send it again.
func TestSearchThatRanIsNotRefused(t *testing.T) {
	b := newTestbed(t, 3, func(c *Config) {
		for i := range c.routingSettings.Classes {
			c.routingSettings.Classes[i].Idempotency = routing.NonIdempotent
		}
	})
	b.awaitReady()
	b.putSettings(`{"servers":{"s-0a":{"protocol":"search"},"s-0b":{"protocol":"search"}}}`)
	b.servers["s-0a"].setMode("error")
	b.servers["s-0b"].setMode("error")
	status, got := b.searchIndex("players", ``)
	if status != 500 || got.Shards.Failed == 0 {
		t.Errorf("search of which a part has run and failed: status = %d, response %+v; want 500", status, got)
	}
	parts, _ := b.partsSince(0)
	runs := 0
	for _, p := range parts {
		if p.shard == 0 {
			runs++
		}
	}
	if runs != 1 {
		t.Errorf("the part that failed was sent %d times, want once", runs)
	}
}
