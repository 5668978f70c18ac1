package opensearch

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"time"

	"linkpass/internal/eventlog"
	"linkpass/internal/http1"
	"linkpass/internal/searchconfig"
	"linkpass/internal/store"
)

// ReplicatedSettings is the settings' store.
type ReplicatedSettings interface {
	ReadWith(store.ReadOptions) (*searchconfig.Config, error)
	PatchSettings(patch []byte) (*searchconfig.Config, error)
}

// StoreSettingsHandler answers /_cluster/settings from a store: GET reads (with
// local=true what this instance has), PUT changes by a merge patch.
func StoreSettingsHandler(s ReplicatedSettings) http1.Handler {
	return http1.HandlerFunc(func(_ context.Context, _ time.Duration, req *http1.Request) *http1.Response {
		params, err := url.ParseQuery(req.Query)
		if err != nil {
			return errorResponse(badRequest("illegal_argument_exception", err.Error()))
		}
		switch req.Method {
		case "GET":
			how, err := store.ParseReadOptions(params)
			if err != nil {
				return errorResponse(badRequest("illegal_argument_exception", err.Error()))
			}
			c, err := s.ReadWith(how)
			if err != nil {
				return storeError(err, "/_cluster/settings")
			}
			return settingsResponse(c, false)
		case "PUT":
			patch, bad := patchOf(req.Body)
			if bad != nil {
				return errorResponse(bad)
			}
			c, err := s.PatchSettings(patch)
			if err != nil {
				return storeError(err, "/_cluster/settings")
			}
			return settingsResponse(c, true)
		}
		return errorResponse(&apiError{Type: "illegal_argument_exception", Status: 405,
			Reason: fmt.Sprintf("Incorrect HTTP method for uri [%s] and method [%s], allowed: [GET, PUT]", req.Path, req.Method)})
	})
}

// patchOf takes the persistent part of a change.
func patchOf(body []byte) (json.RawMessage, *apiError) {
	var change map[string]json.RawMessage
	if err := json.Unmarshal(body, &change); err != nil {
		return nil, badRequest("json_parse_exception", err.Error())
	}
	for key, value := range change {
		if key != "persistent" && !(key == "transient" && string(value) == "{}") {
			return nil, badRequest("illegal_argument_exception", fmt.Sprintf("[%.40s] settings are not supported", key))
		}
	}
	if len(change["persistent"]) == 0 {
		return nil, badRequest("action_request_validation_exception", "no settings to update")
	}
	return change["persistent"], nil
}

// storeError words why the store could not answer. A follower names the leader.
func storeError(err error, path string) *http1.Response {
	var other *store.NotLeaderError
	c := &apiError{Type: "cluster_manager_not_discovered_exception", Reason: err.Error(), Status: 503}
	switch {
	case errors.As(err, &other):
		res := errorResponse(&apiError{Type: "not_cluster_manager_exception", Reason: err.Error(), Status: 307})
		res.Header["Location"] = []string{"http://" + other.Leader.HTTP + path}
		return res
	case errors.Is(err, searchconfig.ErrInvalid):
		return errorResponse(badRequest("illegal_argument_exception", err.Error()))
	case errors.Is(err, store.ErrTooLarge):
		return errorResponse(&apiError{Type: "content_too_long_exception", Reason: err.Error(), Status: 413})
	case errors.Is(err, store.ErrBusy):
		return errorResponse(&apiError{Type: "circuit_breaking_exception", Reason: err.Error(), Status: 429})
	case errors.Is(err, store.ErrNoQuorum):
		c.Type = "process_cluster_event_timeout_exception"
	}
	eventlog.StoreFailed.Log(err)
	return errorResponse(c)
}
