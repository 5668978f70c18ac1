package coordinator

import (
	"testing"

	"linkpass/internal/outcome"
	"linkpass/internal/shardmap"
)

// A server answers a subrange; then one does not say what it covers, and one covers more than was requested.
func TestPartialUnknownAndDuplicateCoverage(t *testing.T) {
	testResharding(t, 1, func(t *testing.T, r *reshardingCore) {
		answers := r.search(shardmap.FullRange)
		quarters := shardmap.FullRange.Split(4)
		first := shardmap.Range{First: quarters[0].First, Last: quarters[2].Last}
		r.end(r.newAttempts()[0], Result{Outcome: outcome.Success, Covers: &first, Value: []byte("v")})
		rest := r.newAttempts()
		if len(rest) != 1 || rest[0].Request.Range != quarters[3] || !rest[0].Request.Subrange {
			t.Fatalf("the rest: %+v", rest)
		}
		r.end(rest[0], Result{Outcome: outcome.Success, Value: []byte("v")})
		if n := r.core.counters.Get("attempts_unknown_coverage"); n != 1 {
			t.Errorf("%d of unknown coverage", n)
		}
		retries := r.newAttempts()
		r.end(retries[0], Result{Outcome: outcome.Success, Covers: &shardmap.FullRange, Value: []byte("v")})
		if n := r.core.counters.Get("attempts_duplicate_coverage"); n != 1 {
			t.Errorf("%d of duplicate coverage", n)
		}
		retries = r.newAttempts()
		r.end(retries[0], Result{Outcome: outcome.Success, Covers: &quarters[3], Value: []byte("v")})
		checkCoverage(t, onlyAnswer(t, answers, Answered), shardmap.FullRange)
	})
}

// Coverage beyond the request counts for nothing, even of keys that are not yet answered; a single key is waited for.
func TestCoverageBeyondRequestAndSingleKey(t *testing.T) {
	testResharding(t, 2, func(t *testing.T, r *reshardingCore) {
		half, key := shardmap.FullRange.Split(2)[0], shardmap.Range{First: shardmap.FullRange.Last, Last: shardmap.FullRange.Last}
		answers := r.search(half, key)
		attempts := r.newAttempts()
		r.end(attempts[0], Result{Outcome: outcome.Success, Covers: &shardmap.FullRange, Value: []byte("v")})
		if n := r.core.counters.Get("attempts_duplicate_coverage"); n != 1 {
			t.Errorf("%d of duplicate coverage", n)
		}
		r.answer(r.newAttempts()...)
		if r.core.OpenCount() == 0 {
			t.Fatal("answered without the single key")
		}
		r.answer(attempts[1])
		checkCoverage(t, onlyAnswer(t, answers, Answered), half, key)
	})
}
