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
	part := func(q coordinator.Query) coordinator.Answer {
		a := completeAnswer(q)
		a.Complete, a.Values, a.Missing, a.TimedOut = false, a.Values[:2], missing, true
		return a
	}
	as := func(v coordinator.Status, retry time.Duration, late bool) func(coordinator.Query) coordinator.Answer {
		return func(coordinator.Query) coordinator.Answer {
			return coordinator.Answer{Status: v, RetryAfter: retry, TimedOut: late, Missing: missing}
		}
	}
	for name, c := range map[string]struct {
		answer   func(coordinator.Query) coordinator.Answer
		params   string
		status   int
		timedOut bool
		retry    string
	}{
		"in part":         {part, "", 200, true, ""},
		"part not wanted": {part, "?allow_partial_search_results=false", 504, true, ""},
		"refused":         {as(coordinator.Rejected, 250*time.Millisecond, false), "", 429, false, "0.250"},
		"timeout":         {as(coordinator.Failed, 0, true), "", 504, true, ""},
		"failed":          {as(coordinator.Failed, 0, false), "", 503, false, ""},
	} {
		res, out := serve(newFront(&fakeCore{answer: c.answer}), "POST", "/players/_search"+c.params, "")
		counts, _ := out["_shards"].(map[string]any)
		failures, _ := counts["failures"].([]any)
		if res.Status != c.status || out["timed_out"] != c.timedOut || res.Header.Get("Retry-After") != c.retry ||
			len(failures) != 1 || counts["total"] != 3.0 || counts["failed"].(float64)+counts["successful"].(float64) != 3 {
			t.Errorf("%s: %d %v %s", name, res.Status, res.Header, res.Body)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel() // the client has gone
	if res := newFront(&fakeCore{}).Serve(ctx, 0, &http1.Request{Method: "POST", Path: "/players/_search"}); res.Status == 200 {
		t.Error("an answer to a client that left")
	}
}
