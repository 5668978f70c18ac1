package coordinator

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"linkpass/internal/outcome"
	"linkpass/internal/routing"
	"linkpass/internal/shardmap"
	"linkpass/internal/shardmap/coverage"
)

// mover is a core whose index moves, with the test as its servers.
type mover struct {
	t    *testing.T
	l    *fakeTransports
	now  *shardmap.Map
	next int // of the calls, not yet looked at
}

var numbers = map[string]routing.ServerID{"a": 0, "b": 1, "c": 2, "d": 3}

// moving runs a core on an index of n slices, held by a and b, and c and d, in turn.
func moving(t *testing.T, n int, f func(*mover)) {
	bench(t, func(l *fakeTransports, _ func(time.Duration, ...Part) (*[]Answer, func())) {
		first, err := shardmap.NewEven(n, [][]string{{"a", "b"}, {"c", "d"}})
		if err != nil {
			t.Fatal(err)
		}
		m := &mover{t: t, l: l}
		m.publish(first)
		f(m)
	})
}

// publish tells the core of a version; nil: the index has gone.
func (m *mover) publish(l *shardmap.Map) {
	if n, changed := shardmap.Diff("i", m.now, l); changed {
		m.l.core.UpdateShardMaps([]shardmap.Change{n}, func(s string) routing.ServerID { return numbers[s] })
	}
	m.now = l
	settle(10 * time.Millisecond)
}

// order carries a change through to a step, all new holders having it.
func (m *mover) order(o shardmap.PlanRequest, until shardmap.PlanStep) {
	l, err := m.now.Apply(shardmap.Command{Request: &o})
	if err != nil {
		m.t.Fatal(err)
	}
	p := l.Plans()[len(l.Plans())-1]
	for _, step := range []shardmap.PlanStep{shardmap.Copying, shardmap.Replicated, shardmap.Switched, shardmap.Retired} {
		a := shardmap.Advance{Plan: p.ID, Step: step, Replicas: map[shardmap.ShardID][]string{}}
		for _, s := range p.To {
			a.Replicas[s.ID] = s.Replicas
		}
		if l, err = l.Apply(shardmap.Command{Advance: &a}); err != nil {
			m.t.Fatal(err)
		}
		if step == until {
			break
		}
	}
	m.publish(l)
}

func (m *mover) ask(wanted ...shardmap.Range) (*[]Answer, func()) {
	answers := new([]Answer)
	leave := m.l.core.Submit(Query{Name: "q", Collection: "i", StartedAt: m.l.core.Now(), Timeout: 2 * time.Second, KeyRanges: wanted,
		Payload: []byte("x"), Reply: func(a Answer) { *answers = append(*answers, a) }})
	settle(50 * time.Millisecond)
	return answers, leave
}

// sent are the attempts that came since the last look.
func (m *mover) sent() []Attempt {
	all := m.l.taken()
	out := all[m.next:]
	m.next = len(all)
	return out
}

func (m *mover) end(a Attempt, r Result) {
	r.At = m.l.core.Now()
	m.l.core.AttemptEnded(a.ID, r)
	settle(30 * time.Millisecond)
}

func (m *mover) serve(list ...Attempt) {
	for _, a := range list {
		m.end(a, Result{Outcome: outcome.Success, Covers: &a.Request.Range, Value: []byte("v")})
	}
}

// exact holds an answer to what it says: whole means every wanted key once, by what was answered.
func exact(t *testing.T, a Answer, wanted ...shardmap.Range) {
	t.Helper()
	ledger := coverage.NewTracker(wanted...)
	for _, v := range a.Values {
		if !ledger.Record(v.Request.Range) {
			t.Fatalf("%s is in twice: %+v", v.Request.Range, a.Values)
		}
	}
	if a.Complete != ledger.Complete() {
		t.Fatalf("marked whole: %v; missing %v", a.Complete, ledger.Missing())
	}
	missing := coverage.RangeSet{}
	for _, miss := range a.Missing {
		missing.Add(miss.Request.Range)
	}
	if a.Status == Answered && len(coverage.NewRangeSet(ledger.Missing()...).Subtract(missing).Ranges()) > 0 {
		t.Fatalf("missing %v, told %v", ledger.Missing(), missing.Ranges())
	}
}

