package adminapi

import (
	"context"
	"errors"
	"time"

	"linkpass/internal/adminapi/signature"
	"linkpass/internal/eventlog"
	"linkpass/internal/http1"
	"linkpass/internal/metrics"
)

// SignedHandler serves the API to signed calls alone.
type SignedHandler struct {
	Handler  http1.Handler
	Check    func(header string, c signature.Call) error
	Counters *metrics.Counters

	lines eventlog.RateLimited
}

// Serve answers one call, after a look at its signature.
func (s *SignedHandler) Serve(ctx context.Context, began time.Duration, req *http1.Request) *http1.Response {
	target := req.Path
	if req.Query != "" {
		target += "?" + req.Query
	}
	err := s.Check(req.Header.Get("Authorization"), signature.Call{Method: req.Method, Target: target, Body: req.Body})
	if err == nil {
		return s.Handler.Serve(ctx, began, req)
	}
	s.Counters.Add("admin_api_unsigned", 1)
	s.lines.Log(eventlog.CallRejected, err)
	if errors.Is(err, signature.ErrCrowded) {
		return fail(429, err)
	}
	return fail(401, err)
}
