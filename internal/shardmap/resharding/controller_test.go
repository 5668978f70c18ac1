package resharding

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "linkpass/internal/seeded"
	"linkpass/internal/shardmap"
)

var limits = Limits{MaxMigrations: 2, MaxPerServer: 1, RetireDelay: 3 * time.Second, StallTimeout: 40 * time.Second, ReportTTL: 3 * time.Second}

// world is a fleet that does its duty at some pace; it holds what it is told, copies from
// those that have it, and forgets all when it dies.
type fleet struct {
	l     *shardmap.Map
	c     *Controller
	now   time.Duration
	has   map[string]map[shardmap.ShardID]int // 3: complete
	sound map[string]bool
	retry map[shardmap.PlanStep]bool // steps at which the controller has died
	press bool
}

func newFleet(n int) *fleet {
	l, err := shardmap.NewEven(n, [][]string{{"a", "b"}, {"c", "d"}})
	if err != nil {
		panic(err)
	}
	w := &fleet{l: l, c: New(limits), has: map[string]map[shardmap.ShardID]int{}, sound: map[string]bool{}, retry: map[shardmap.PlanStep]bool{}}
	for _, name := range []string{"a", "b", "c", "d", "e", "f"} {
		w.has[name], w.sound[name] = map[shardmap.ShardID]int{}, true
	}
	for _, s := range l.Shards() {
		for _, name := range s.Replicas {
			w.has[name][s.ID] = 3
		}
	}
	return w
}

func (w *fleet) input() Input {
	in := Input{Now: w.now, Maps: map[string]*shardmap.Map{"i": w.l}, Healthy: w.sound, Overloaded: w.press, Reports: map[string]map[string]Report{}}
	for name, has := range w.has {
		if !w.sound[name] {
			continue
		}
		r := Report{ReceivedAt: w.now}
		for id, n := range has {
			r.Shards = append(r.Shards, ShardStatus{Shard: id, Complete: n >= 3, Records: int64(n)})
		}
		in.Reports[name] = map[string]Report{"i": r}
	}
	return in
}

// second lets a second pass: servers do their duty, the controller decides.
func (w *fleet) second(t interface{ Fatalf(string, ...any) }) {
	w.now += time.Second
	duties := Assignments("i", w.l)
	for name, has := range w.has {
		if !w.sound[name] {
			continue
		}
		for id := range has {
			if !slices.ContainsFunc(duties[name].Tasks, func(t Task) bool { return t.Shard == id }) {
				delete(has, id)
			}
		}
		for _, task := range duties[name].Tasks {
			fed := has[task.Shard] < 3
			for _, src := range task.Sources { // somebody must have each piece
				fed = fed && slices.ContainsFunc(src.Servers, func(s string) bool { return w.sound[s] && w.has[s][src.Shard] >= 3 })
			}
			if fed && len(task.Sources) > 0 {
				has[task.Shard]++
			}
		}
	}
	for _, s := range w.c.NextActions(w.input()) {
		next, err := w.l.Apply(s.Command)
		if err != nil {
			t.Fatalf("%+v: %v", s, err)
		}
		w.l = next
	}
}

// Every plan ends, whatever dies and however often the controller is replaced, and as long as
// one sound server of each range lives no range is left without one that has the data.
func TestControllerEndsEveryPlanWithoutLosingRange(t *testing.T) {
	ends := map[shardmap.PlanStep]int{}
	rapid.Check(t, func(t *rapid.T) {
		w := newFleet(4)
		orders := 0
		for range 120 {
			all := w.l.Shards()
			i := rapid.IntRange(0, len(all)-1).Draw(t, "slice")
			var o shardmap.PlanRequest
			switch rapid.IntRange(0, 11).Draw(t, "event") {
			case 0:
				o = shardmap.PlanRequest{Kind: shardmap.Split, Shards: []shardmap.ShardID{all[i].ID}, Pieces: 2}
			case 1:
				o = shardmap.PlanRequest{Kind: shardmap.Merge, Shards: []shardmap.ShardID{all[i].ID, all[(i+1)%len(all)].ID}}
			case 2:
				to := rapid.SampledFrom([][]string{{"e", "f"}, {"a", "e"}, {"c", "d"}, {"f"}}).Draw(t, "to")
				o = shardmap.PlanRequest{Kind: shardmap.Move, Shards: []shardmap.ShardID{all[i].ID}, ReplicaSets: [][]string{to}}
			case 3:
				w.c = New(limits) // the controller dies; another takes over
			case 4:
				w.press = !w.press
			case 5: // one of e and f, which are sources of nothing that others have not, dies or comes back empty
				name := rapid.SampledFrom([]string{"e", "f"}).Draw(t, "name")
				if w.sound[name] && !isLastReplica(w, name) {
					w.sound[name], w.has[name] = false, map[shardmap.ShardID]int{}
				} else {
					w.sound[name] = true
				}
			}
			if o.Kind != "" {
				if next, err := w.l.Apply(shardmap.Command{Request: &o}); err == nil {
					w.l, orders = next, orders+1
				}
			}
			w.second(t)
			for _, s := range w.l.Shards() {
				if !slices.ContainsFunc(s.Replicas, func(n string) bool { return w.sound[n] && w.has[n][s.ID] >= 3 }) {
					t.Fatalf("version %d: nobody has slice %d, %v", w.l.Version(), s.ID, s.Replicas)
				}
			}
			if load := newMigrationLoad(w.input().Maps); load.total > limits.MaxMigrations ||
				slices.Max(append([]int{0}, mapValues(load.byServer)...)) > limits.MaxPerServer {
				t.Fatalf("%d migrations, %v", load.total, load.byServer)
			}
		}
		w.press = false
		for range 300 {
			w.second(t)
		}
		if open := w.l.Plans(); len(open) > 0 {
			t.Fatalf("still open after five minutes: %+v", open)
		}
		for _, p := range w.l.History() {
			ends[p.Step]++
		}
	})
	if ends[shardmap.Retired] == 0 || ends[shardmap.Abandoned] == 0 {
		t.Errorf("plans ended as %v", ends)
	}
}

