package opensearch

import (
	"context"
	"testing"
	"time"

	"linkpass/internal/coordinator"
	"linkpass/internal/http1"
	"linkpass/internal/outcome"
)

func TestSearchAnswerListsMissingShards(t *testing.T) {
	missing := []coordinator.MissingPart{{Shard: 2, LastOutcome: outcome.Timeout, Attempted: true}}
	partial := func(q coordinator.Query) coordinator.Answer {
		a := completeAnswer(q)
		a.Complete, a.Values, a.Missing, a.TimedOut = false, a.Values[:2], missing, true
		return a
	}
	withoutValues := func(status coordinator.Status, retryAfter time.Duration, timedOut bool) func(coordinator.Query) coordinator.Answer {
		return func(coordinator.Query) coordinator.Answer {
			return coordinator.Answer{Status: status, RetryAfter: retryAfter, TimedOut: timedOut, Missing: missing}
		}
	}
	for name, c := range map[string]struct {
		answer     func(coordinator.Query) coordinator.Answer
		params     string
		status     int
		timedOut   bool
		retryAfter string
	}{
		"partial":              {partial, "", 200, true, ""},
		"partial, not allowed": {partial, "?allow_partial_search_results=false", 504, true, ""},
		"rejected":             {withoutValues(coordinator.Rejected, 250*time.Millisecond, false), "", 429, false, "0.250"},
		"timeout":              {withoutValues(coordinator.Failed, 0, true), "", 504, true, ""},
		"failed":               {withoutValues(coordinator.Failed, 0, false), "", 500, false, ""},
	} {
		t.Run(name, func(t *testing.T) {
			res, out := serve(newFront(&fakeCore{answer: c.answer}), "POST", "/players/_search"+c.params, "")
			counts, _ := out["_shards"].(map[string]any)
			failures, _ := counts["failures"].([]any)
			if res.Status != c.status || out["timed_out"] != c.timedOut || res.Header.Get("Retry-After") != c.retryAfter ||
				len(failures) != 1 || counts["total"] != 3.0 ||
				counts["failed"].(float64)+counts["successful"].(float64) != 3 {
				t.Errorf("status %d, header %v, body %s, want status %d, timed_out %v, Retry-After %q, 3 shards, 1 failure",
					res.Status, res.Header, res.Body, c.status, c.timedOut, c.retryAfter)
			}
		})
	}
}

func TestSearchIsCanceledWithItsContext(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	res := newFront(&fakeCore{}).Serve(ctx, 0, &http1.Request{Method: "POST", Path: "/players/_search"})
	if res.Status == 200 {
		t.Errorf("status = %d for a search with a canceled context, want an error", res.Status)
	}
}
