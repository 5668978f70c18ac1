package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"strconv"
	"strings"
	"time"

	"linkpass/internal/config/restriction"
	"linkpass/internal/config/rollback"
	"linkpass/internal/endpoints"
	"linkpass/internal/http1"
	"linkpass/internal/store"
)

const maxRestrictionsBody = 64 << 10 // bytes of one call

// memberHandler serves the calls of the store's other members, and passes all other requests to the search front.
type memberHandler struct {
	registry *endpointRegistry
	front    http1.Handler
}

// Serve answers one request.
func (h *memberHandler) Serve(ctx context.Context, began time.Duration, req *http1.Request) *http1.Response {
	switch {
	case h.registry.registry == nil:
		return h.front.Serve(ctx, began, req)
	case req.Path == versionPath && req.Method == "GET":
		version := h.registry.store.get().State().Version()
		return &http1.Response{Status: 200, Body: strconv.AppendUint(nil, version, 10)}
	case req.Path == confirmedVersionPath && req.Method == "GET":
		return h.confirmedVersion(ctx)
	case req.Path == positionPath:
		return h.receivePosition(req)
	case req.Path == restrictionsPath:
		return h.receiveRestrictions(req)
	}
	return h.front.Serve(ctx, began, req)
}

// confirmedVersion returns the version of the state if this instance leads the store.
func (h *memberHandler) confirmedVersion(ctx context.Context) *http1.Response {
	version, err := h.registry.store.get().ConfirmedVersion(ctx)
	if err != nil {
		return &http1.Response{Status: 503, Body: []byte(err.Error() + "\n")}
	}
	return &http1.Response{Status: 200, Body: strconv.AppendUint(nil, version, 10)}
}

// receivePosition handles another member's report of how far its log is.
func (h *memberHandler) receivePosition(req *http1.Request) *http1.Response {
	var report rollback.Report
	if err := json.Unmarshal(req.Body, &report); req.Method != "POST" || err != nil || report.ID == "" {
		h.registry.counters.Add("position_reports_malformed", 1)
		return &http1.Response{Status: 400, Body: []byte("the body is not a position report\n")}
	}
	if err := h.registry.store.get().ObservePosition(report); err != nil {
		h.registry.counters.Add("position_reports_rejected", 1)
		return &http1.Response{Status: 409, Body: []byte(err.Error() + "\n")}
	}
	return &http1.Response{Status: 200}
}

// receiveRestrictions handles another member's broadcast of pending restrictions.
func (h *memberHandler) receiveRestrictions(req *http1.Request) *http1.Response {
	var pending []restriction.Request
	err := json.Unmarshal(req.Body, &pending)
	if req.Method != "POST" || err != nil || len(req.Body) > maxRestrictionsBody || len(pending) > restriction.MaxPending {
		h.registry.counters.Add("restrictions_malformed", 1)
		return &http1.Response{Status: 400, Body: []byte("the body is not a list of orders, or it is too long\n")}
	}
	members := h.registry.store.get().Members()
	received := len(pending)
	// The state keeps what the log decides of each restriction, so one of an instance that never was a member would
	// stay in it forever.
	pending = slices.DeleteFunc(pending, func(r restriction.Request) bool {
		return !isMember(members, r.ID.Origin.Instance)
	})
	h.registry.counters.Add("restrictions_malformed", int64(received-len(pending)))
	from := "another instance"
	if id, ok := strings.CutPrefix(req.Query, "from="); ok && isMember(members, id) {
		from = id
	}
	switch err := h.registry.registry.ReceiveRestrictions(from, pending); {
	case errors.Is(err, endpoints.ErrStoreNotReady):
		return &http1.Response{Status: 503, Body: []byte(err.Error() + "\n")}
	case err != nil: // in force here, and not on disk
		return &http1.Response{Status: 500, Body: []byte(err.Error() + "\n")}
	}
	return &http1.Response{Status: 200}
}

func isMember(members []store.Member, id string) bool {
	return slices.ContainsFunc(members, func(m store.Member) bool { return m.ID == id })
}
