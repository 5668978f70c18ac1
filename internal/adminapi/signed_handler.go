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

// SignedHandler serves the API to calls with a valid signature only.
type SignedHandler struct {
	Handler  http1.Handler
	Verify   func(header string, c signature.Call) error
	Counters *metrics.Counters

	rejections eventlog.RateLimited
}

// Serve verifies a call's signature and forwards the call to Handler.
func (s *SignedHandler) Serve(ctx context.Context, began time.Duration, req *http1.Request) *http1.Response {
	target := req.Path
	if req.Query != "" {
		target += "?" + req.Query
	}
	call := signature.Call{Method: req.Method, Target: target, Body: req.Body}
	err := s.Verify(req.Header.Get("Authorization"), call)
	if err == nil {
		return s.Handler.Serve(ctx, began, req)
	}
	s.Counters.Add("admin_api_unsigned", 1)
	s.rejections.Log(eventlog.CallRejected, err)
	if errors.Is(err, signature.ErrTooManyCalls) {
		return errorResponse(429, err)
	}
	return errorResponse(401, err)
}
