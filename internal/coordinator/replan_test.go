package coordinator

import (
	"fmt"
	"testing"

	"linkpass/internal/outcome"
	"linkpass/internal/shardmap"
)

// A move of the shard completes while an attempt is on its way to the old replica.
func TestReplanAfterMove(t *testing.T) {
	testResharding(t, 1, func(t *testing.T, r *reshardingCore) {
		answers := r.search(shardmap.FullRange)
		old := r.newAttempts()
		r.reshard(shardmap.PlanRequest{Kind: shardmap.Move, Shards: []shardmap.ShardID{shardmap.FirstDynamicID}, ReplicaSets: [][]string{{"d"}}}, shardmap.Retired)
		if !old[0].ShardMoved() {
			t.Error("an unwritten attempt is not marked as moved, so it may be sent to a server that no longer holds the shard")
		}
		r.endMoved(old[0])
		replanned := r.newAttempts()
		if len(replanned) != 1 || r.lastServer() != serverIDs["d"] || replanned[0].Request.MapVersion != r.current.Version() {
			t.Fatalf("attempts %+v, servers %v; want one more, on map version %d to d", replanned, r.servers, r.current.Version())
		}
		r.answer(replanned...)
		checkCoverage(t, onlyAnswer(t, answers, Answered), shardmap.FullRange)
	})
}

// Two shards of a query are split: one whose part was already answered, and one whose part is in flight.
func TestReplanAfterSplit(t *testing.T) {
	testResharding(t, 4, func(t *testing.T, r *reshardingCore) {
		half := shardmap.FullRange.Split(2)[0]
		answers := r.search(half)
		attempts := r.newAttempts()
		r.answer(attempts[0])
		r.reshard(shardmap.PlanRequest{Kind: shardmap.Split, Shards: []shardmap.ShardID{attempts[1].Request.Shard}, Pieces: 2}, shardmap.Retired)
		r.reshard(shardmap.PlanRequest{Kind: shardmap.Split, Shards: []shardmap.ShardID{attempts[0].Request.Shard}, Pieces: 2}, shardmap.Retired)
		r.endMoved(attempts[1])
		children := r.newAttempts()
		if len(children) != 2 || children[0].Request.Subrange || !attempts[1].Request.Range.Covers(children[0].Request.Range) {
			t.Fatalf("attempts after the split: %+v, want two within %s", children, attempts[1].Request.Range)
		}
		r.answer(children...)
		a := onlyAnswer(t, answers, Answered)
		if checkCoverage(t, a, half); len(a.Values) != 3 {
			t.Errorf("values %+v, want 3", a.Values)
		}
	})
}

// Two shards are merged after the first one's part was answered, or while it is in flight. In both cases only keys
// without an answer are requested again.
func TestReplanAfterMerge(t *testing.T) {
	for _, answered := range []bool{true, false} {
		t.Run(fmt.Sprintf("answered=%v", answered), func(t *testing.T) {
			testResharding(t, 2, func(t *testing.T, r *reshardingCore) {
				answers := r.search(shardmap.FullRange)
				attempts := r.newAttempts()
				if answered {
					r.answer(attempts[0])
				} else {
					r.end(attempts[0], Result{Outcome: outcome.ServerError}) // retried immediately
				}
				r.reshard(shardmap.PlanRequest{Kind: shardmap.Merge, Shards: []shardmap.ShardID{attempts[0].Request.Shard, attempts[1].Request.Shard}}, shardmap.Retired)
				if !answered {
					r.endMoved(r.newAttempts()[0])
					first := r.newAttempts()
					if len(first) != 1 || first[0].Request.Range != attempts[0].Request.Range {
						t.Fatalf("requested %+v, want %s", first[0].Request, attempts[0].Request.Range)
					}
					r.answer(first...)
				}
				r.endMoved(attempts[1])
				second := r.newAttempts()
				if len(second) != 1 || second[0].Request.Range != attempts[1].Request.Range || !second[0].Request.Subrange {
					t.Fatalf("requested %+v, want the subrange %s", second, attempts[1].Request.Range)
				}
				r.answer(second...)
				checkCoverage(t, onlyAnswer(t, answers, Answered), shardmap.FullRange)
			})
		})
	}
}

// A server rejects an attempt because of a shard map version that does not exist.
func TestShardMovedWithUnknownVersionTriesOtherReplica(t *testing.T) {
	testResharding(t, 1, func(t *testing.T, r *reshardingCore) {
		answers := r.search(shardmap.FullRange)
		attempts := r.newAttempts()
		r.end(attempts[0], Result{Outcome: outcome.ShardMoved, ShardMapVersion: 999})
		retries := r.newAttempts()
		if len(retries) != 1 || r.servers[0] == r.servers[1] || r.core.counters.Get("attempts_unknown_shard_map") != 1 {
			t.Fatalf("attempts %+v, servers %v; want one to another replica", retries, r.servers)
		}
		r.answer(retries...)
		checkCoverage(t, onlyAnswer(t, answers, Answered), shardmap.FullRange)
	})
}

func TestReplanOnceAfterTwoChanges(t *testing.T) {
	testResharding(t, 1, func(t *testing.T, r *reshardingCore) {
		answers := r.search(shardmap.FullRange)
		old := r.newAttempts()
		for range 2 {
			shards := r.current.Shards()
			r.reshard(shardmap.PlanRequest{Kind: shardmap.Split, Shards: []shardmap.ShardID{shards[len(shards)-1].ID}, Pieces: 2}, shardmap.Retired)
		}
		r.endMoved(old[0])
		attempts := r.newAttempts()
		if len(attempts) != 3 {
			t.Fatalf("%d parts, want one for each of the 3 shards", len(attempts))
		}
		r.answer(attempts...)
		a := onlyAnswer(t, answers, Answered)
		if checkCoverage(t, a, shardmap.FullRange); a.ShardMapVersion != 1 || r.core.counters.Get("replans") != 1 {
			t.Errorf("planned on version %d and replanned %d times, want 1 and 1", a.ShardMapVersion, r.core.counters.Get("replans"))
		}
	})
}

// Guards against an answer that mixes values of a removed collection with those of a new collection of the same name.
func TestRemovedCollectionAnswersOpenQuery(t *testing.T) {
	testResharding(t, 2, func(t *testing.T, r *reshardingCore) {
		answers := r.search(shardmap.FullRange)
		attempts := r.newAttempts()
		r.answer(attempts[0])
		r.publish(nil)
		another, _ := shardmap.NewEven(1, [][]string{{"d"}})
		r.publish(another)
		r.end(attempts[1], Result{Outcome: outcome.ServerError})
		retries := r.newAttempts()
		if len(retries) != 1 || retries[0].Request.Range != attempts[1].Request.Range {
			t.Fatalf("attempts %+v, want one for %s", retries, attempts[1].Request.Range)
		}
		r.answer(retries...)
		checkCoverage(t, onlyAnswer(t, answers, Answered), shardmap.FullRange)
		newAnswers := r.search(shardmap.FullRange)
		if attempts := r.newAttempts(); len(attempts) != 1 || r.lastServer() != serverIDs["d"] {
			t.Errorf("attempts %+v on the new collection, servers %v; want one to d", attempts, r.servers)
		} else {
			r.answer(attempts...)
		}
		checkCoverage(t, onlyAnswer(t, newAnswers, Answered), shardmap.FullRange)
	})
}