// A part is sent to the old holder just as a move completes: it says moved, and the new one answers.
func TestAPartReachesTheOldHolderAsAMoveCompletes(t *testing.T) {
	moving(t, 1, func(m *mover) {
		answers, _ := m.ask(shardmap.FullRange)
		old := m.sent()
		m.order(shardmap.PlanRequest{Kind: shardmap.Move, Shards: []shardmap.ShardID{shardmap.FirstDynamicID}, ReplicaSets: [][]string{{"d"}}}, shardmap.Retired)
		if !old[0].ShardMoved() {
			t.Error("what is not yet written may still go to a server that has the slice no more")
		}
		m.end(old[0], Result{Outcome: outcome.ShardMoved, ShardMapVersion: m.now.Version()})
		again := m.sent()
		if len(again) != 1 || m.l.servers[len(m.l.servers)-1] != numbers["d"] || again[0].Request.MapVersion != m.now.Version() {
			t.Fatalf("sent %+v to %v", again, m.l.servers)
		}
		m.serve(again...)
		exact(t, one(t, answers, Answered), shardmap.FullRange)
	})
}

// A split in the middle of a query that needs half of the slices: one part was answered before it,
// one is told that its slice has moved.
func TestASplitInTheMiddleOfAQuery(t *testing.T) {
	moving(t, 4, func(m *mover) {
		half := shardmap.FullRange.Split(2)[0]
		answers, _ := m.ask(half)
		list := m.sent()
		m.serve(list[0])
		m.order(shardmap.PlanRequest{Kind: shardmap.Split, Shards: []shardmap.ShardID{list[1].Request.Shard}, Pieces: 2}, shardmap.Retired)
		m.order(shardmap.PlanRequest{Kind: shardmap.Split, Shards: []shardmap.ShardID{list[0].Request.Shard}, Pieces: 2}, shardmap.Retired)
		m.end(list[1], Result{Outcome: outcome.ShardMoved, ShardMapVersion: m.now.Version()})
		children := m.sent()
		if len(children) != 2 || children[0].Request.Subrange || !list[1].Request.Range.Covers(children[0].Request.Range) {
			t.Fatalf("children %+v", children)
		}
		m.serve(children...)
		a := one(t, answers, Answered)
		if exact(t, a, half); len(a.Values) != 3 {
			t.Errorf("values %+v", a.Values)
		}
	})
}

// A merge whose one half has answered: the parent is asked for the other half's keys alone. Two
// halves that wait are asked for in one part.
func TestAMergeHalfAnswered(t *testing.T) {
	for _, answered := range []bool{true, false} {
		moving(t, 2, func(m *mover) {
			answers, _ := m.ask(shardmap.FullRange)
			list := m.sent()
			if answered {
				m.serve(list[0])
			} else {
				m.end(list[0], Result{Outcome: outcome.ServerError}) // tried again at once: out
			}
			m.order(shardmap.PlanRequest{Kind: shardmap.Merge, Shards: []shardmap.ShardID{list[0].Request.Shard, list[1].Request.Shard}}, shardmap.Retired)
			if !answered {
				m.end(m.sent()[0], Result{Outcome: outcome.ShardMoved, ShardMapVersion: m.now.Version()})
				first := m.sent()
				if len(first) != 1 || first[0].Request.Range != list[0].Request.Range {
					t.Fatalf("asked for %+v", first[0].Request)
				}
				m.serve(first...)
			}
			m.end(list[1], Result{Outcome: outcome.ShardMoved, ShardMapVersion: m.now.Version()})
			rest := m.sent()
			if len(rest) != 1 || rest[0].Request.Range != list[1].Request.Range || !rest[0].Request.Subrange {
				t.Fatalf("asked for %+v", rest)
			}
			m.serve(rest...)
			exact(t, one(t, answers, Answered), shardmap.FullRange)
		})
	}
}

// A server that claims a version that does not exist is left alone for another holder.
func TestAClaimOfAVersionThatDoesNotExist(t *testing.T) {
	moving(t, 1, func(m *mover) {
		answers, _ := m.ask(shardmap.FullRange)
		list := m.sent()
		m.end(list[0], Result{Outcome: outcome.ShardMoved, ShardMapVersion: 999})
		again := m.sent()
		if len(again) != 1 || m.l.servers[0] == m.l.servers[1] || m.l.core.counters.Get("attempts_ahead") != 1 {
			t.Fatalf("sent %+v to %v", again, m.l.servers)
		}
		m.serve(again...)
		exact(t, one(t, answers, Answered), shardmap.FullRange)
	})
}

