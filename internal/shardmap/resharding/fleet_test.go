package resharding

import (
	"slices"
	"time"

	"linkpass/internal/shardmap"
)

// completeRecords is how many records a complete replica of the model has. A server copies one record of each
// shard per second.
const completeRecords = 3

var testLimits = Limits{
	MaxMigrations: 2,
	MaxPerServer:  1,
	RetireDelay:   3 * time.Second,
	StallTimeout:  40 * time.Second,
	ReportTTL:     3 * time.Second,
}

// testingT has the methods that *testing.T and *rapid.T share.
type testingT interface {
	Helper()
	Fatal(args ...any)
	Fatalf(format string, args ...any)
}

// fleet is a model of servers that carry out their assignments: they drop shards that are not assigned, copy from
// complete replicas, and lose all records when they die.
type fleet struct {
	m          *shardmap.Map
	controller *Controller
	now        time.Duration
	records    map[string]map[shardmap.ShardID]int // by server, by shard
	healthy    map[string]bool
	overloaded bool
}

// newFleet returns a fleet of six servers. The shards are complete on a and b or on c and d; e and f are empty.
func newFleet(t testingT, shards int) *fleet {
	t.Helper()
	m, err := shardmap.NewEven(shards, [][]string{{"a", "b"}, {"c", "d"}})
	if err != nil {
		t.Fatal(err)
	}
	f := &fleet{
		m:          m,
		controller: New(testLimits),
		records:    map[string]map[shardmap.ShardID]int{},
		healthy:    map[string]bool{},
	}
	for _, server := range []string{"a", "b", "c", "d", "e", "f"} {
		f.records[server] = map[shardmap.ShardID]int{}
		f.healthy[server] = true
	}
	for _, s := range m.Shards() {
		for _, server := range s.Replicas {
			f.records[server][s.ID] = completeRecords
		}
	}
	return f
}

// request opens a plan; it reports false if the map rejects it.
func (f *fleet) request(r shardmap.PlanRequest) bool {
	next, err := f.m.Apply(shardmap.Command{Request: &r})
	if err != nil {
		return false
	}
	f.m = next
	return true
}

// requestMove moves the first shard to e and f.
func (f *fleet) requestMove(t testingT) {
	t.Helper()
	if !f.request(shardmap.PlanRequest{
		Kind:        shardmap.Move,
		Shards:      []shardmap.ShardID{shardmap.FirstDynamicID},
		ReplicaSets: [][]string{{"e", "f"}},
	}) {
		t.Fatal("the shard map rejected the request to move the first shard")
	}
}

// hasComplete reports whether a healthy server has a complete replica of a shard.
func (f *fleet) hasComplete(server string, shard shardmap.ShardID) bool {
	return f.healthy[server] && f.records[server][shard] >= completeRecords
}

// isLastReplica reports whether a serving shard would be lost with a server.
func (f *fleet) isLastReplica(server string) bool {
	for _, s := range f.m.Shards() {
		another := slices.ContainsFunc(s.Replicas, func(name string) bool {
			return name != server && f.hasComplete(name, s.ID)
		})
		if slices.Contains(s.Replicas, server) && !another {
			return true
		}
	}
	return false
}

func (f *fleet) kill(server string) {
	f.healthy[server] = false
	f.records[server] = map[shardmap.ShardID]int{}
}

func (f *fleet) input() Input {
	in := Input{
		Now:        f.now,
		Maps:       map[string]*shardmap.Map{"i": f.m},
		Healthy:    f.healthy,
		Overloaded: f.overloaded,
		Reports:    map[string]map[string]Report{},
	}
	for server, records := range f.records {
		if !f.healthy[server] {
			continue
		}
		r := Report{ReceivedAt: f.now}
		for id, n := range records {
			status := ShardStatus{Shard: id, Complete: n >= completeRecords, Records: int64(n)}
			r.Shards = append(r.Shards, status)
		}
		in.Reports[server] = map[string]Report{"i": r}
	}
	return in
}

// tick advances the clock by a second: servers carry out their assignments, then the controller decides.
func (f *fleet) tick(t testingT) {
	t.Helper()
	f.now += time.Second
	assignments := Assignments("i", f.m)
	for server := range f.records {
		if f.healthy[server] {
			f.applyAssignment(server, assignments[server])
		}
	}
	for _, action := range f.controller.NextActions(f.input()) {
		next, err := f.m.Apply(action.Command)
		if err != nil {
			t.Fatalf("Apply of %+v: %v", action, err)
		}
		f.m = next
	}
}

// applyAssignment drops the shards that are not assigned and copies a record of each incomplete one.
func (f *fleet) applyAssignment(server string, assignment Assignment) {
	records := f.records[server]
	for id := range records {
		assigned := func(task Task) bool { return task.Shard == id }
		if !slices.ContainsFunc(assignment.Tasks, assigned) {
			delete(records, id)
		}
	}
	for _, task := range assignment.Tasks {
		available := records[task.Shard] < completeRecords && len(task.Sources) > 0
		for _, source := range task.Sources { // each source needs a complete replica
			available = available && slices.ContainsFunc(source.Servers, func(name string) bool {
				return f.hasComplete(name, source.Shard)
			})
		}
		if available {
			records[task.Shard]++
		}
	}
}
