package opensearch

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"linkpass/internal/metrics"
	"linkpass/internal/searchconfig"
	"linkpass/internal/store"
)

func TestStoreSettingsHandlerMapsErrors(t *testing.T) {
	r := &fakeSettingsStore{}
	f := newFront(&fakeCore{})
	f.Settings = StoreSettingsHandler(r, metrics.NewCounters())
	const body = `{"persistent":{"indices.players.class":"league-table"},"transient":{}}`
	if res, out := serve(f, "PUT", "/_cluster/settings", body); res.Status != 200 || out["acknowledged"] != true ||
		r.patch != `{"indices.players.class":"league-table"}` {
		t.Errorf("status %d, body %s, patch %s, want status 200, acknowledged, the persistent settings of %s",
			res.Status, res.Body, r.patch, body)
	}
	for _, invalid := range []string{``, `{}`, `{"transient":{"a":1}}`, `[]`} {
		if res, _ := serve(f, "PUT", "/_cluster/settings", invalid); res.Status != 400 {
			t.Errorf("%q: status = %d, want 400", invalid, res.Status)
		}
	}
	for _, c := range []struct {
		err    error
		status int
	}{
		{&store.NotLeaderError{Leader: store.Member{ID: "b", HTTP: "127.0.0.1:9201"}}, 307},
		{store.ErrNoLeader, 503}, {store.ErrNoQuorum, 503}, {searchconfig.ErrInvalid, 400},
		// Neither 429 nor 503, which say that nothing was changed.
		{errors.New("odd"), 500}, {fmt.Errorf("%w: %w", store.ErrOutcomeUnknown, store.ErrNoQuorum), 504},
		{fmt.Errorf("%w: %w", store.ErrOutcomeUnknown, context.DeadlineExceeded), 504}, {store.ErrConflict, 409},
	} {
		r.err = c.err
		res, out := serve(f, "PUT", "/_cluster/settings", body)
		if res.Status != c.status || out["error"] == nil {
			t.Errorf("%v: status %d, body %s, want status %d and an error", c.err, res.Status, res.Body, c.status)
		}
		if c.status == 307 && res.Header.Get("Location") != "http://127.0.0.1:9201/_cluster/settings" {
			t.Errorf("Location = %q, want the leader's settings", res.Header.Get("Location"))
		}
	}
	if res, out := serve(f, "GET", "/_cluster/settings?local=true", ""); res.Status != 200 || out["persistent"] == nil {
		t.Errorf("local read: status %d, body %s, want status 200 and persistent settings", res.Status, res.Body)
	}
	if res, _ := serve(newFront(&fakeCore{}), "PUT", "/_cluster/settings", body); res.Status != 400 {
		t.Errorf("status without a store = %d, want 400", res.Status)
	}
}
