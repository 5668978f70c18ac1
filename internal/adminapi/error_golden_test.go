package adminapi

import (
	"encoding/json"
	"errors"
	"fmt"
	"testing"

	"linkpass/internal/config"
	"linkpass/internal/config/restriction"
	"linkpass/internal/endpoints"
	"linkpass/internal/searchconfig"
	"linkpass/internal/store"
)

// Each error of the coordinator gives its status, and its text in the error object. The texts are not part of the wire
// format.
func TestHandlerRespondsToCoordinatorError(t *testing.T) {
	otherLeader := &store.NotLeaderError{Leader: store.Member{ID: "b", HTTP: "127.0.0.1:9200"}}
	rejected := &endpoints.RejectedError{Result: config.Result{Reason: config.ServerNotFound}}
	for _, c := range []struct {
		name   string
		err    error
		status int
		suffix string // what the response adds to the error's text
	}{
		{"not the leader", otherLeader, 421, "; ask there"},
		{"rejected by the log", rejected, 409, ""},
		{"no store", ErrNoStore, 409, ""},
		{"unknown member", store.ErrUnknownMember, 409, ""},
		{"quorum at risk", store.ErrQuorumAtRisk, 409, ""},
		{"learner behind", store.ErrLearnerBehind, 409, ""},
		{"too large", store.ErrTooLarge, 413, ""},
		{"busy", store.ErrRateLimited, 429, ""},
		{"no quorum", store.ErrNoQuorum, 503, ""},
		{"no leader", store.ErrNoLeader, 503, ""},
		{"too many pending", restriction.ErrTooManyPending, 503, ""},
		{"store not open", endpoints.ErrStoreNotReady, 503, ""},
		{"another change", store.ErrConflict, 409, ""},
		{"invalid settings", searchconfig.ErrInvalid, 400, ""},
		// Neither 429 nor 503, which say that nothing was changed.
		{"unknown outcome", fmt.Errorf("%w: %w", store.ErrOutcomeUnknown, store.ErrNoQuorum), 504, ""},
		{"in force, not on disk", endpoints.ErrNotOnDisk, 500, ""},
		{"other", errors.New("odd"), 500, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			requireErrorResponses(t, c.err, c.status, c.err.Error()+c.suffix)
		})
	}
}

// requireErrorResponses checks the status and the text of the response to each call that can fail, if the coordinator
// returns an error.
func requireErrorResponses(t *testing.T, err error, status int, text string) {
	t.Helper()
	quoted, quoteErr := json.Marshal(text)
	if quoteErr != nil {
		t.Fatal(quoteErr)
	}
	want := fmt.Sprintf(`{"error":%s}`, quoted)
	handler := Handler{&fakeCoordinator{err: err}}
	for _, call := range []struct{ method, target, request string }{
		{"GET", "/v1/servers/agreed", ""},
		{"PUT", "/v1/servers/order", "server_order_request.json"},
		{"PUT", "/v1/store/members", "member_order_request.json"},
	} {
		res := serve(handler, call.method, call.target, readRequestBody(t, call.request))
		if res.Status != status || string(res.Body) != want {
			t.Errorf("%s %s: status = %d %s, want %d %s", call.method, call.target, res.Status, res.Body, status, want)
		}
	}
}

// An invalid request, or a call that needs a component that is absent, gets an error status and an error object.
func TestHandlerRejectsInvalidRequest(t *testing.T) {
	for _, c := range []struct {
		method, target, body string
		err                  error
		status               int
	}{
		{"GET", "/v2/status", "", nil, 404},
		{"GET", "/v1/none", "", nil, 404},
		{"POST", "/v1/status", "", nil, 404},
		{"PUT", "/v1/servers/order", "[", nil, 400},
		{"PUT", "/v1/store/members", "[", nil, 400},
		{"GET", "/v1/servers", "", ErrCoreBusy, 503},
		{"PUT", "/v1/config/reload", "", ErrNoStore, 409},
		{"GET", "/v1/store/document", "", nil, 409},
		{"GET", "/v1/store/backup", "", nil, 409},
		{"PUT", "/v1/store/document", "{}", nil, 409},
	} {
		t.Run(fmt.Sprint(c.method, " ", c.target, " ", c.status), func(t *testing.T) {
			res := serve(Handler{&fakeCoordinator{err: c.err}}, c.method, c.target, []byte(c.body))
			var body map[string]string
			err := json.Unmarshal(res.Body, &body)
			if err != nil || res.Status != c.status || len(body) != 1 || body["error"] == "" {
				t.Errorf("status = %d %s, decode error %v; want %d and an error object",
					res.Status, res.Body, err, c.status)
			}
		})
	}
}