// needed tells whether a server is the last that has a serving slice.
func isLastReplica(w *fleet, name string) bool {
	for _, s := range w.l.Shards() {
		if slices.Contains(s.Replicas, name) && !slices.ContainsFunc(s.Replicas, func(n string) bool {
			return n != name && w.sound[n] && w.has[n][s.ID] >= 3
		}) {
			return true
		}
	}
	return false
}

func mapValues(m map[string]int) (out []int) {
	for _, n := range m {
		out = append(out, n)
	}
	return out
}

// The controller is killed after each step of a plan in turn; another finishes it.
func TestControllerReplacedAfterEachStep(t *testing.T) {
	w := newFleet(2)
	next, err := w.l.Apply(shardmap.Command{Request: &shardmap.PlanRequest{Kind: shardmap.Move, Shards: []shardmap.ShardID{shardmap.FirstDynamicID}, ReplicaSets: [][]string{{"e", "f"}}}})
	if err != nil {
		t.Fatal(err)
	}
	w.l = next
	var steps []string
	last := shardmap.PlanStep("")
	for range 30 {
		w.second(t)
		if p, ok := w.l.Plan(1); ok && p.Step != last {
			steps, last = append(steps, string(p.Step)), p.Step
			w.c = New(limits)
		}
	}
	if want := "[copying both_hold switched retired]"; fmt.Sprint(steps) != want {
		t.Errorf("went through %v, want %s", steps, want)
	}
	if s, _ := w.l.Find(0); !slices.Equal(s.Replicas, []string{"e", "f"}) {
		t.Errorf("serves %+v", s)
	}
}

// A holder that dies, or is told to drain, between copy and switch is left out of the new
// slice; without any other the plan is abandoned and the old holders go on.
func TestControllerReplicaLostDuringMove(t *testing.T) {
	for _, both := range []bool{false, true} {
		w := newFleet(2)
		w.l, _ = w.l.Apply(shardmap.Command{Request: &shardmap.PlanRequest{Kind: shardmap.Move, Shards: []shardmap.ShardID{shardmap.FirstDynamicID}, ReplicaSets: [][]string{{"e", "f"}}}})
		for p, _ := w.l.Plan(1); p.Step != shardmap.Replicated; p, _ = w.l.Plan(1) {
			w.second(t)
		}
		w.sound["e"], w.sound["f"] = false, !both
		for range 60 {
			w.second(t)
		}
		p, _ := w.l.Plan(1)
		s, _ := w.l.Find(0)
		if both && (p.Step != shardmap.Abandoned || !slices.Equal(s.Replicas, []string{"a", "b"})) {
			t.Errorf("with nobody left: %s, served by %v", p.Step, s.Replicas)
		}
		if !both && (p.Step != shardmap.Retired || !slices.Equal(s.Replicas, []string{"f"})) {
			t.Errorf("with one left: %s, served by %v", p.Step, s.Replicas)
		}
	}
}

func TestOverloadDetectorRecoveryPeriod(t *testing.T) {
	p := OverloadDetector{RejectionRatio: 0.05, RecoveryPeriod: 5 * time.Second, MinSamples: 10}
	for i, look := range []struct {
		ended, refused int64
		want           bool
	}{{100, 0, false}, {200, 4, false}, {300, 20, true}, {305, 20, true}, {400, 20, true}, {900, 20, false}} {
		if got := p.Observe(time.Duration(2*i)*time.Second, look.ended, look.refused); got != look.want {
			t.Errorf("look %d: %v", i, got)
		}
	}
}
