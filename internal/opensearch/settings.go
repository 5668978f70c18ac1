package opensearch

import (
	"context"
	"encoding/json"
	"net/url"
	"time"

	"linkpass/internal/http1"
	"linkpass/internal/metrics"
	"linkpass/internal/searchconfig"
	"linkpass/internal/store"
)

const settingsPath = "/_cluster/settings"

// ReplicatedSettings are the settings in the replicated store. Its errors are those of package store, or
// searchconfig.ErrInvalid for a patch that results in invalid settings.
type ReplicatedSettings interface {
	// ReadWith returns the settings, read with the given consistency.
	ReadWith(store.ReadOptions) (*searchconfig.Config, error)
	// PatchSettings applies a merge patch and returns the new settings.
	PatchSettings(patch []byte) (*searchconfig.Config, error)
}

// StoreSettingsHandler returns a handler that serves /_cluster/settings from the store: GET reads the settings
// (with local=true those that this instance has), PUT changes them by a merge patch.
func StoreSettingsHandler(s ReplicatedSettings, counters *metrics.Counters) http1.Handler {
	return http1.HandlerFunc(func(_ context.Context, _ time.Duration, req *http1.Request) *http1.Response {
		params, err := url.ParseQuery(req.Query)
		if err != nil {
			return errorResponse(illegalArgument("%v", err))
		}
		switch req.Method {
		case "GET":
			return readSettings(s, params, req, counters)
		case "PUT":
			return patchSettings(s, req.Body, counters)
		}
		return errorResponse(methodNotAllowed(req, "GET, PUT"))
	})
}

func readSettings(
	s ReplicatedSettings, params url.Values, req *http1.Request, counters *metrics.Counters,
) (res *http1.Response) {
	options, err := store.ParseReadOptions(params)
	if err != nil {
		return errorResponse(illegalArgument("%v", err))
	}
	c, err := s.ReadWith(options)
	if err != nil {
		return storeErrorResponse(err, settingsPath, counters)
	}
	req.Work(func() { res = settingsResponse(c, false) })
	return res
}

func patchSettings(s ReplicatedSettings, body []byte, counters *metrics.Counters) *http1.Response {
	patch, invalid := decodePatch(body)
	if invalid != nil {
		return errorResponse(invalid)
	}
	c, err := s.PatchSettings(patch)
	if err != nil {
		return storeErrorResponse(err, settingsPath, counters)
	}
	return settingsResponse(c, true)
}

// decodePatch returns the merge patch of a request: its persistent settings. Transient settings are not supported.
func decodePatch(body []byte) (json.RawMessage, *apiError) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, badRequest(errTypeJSONParse, err.Error())
	}
	for key, value := range fields {
		if key != "persistent" && !(key == "transient" && string(value) == "{}") {
			return nil, illegalArgument("[%.40s] settings are not supported", key)
		}
	}
	if len(fields["persistent"]) == 0 {
		return nil, badRequest(errTypeValidation, "no settings to update")
	}
	return fields["persistent"], nil
}

// FixedSettingsHandler returns a handler that serves /_cluster/settings on an instance without a store, whose
// settings come from a file: it rejects every method except GET.
func FixedSettingsHandler(current func() *searchconfig.Config) http1.Handler {
	return http1.HandlerFunc(func(_ context.Context, _ time.Duration, req *http1.Request) (res *http1.Response) {
		if req.Method != "GET" {
			return errorResponse(illegalArgument(
				"the store is off: settings come from the file and stay as they are"))
		}
		req.Work(func() { res = settingsResponse(current(), false) })
		return res
	})
}

func settingsResponse(c *searchconfig.Config, changed bool) *http1.Response {
	out := map[string]any{"persistent": c, "transient": struct{}{}}
	if changed {
		out["acknowledged"] = true
	}
	return jsonResponse(200, out)
}
