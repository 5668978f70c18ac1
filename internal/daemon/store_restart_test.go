package daemon

import (
	"fmt"
	"net"
	"path/filepath"
	"testing"
	"time"

	"linkpass/internal/config"
	"linkpass/internal/config/restriction"
	"linkpass/internal/store"
)

const (
	storeTestTimeScale = 0.2             // shortens Raft's timeouts; nothing is asserted on them
	readyLimit         = 6 * time.Second // for a restarted coordinator, on a short day of the standing test
)

// storeWithDrain returns the configuration of one member of a store of three, none of which is running. Its directory
// holds the committed drain of a server.
func storeWithDrain(t *testing.T, server string) store.Config {
	t.Helper()
	dir := t.TempDir()
	var members []store.Member
	var listeners []net.Listener
	for _, id := range []string{"a", "b", "c"} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners = append(listeners, ln)
		members = append(members, store.Member{ID: id, Raft: ln.Addr().String(), HTTP: "127.0.0.1:1"})
	}
	var stores []*store.Store
	var configs []store.Config
	for i, m := range members {
		c := store.Config{ID: m.ID, Dir: filepath.Join(dir, m.ID), Members: members, TimeScale: storeTestTimeScale}
		configs = append(configs, c)
		c.Listener = listeners[i]
		s, err := store.Open(c)
		if err != nil {
			t.Fatal(err)
		}
		stores = append(stores, s)
	}
	request := restriction.Request{
		ID:     restriction.ID{Origin: restriction.Origin{Instance: "a", Incarnation: 1}, Seq: 1},
		Server: server,
		Level:  restriction.Draining,
	}
	drain := config.Command{Kind: config.RestrictServer, Restriction: &request}
	waitUntil(t, "the drain is committed", func() bool {
		for _, s := range stores {
			if _, err := s.Propose(t.Context(), drain); err == nil {
				return true
			}
		}
		return false
	})
	waitUntil(t, "the drain is applied at the first member", func() bool {
		return stores[0].State().Restriction(server) == restriction.Draining
	})
	for _, s := range stores {
		if err := s.Close(); err != nil {
			t.Fatal(err)
		}
	}
	return configs[0]
}

// waitUntil polls until a condition is true or the test ends.
func waitUntil(t *testing.T, description string, condition func() bool) {
	t.Helper()
	for !condition() {
		if t.Context().Err() != nil {
			t.Fatalf("test ended before the condition was true: %s", description)
		}
		time.Sleep(time.Millisecond)
	}
}

// Guards against a restarted coordinator that acts on its file until a leader tells it what is committed. Without a
// quorum, the platform is served at once and the drains that were applied before the restart are kept; searches, whose
// settings may have changed meanwhile, are refused at once, honestly and counted.
func TestRestartWithoutQuorumServesPlatformAndKeepsDrains(t *testing.T) {
	storeConfig := storeWithDrain(t, "s-1a")
	began := time.Now()
	b := newTestbed(t, 3, func(cfg *Config) { cfg.Search.Store = storeConfig })
	if took := time.Since(began); took > readyLimit {
		t.Errorf("start took %s, want at most %s", took, readyLimit)
	}
	const queries = 20
	for i := range queries {
		if status, out := b.query(b.platform, "whole", 15*time.Second, 0, 1, 2); status != 200 || !out.Exact {
			t.Errorf("query %d: status = %d, response %+v; want a complete answer", i, status, out)
		}
	}
	parts, _ := b.partsSince(0)
	for _, p := range parts {
		if p.server == "s-1a" {
			t.Errorf("part %s sent to s-1a, which was drained before the restart", p.name)
		}
	}
	if len(parts) < 3*queries {
		t.Errorf("%d parts sent, want at least %d", len(parts), 3*queries)
	}
	if status, got := b.searchIndex("players", ``); status != 503 || got.Error.Type != "cluster_block_exception" {
		t.Errorf("search: status = %d, response %+v; want 503, cluster_block_exception", status, got)
	}
	if got := b.p.Counters().Get("search_not_caught_up"); got != 1 {
		t.Errorf("search_not_caught_up = %d, want 1", got)
	}
	res := b.search.do("GET", fmt.Sprintf("/_cluster/settings?read=%s", store.Local), "", nil)
	if res.Status != 200 {
		t.Errorf("local read of the settings: status = %d, want 200", res.Status)
	}
}
