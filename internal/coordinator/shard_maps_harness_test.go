package coordinator

import (
	"testing"
	"time"

	"linkpass/internal/outcome"
	"linkpass/internal/routing"
	"linkpass/internal/shardmap"
	"linkpass/internal/shardmap/coverage"
)

// reshardingCore is a core with a collection. The test changes the collection's shard map and answers for its
// servers.
type reshardingCore struct {
	*fakeTransports
	t       *testing.T
	current *shardmap.Map
	seen    int // number of attempts that newAttempts has returned
}

var serverIDs = map[string]routing.ServerID{"a": 0, "b": 1, "c": 2, "d": 3}

func serverID(name string) routing.ServerID { return serverIDs[name] }

// testResharding runs a test on a collection of n shards, held alternately by servers a and b and by servers c and d.
func testResharding(t *testing.T, n int, test func(*testing.T, *reshardingCore)) {
	t.Helper()
	testCore(t, func(t *testing.T, f *fakeTransports) {
		first, err := shardmap.NewEven(n, [][]string{{"a", "b"}, {"c", "d"}})
		if err != nil {
			t.Fatal(err)
		}
		r := &reshardingCore{fakeTransports: f, t: t}
		r.publish(first)
		test(t, r)
	})
}

// publish publishes a version of the shard map to the core; nil removes the collection.
func (r *reshardingCore) publish(m *shardmap.Map) {
	r.t.Helper()
	if change, changed := shardmap.Diff("i", r.current, m); changed {
		r.core.UpdateShardMaps([]shardmap.Change{change}, serverID)
	}
	r.current = m
	wait(10 * time.Millisecond)
}

// reshard advances a plan through its steps up to the given one, with every new replica in place, and publishes the
// result.
func (r *reshardingCore) reshard(request shardmap.PlanRequest, until shardmap.PlanStep) {
	r.t.Helper()
	m, err := r.current.Apply(shardmap.Command{Request: &request})
	if err != nil {
		r.t.Fatal(err)
	}
	plan := m.Plans()[len(m.Plans())-1]
	for _, step := range []shardmap.PlanStep{shardmap.Copying, shardmap.Replicated, shardmap.Switched, shardmap.Retired} {
		advance := shardmap.Advance{Plan: plan.ID, Step: step, Replicas: map[shardmap.ShardID][]string{}}
		for _, shard := range plan.To {
			advance.Replicas[shard.ID] = shard.Replicas
		}
		if m, err = m.Apply(shardmap.Command{Advance: &advance}); err != nil {
			r.t.Fatal(err)
		}
		if step == until {
			break
		}
	}
	r.publish(m)
}

func (r *reshardingCore) search(keys ...shardmap.Range) (answers *[]Answer) {
	answers, _ = r.submitQuery(Query{Collection: "i", Timeout: 2 * time.Second, KeyRanges: keys, Payload: []byte("x")})
	wait(50 * time.Millisecond)
	return answers
}

// newAttempts returns the attempts sent since the last call.
func (r *reshardingCore) newAttempts() []Attempt {
	all := r.sent()
	attempts := all[r.seen:]
	r.seen = len(all)
	return attempts
}

func (r *reshardingCore) end(a Attempt, result Result) {
	result.At = r.core.Now()
	r.core.AttemptEnded(a.ID, result)
	wait(30 * time.Millisecond)
}

// endMoved ends an attempt at a server that no longer holds the shard.
func (r *reshardingCore) endMoved(a Attempt) {
	r.end(a, Result{Outcome: outcome.ShardMoved, ShardMapVersion: r.current.Version()})
}

// answer ends attempts with values that cover what was requested.
func (r *reshardingCore) answer(attempts ...Attempt) {
	for _, a := range attempts {
		r.end(a, Result{Outcome: outcome.Success, Covers: &a.Request.Range, Value: []byte("v")})
	}
}

// lastServer returns the server of the latest attempt.
func (r *reshardingCore) lastServer() routing.ServerID { return r.servers[len(r.servers)-1] }

// checkCoverage checks that an answer covers each key at most once, is marked as complete exactly if it covers all,
// and lists the missing keys.
func checkCoverage(t *testing.T, a Answer, requested ...shardmap.Range) {
	t.Helper()
	tracker := coverage.NewTracker(requested...)
	for _, v := range a.Values {
		if !tracker.Record(v.Request.Range) {
			t.Fatalf("%s is covered twice: %+v", v.Request.Range, a.Values)
		}
	}
	if a.Complete != tracker.Complete() {
		t.Fatalf("Complete = %v, want %v; missing keys %v", a.Complete, tracker.Complete(), tracker.Missing())
	}
	listed := coverage.RangeSet{}
	for _, m := range a.Missing {
		listed.Add(m.Request.Range)
	}
	if a.Status == Answered && len(coverage.NewRangeSet(tracker.Missing()...).Subtract(listed).Ranges()) > 0 {
		t.Fatalf("missing keys %v, listed as missing %v", tracker.Missing(), listed.Ranges())
	}
}
