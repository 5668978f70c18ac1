package coordinator

import (
	"slices"
	"testing"

	"linkpass/internal/routing"
)

// Attempts of one turn share a request to their server up to Settings.PartsPerRequest, whatever goes to other servers
// meanwhile.
func TestAttemptsOfOneTurnShareRequests(t *testing.T) {
	settings := testSettings()
	settings.PartsPerRequest = 2
	core := newTestCore(t, settings)
	q := &query{}
	for i := range 5 {
		for _, server := range []routing.ServerID{7, 8} {
			core.addToBatch(&attempt{id: AttemptID{Part: routing.RequestID(i)}, part: &part{query: q}, server: server}, 0)
		}
	}
	sizes := map[routing.ServerID][]int{}
	for _, b := range core.batches {
		sizes[b.server] = append(sizes[b.server], len(b.attempts))
	}
	for server, got := range sizes {
		if want := []int{2, 2, 1}; !slices.Equal(got, want) {
			t.Errorf("server %d got requests of %v attempts, want %v", server, got, want)
		}
	}
	if len(sizes) != 2 {
		t.Errorf("requests went to %d servers, want 2", len(sizes))
	}
}
