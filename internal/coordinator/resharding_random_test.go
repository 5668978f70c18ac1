package coordinator

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"linkpass/internal/outcome"
	"linkpass/internal/shardmap"
)

// For random reshardings, failures and partial answers, each query gets exactly one answer, in time. It is complete
// only if every requested key was answered once, and it lists every missing key.
func TestRandomReshardingAnswersOnceWithExactCoverage(t *testing.T) {
	seen := map[string]int{}
	for seed := range uint64(60) {
		testResharding(t, 4, func(t *testing.T, r *reshardingCore) {
			rng := rand.New(rand.NewPCG(seed, 3))
			fifths := shardmap.FullRange.Split(5)
			requested := fifths[:1+rng.IntN(5)]
			answers := r.search(requested...)
			for r.core.OpenCount() > 0 { // the core's reply orders the reading of the answer after its delivery
				r.endRandomly(rng)
			}
			wait(3 * time.Second)
			a := (*answers)[0]
			if len(*answers) != 1 {
				t.Fatalf("seed %d: %d answers, want 1", seed, len(*answers))
			}
			if a.Status == Answered {
				checkCoverage(t, a, requested...)
			}
			seen[fmt.Sprint(a.Status, a.Complete)]++
			seen["replans"] += int(r.core.counters.Get("replans"))
			if n := len(r.core.parts) + len(r.core.queries) + len(r.core.attempts); n != 0 {
				t.Errorf("seed %d: %d parts, queries and attempts after the answer, want 0", seed, n)
			}
		})
	}
	if seen["0 true"] < 20 || seen["replans"] < 40 {
		t.Errorf("counts %v, want at least 20 complete answers (\"0 true\") and 40 replans", seen)
	}
}

// endRandomly ends the new attempts in random order and ways, with random changes of the shard map between them.
func (r *reshardingCore) endRandomly(rng *rand.Rand) {
	attempts := r.newAttempts()
	rng.Shuffle(len(attempts), func(i, j int) { attempts[i], attempts[j] = attempts[j], attempts[i] })
	for _, a := range attempts {
		if rng.IntN(3) == 0 {
			r.reshardRandomly(rng)
		}
		_, exists := r.current.Resolve(a.Request.Shard)
		switch roll := rng.IntN(10); {
		case !exists && roll < 8:
			r.endMoved(a)
		case roll == 0:
			r.end(a, Result{Outcome: outcome.ServerError})
		case roll == 1:
			r.end(a, Result{Outcome: outcome.ShardMoved, ShardMapVersion: r.current.Version() + uint64(rng.IntN(2))})
		case roll == 2:
			if halves := a.Request.Range.Split(2); halves != nil {
				r.end(a, Result{Outcome: outcome.Success, Covers: &halves[rng.IntN(2)], Value: []byte("v")})
			}
		case roll == 3: // no reply
		default:
			r.answer(a)
		}
	}
	wait(50 * time.Millisecond)
}

func (r *reshardingCore) reshardRandomly(rng *rand.Rand) {
	shards := r.current.Shards()
	i := rng.IntN(len(shards))
	request := shardmap.PlanRequest{Kind: shardmap.Split, Shards: []shardmap.ShardID{shards[i].ID}, Pieces: 2}
	switch rng.IntN(3) {
	case 0:
		if i+1 < len(shards) {
			request = shardmap.PlanRequest{Kind: shardmap.Merge, Shards: []shardmap.ShardID{shards[i].ID, shards[i+1].ID}}
		}
	case 1:
		sets := [][]string{{"a"}, {"b", "c"}, {"d"}}
		request = shardmap.PlanRequest{Kind: shardmap.Move, Shards: []shardmap.ShardID{shards[i].ID}, ReplicaSets: [][]string{sets[rng.IntN(3)]}}
	}
	if slices.ContainsFunc(r.current.Plans(), func(shardmap.Plan) bool { return true }) {
		return // a plan that has only switched is still open and may change the same keys
	}
	r.reshard(request, []shardmap.PlanStep{shardmap.Switched, shardmap.Retired, shardmap.Retired}[rng.IntN(3)])
}
