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

const headerAuthorization = "Authorization"

// HeaderFields are the header fields that the handlers of this package read.
var HeaderFields = []string{headerAuthorization}

// SignedHandler forwards calls with a valid signature to Handler and rejects all others: with status 429 after
// signature.ErrTooManyCalls, else with status 401. It is safe for concurrent use if Handler and Verify are.
type SignedHandler struct {
	Handler  http1.Handler
	Verify   func(header string, c signature.Call) error // checks the Authorization header of a call
	Counters *metrics.Counters                           // counts the rejected calls

	rejectionLog eventlog.RateLimited // limits the log lines about rejected calls
}

// Serve verifies the signature of a call and forwards the call to Handler.
func (s *SignedHandler) Serve(ctx context.Context, began time.Duration, req *http1.Request) *http1.Response {
	target := req.Path
	if req.Query != "" {
		target += "?" + req.Query
	}
	call := signature.Call{Method: req.Method, Target: target, Body: req.Body}
	var err error
	req.Work(func() { err = s.Verify(req.Header.Get(headerAuthorization), call) })
	if err == nil {
		return s.Handler.Serve(ctx, began, req)
	}
	s.Counters.Add("admin_api_unsigned", 1)
	s.rejectionLog.Log(eventlog.CallRejected, err)
	if errors.Is(err, signature.ErrTooManyCalls) {
		return errorResponse(429, err)
	}
	return errorResponse(401, err)
}