// A query that two changes have passed by is planned anew once, on what holds now.
func TestAQueryOlderThanTwoChanges(t *testing.T) {
	moving(t, 1, func(m *mover) {
		answers, _ := m.ask(shardmap.FullRange)
		old := m.sent()
		for range 2 {
			all := m.now.Shards()
			m.order(shardmap.PlanRequest{Kind: shardmap.Split, Shards: []shardmap.ShardID{all[len(all)-1].ID}, Pieces: 2}, shardmap.Retired)
		}
		m.end(old[0], Result{Outcome: outcome.ShardMoved, ShardMapVersion: m.now.Version()})
		list := m.sent()
		if len(list) != 3 {
			t.Fatalf("%d parts for three slices", len(list))
		}
		m.serve(list...)
		a := one(t, answers, Answered)
		if exact(t, a, shardmap.FullRange); a.ShardMapVersion != 1 || m.l.core.counters.Get("replans") != 1 {
			t.Errorf("planned on %d, %d times anew", a.ShardMapVersion, m.l.core.counters.Get("replans"))
		}
	})
}

// An index goes, or comes back as another under its name, with a query open: that ends on
// the version it was planned on, and never with what the new one holds.
func TestAnIndexThatGoesWithQueriesOpen(t *testing.T) {
	moving(t, 2, func(m *mover) {
		answers, _ := m.ask(shardmap.FullRange)
		list := m.sent()
		m.serve(list[0])
		m.publish(nil)
		another, _ := shardmap.NewEven(1, [][]string{{"d"}})
		m.publish(another)
		m.end(list[1], Result{Outcome: outcome.ServerError})
		again := m.sent()
		if len(again) != 1 || again[0].Request.Range != list[1].Request.Range {
			t.Fatalf("sent %+v", again)
		}
		m.serve(again...)
		exact(t, one(t, answers, Answered), shardmap.FullRange)
		fresh, _ := m.ask(shardmap.FullRange)
		if list := m.sent(); len(list) != 1 || m.l.servers[len(m.l.servers)-1] != numbers["d"] {
			t.Errorf("the new index is asked %+v at %v", list, m.l.servers)
		} else {
			m.serve(list...)
		}
		exact(t, one(t, fresh, Answered), shardmap.FullRange)
	})
}

// A server answers the piece that it has; the rest is asked for elsewhere, and an answer that does
// not say what it covers never counts for a piece.
func TestPiecesAndAnswersThatDoNotSay(t *testing.T) {
	moving(t, 1, func(m *mover) {
		answers, _ := m.ask(shardmap.FullRange)
		cut := shardmap.FullRange.Split(4)
		first := shardmap.Range{First: cut[0].First, Last: cut[2].Last}
		m.end(m.sent()[0], Result{Outcome: outcome.Success, Covers: &first, Value: []byte("v")})
		rest := m.sent()
		if len(rest) != 1 || rest[0].Request.Range != cut[3] || !rest[0].Request.Subrange {
			t.Fatalf("the rest: %+v", rest)
		}
		m.end(rest[0], Result{Outcome: outcome.Success, Value: []byte("v")}) // says nothing
		if n := m.l.core.counters.Get("attempts_unversioned"); n != 1 {
			t.Errorf("%d unversioned", n)
		}
		again := m.sent()
		m.end(again[0], Result{Outcome: outcome.Success, Covers: &shardmap.FullRange, Value: []byte("v")}) // more than was asked for
		if n := m.l.core.counters.Get("attempts_doubled"); n != 1 {
			t.Errorf("%d doubled", n)
		}
		again = m.sent()
		m.end(again[0], Result{Outcome: outcome.Success, Covers: &cut[3], Value: []byte("v")})
		exact(t, one(t, answers, Answered), shardmap.FullRange)
	})
}

