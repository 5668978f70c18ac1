package coordinator

import (
	"testing"

	"linkpass/internal/outcome"
	"linkpass/internal/shardmap"
)

// The first answer covers only a subrange. Of the answers to the remaining keys, the first does not say what it
// covers and the second covers more than was requested; both are refused and retried.
func TestPartialCoverageRequestsRestAndRetriesUnknownOrDuplicate(t *testing.T) {
	testResharding(t, 1, func(t *testing.T, r *reshardingCore) {
		answers := r.search(shardmap.FullRange)
		quarters := shardmap.FullRange.Split(4)
		first := shardmap.Range{First: quarters[0].First, Last: quarters[2].Last}
		r.end(r.newAttempts()[0], Result{Outcome: outcome.Success, Covers: &first, Value: []byte("v")})
		rest := r.newAttempts()
		if len(rest) != 1 || rest[0].Request.Range != quarters[3] || !rest[0].Request.Subrange {
			t.Fatalf("attempts for the remaining keys: %+v, want one for the subrange %s", rest, quarters[3])
		}
		r.end(rest[0], Result{Outcome: outcome.Success, Value: []byte("v")})
		if n := r.core.counters.Get("attempts_unknown_coverage"); n != 1 {
			t.Errorf("%d attempts of unknown coverage, want 1", n)
		}
		retries := r.newAttempts()
		r.end(retries[0], Result{Outcome: outcome.Success, Covers: &shardmap.FullRange, Value: []byte("v")})
		if n := r.core.counters.Get("attempts_duplicate_coverage"); n != 1 {
			t.Errorf("%d attempts of duplicate coverage, want 1", n)
		}
		retries = r.newAttempts()
		r.end(retries[0], Result{Outcome: outcome.Success, Covers: &quarters[3], Value: []byte("v")})
		checkCoverage(t, onlyAnswer(t, answers, Answered), shardmap.FullRange)
	})
}

// An answer that covers more than was requested is refused, even if the additional keys are not answered yet. The
// query stays open until a part with a single key is answered, too.
func TestCoverageBeyondRequestIsRefusedAndSingleKeyAwaited(t *testing.T) {
	testResharding(t, 2, func(t *testing.T, r *reshardingCore) {
		half, key := shardmap.FullRange.Split(2)[0], shardmap.Range{First: shardmap.FullRange.Last, Last: shardmap.FullRange.Last}
		answers := r.search(half, key)
		attempts := r.newAttempts()
		r.end(attempts[0], Result{Outcome: outcome.Success, Covers: &shardmap.FullRange, Value: []byte("v")})
		if n := r.core.counters.Get("attempts_duplicate_coverage"); n != 1 {
			t.Errorf("%d attempts of duplicate coverage, want 1", n)
		}
		r.answer(r.newAttempts()...)
		if r.core.OpenCount() == 0 {
			t.Fatal("the query was answered without the single key")
		}
		r.answer(attempts[1])
		checkCoverage(t, onlyAnswer(t, answers, Answered), half, key)
	})
}
