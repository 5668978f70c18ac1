package control

import (
	"context"
	"errors"
	"time"

	"linkpass/internal/control/seal"
	"linkpass/internal/counters"
	"linkpass/internal/event"
	"linkpass/internal/http1"
)

// Sealed serves the API to signed calls alone.
type Sealed struct {
	Handler  http1.Handler
	Check    func(header string, c seal.Call) error
	Counters *counters.Set

	lines event.Lines
}

// Serve answers one call, after a look at its signature.
func (s *Sealed) Serve(ctx context.Context, began time.Duration, req *http1.Request) *http1.Response {
	target := req.Path
	if req.Query != "" {
		target += "?" + req.Query
	}
	err := s.Check(req.Header.Get("Authorization"), seal.Call{Method: req.Method, Target: target, Body: req.Body})
	if err == nil {
		return s.Handler.Serve(ctx, began, req)
	}
	s.Counters.Add("control_unsigned", 1)
	s.lines.Log(event.CallRefused, err)
	if errors.Is(err, seal.ErrCrowded) {
		return fail(429, err)
	}
	return fail(401, err)
}