// An answer to more than was asked for counts for nothing, even where nobody else has answered that
// yet; and a single key beside half of all is waited for.
func TestMoreThanWasAskedAndASingleKey(t *testing.T) {
	moving(t, 2, func(m *mover) {
		half, key := shardmap.FullRange.Split(2)[0], shardmap.Range{First: shardmap.FullRange.Last, Last: shardmap.FullRange.Last}
		answers, _ := m.ask(half, key)
		list := m.sent()
		m.end(list[0], Result{Outcome: outcome.Success, Covers: &shardmap.FullRange, Value: []byte("v")})
		if n := m.l.core.counters.Get("attempts_doubled"); n != 1 {
			t.Errorf("%d doubled", n)
		}
		m.serve(m.sent()...)
		if m.l.core.OpenCount() == 0 {
			t.Fatal("answered without the single key")
		}
		m.serve(list[1])
		exact(t, one(t, answers, Answered), half, key)
	})
}

// Whatever moves, whoever says so and however servers fail or answer in pieces: one answer in time,
// whole exactly where every wanted key is in once, and every hole told.
func TestAnswersAreWholeOnlyWhereTheyAre(t *testing.T) {
	seen := map[string]int{}
	for seed := range uint64(60) {
		moving(t, 4, func(m *mover) {
			rng := rand.New(rand.NewPCG(seed, 3))
			cut := shardmap.FullRange.Split(5)
			wanted := cut[:1+rng.IntN(5)]
			answers, _ := m.ask(wanted...)
			for m.l.core.OpenCount() > 0 { // asked of the core, so that reading the answer is ordered after it
				list := m.sent()
				rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
				for _, a := range list {
					if rng.IntN(3) == 0 {
						m.randomChange(rng)
					}
					_, held := m.now.Resolve(a.Request.Shard)
					switch roll := rng.IntN(10); {
					case !held && roll < 8:
						m.end(a, Result{Outcome: outcome.ShardMoved, ShardMapVersion: m.now.Version()})
					case roll == 0:
						m.end(a, Result{Outcome: outcome.ServerError})
					case roll == 1:
						m.end(a, Result{Outcome: outcome.ShardMoved, ShardMapVersion: m.now.Version() + uint64(rng.IntN(2))})
					case roll == 2:
						if pieces := a.Request.Range.Split(2); pieces != nil {
							m.end(a, Result{Outcome: outcome.Success, Covers: &pieces[rng.IntN(2)], Value: []byte("v")})
						}
					case roll == 3: // silent
					default:
						m.end(a, Result{Outcome: outcome.Success, Covers: &a.Request.Range, Value: []byte("v")})
					}
				}
				settle(50 * time.Millisecond)
			}
			settle(3 * time.Second)
			a := (*answers)[0]
			if len(*answers) != 1 {
				t.Fatalf("seed %d: %d answers", seed, len(*answers))
			}
			if a.Status == Answered {
				exact(t, a, wanted...)
			}
			seen[fmt.Sprint(a.Status, a.Complete)]++
			seen["replans"] += int(m.l.core.counters.Get("replans"))
			if n := len(m.l.core.parts) + len(m.l.core.queries) + len(m.l.core.attempts); n != 0 {
				t.Errorf("seed %d: %d things are held after the end", seed, n)
			}
		})
	}
	if seen["0 true"] < 20 || seen["replans"] < 40 {
		t.Errorf("the runs show too little: %v", seen)
	}
}

func (m *mover) randomChange(rng *rand.Rand) {
	all := m.now.Shards()
	i := rng.IntN(len(all))
	o := shardmap.PlanRequest{Kind: shardmap.Split, Shards: []shardmap.ShardID{all[i].ID}, Pieces: 2}
	switch rng.IntN(3) {
	case 0:
		if i+1 < len(all) {
			o = shardmap.PlanRequest{Kind: shardmap.Merge, Shards: []shardmap.ShardID{all[i].ID, all[i+1].ID}}
		}
	case 1:
		sets := [][]string{{"a"}, {"b", "c"}, {"d"}}
		o = shardmap.PlanRequest{Kind: shardmap.Move, Shards: []shardmap.ShardID{all[i].ID}, ReplicaSets: [][]string{sets[rng.IntN(3)]}}
	}
	if slices.ContainsFunc(m.now.Plans(), func(shardmap.Plan) bool { return true }) {
		return // one that has only switched may touch the same keys
	}
	m.order(o, []shardmap.PlanStep{shardmap.Switched, shardmap.Retired, shardmap.Retired}[rng.IntN(3)])
}
