package opensearch

import (
	"errors"
	"testing"

	"linkpass/internal/searchconfig"
	"linkpass/internal/store"
)

func TestStoreSettingsHandlerMapsErrors(t *testing.T) {
	r := &fakeSettingsStore{}
	f := newFront(&fakeCore{})
	f.Settings = StoreSettingsHandler(r)
	const body = `{"persistent":{"indices.players.class":"league-table"},"transient":{}}`
	if res, out := serve(f, "PUT", "/_cluster/settings", body); res.Status != 200 || out["acknowledged"] != true ||
		r.patch != `{"indices.players.class":"league-table"}` {
		t.Errorf("%d %s, patch %s", res.Status, res.Body, r.patch)
	}
	for _, bad := range []string{``, `{}`, `{"transient":{"a":1}}`, `[]`} {
		if res, _ := serve(f, "PUT", "/_cluster/settings", bad); res.Status != 400 {
			t.Errorf("%q: %d", bad, res.Status)
		}
	}
	for _, c := range []struct {
		err    error
		status int
	}{
		{&store.NotLeaderError{Leader: store.Member{ID: "b", HTTP: "127.0.0.1:9201"}}, 307},
		{store.ErrNoLeader, 503}, {store.ErrNoQuorum, 503}, {searchconfig.ErrInvalid, 400}, {errors.New("odd"), 503},
	} {
		r.err = c.err
		res, out := serve(f, "PUT", "/_cluster/settings", body)
		if res.Status != c.status || out["error"] == nil {
			t.Errorf("%v: %d %s", c.err, res.Status, res.Body)
		}
		if c.status == 307 && res.Header.Get("Location") != "http://127.0.0.1:9201/_cluster/settings" {
			t.Errorf("the follower names %q", res.Header.Get("Location"))
		}
	}
	if res, out := serve(f, "GET", "/_cluster/settings?local=true", ""); res.Status != 200 || out["persistent"] == nil {
		t.Errorf("%d %s", res.Status, res.Body)
	}
	if res, _ := serve(newFront(&fakeCore{}), "PUT", "/_cluster/settings", body); res.Status != 400 {
		t.Errorf("without a store: %d", res.Status)
	}
}
