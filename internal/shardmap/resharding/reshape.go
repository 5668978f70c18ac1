// Package resharding is the controller of layouts: which step each plan takes next, and
// what each server is to hold. It is pure: what holders report goes in, commands and
// duties come out. All that must outlive it stands in the layouts; one that takes over in
// the middle of any step goes on from there.
package resharding

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"linkpass/internal/shardmap"
)

// Limits pace the changes.
type Limits struct {
	MaxMigrations int           // plans that copy or wait for the switch at a time, in all
	MaxPerServer  int           // the same that touch one server
	RetireDelay   time.Duration // from the switch until old holders may drop their data: the longest query, and what news takes
	StallTimeout  time.Duration // a plan whose copies make no progress for so long is abandoned
	ReportTTL     time.Duration // a report older than this says nothing
}

// ShardStatus is what a server has of a slice.
type ShardStatus struct {
	Shard    shardmap.ShardID `json:"slice"`
	Complete bool             `json:"complete"`
	Records  int64            `json:"records"` // so far
}

// Report is what a server says of one index.
type Report struct {
	ReceivedAt time.Duration // when it came
	Version    uint64
	Shards     []ShardStatus
}

// Input is all that is known at a moment.
type Input struct {
	Now        time.Duration
	Maps       map[string]*shardmap.Map     // by index
	Reports    map[string]map[string]Report // by server, by index
	Healthy    map[string]bool              // servers on the list that take new work
	Overloaded bool                         // queries are refused for want of room
}

// Action is a command that the controller wants carried out, on the version it was made on.
type Action struct {
	Index   string
	Command shardmap.Command
	Reason  string
}

// Source is where a server may copy some keys from.
type Source struct {
	Range   shardmap.Range   `json:"range"`
	Servers []string         `json:"servers"`
	Shard   shardmap.ShardID `json:"slice"`
}

// Task is one slice that a server is to hold.
type Task struct {
	Shard   shardmap.ShardID `json:"slice"`
	Range   shardmap.Range   `json:"range"`
	Sources []Source         `json:"sources,omitempty"`
}

// Assignment is all that a server is to hold of one index. What is not in it may be dropped.
type Assignment struct {
	Index   string `json:"index"`
	Version uint64 `json:"version"`
	Tasks   []Task `json:"tasks"`
}

// Controller decides. Its own memory is soft: since when it has seen what it waits for.
type Controller struct {
	limits Limits
	seen   map[mark]progress
}

type mark struct {
	index string
	plan  shardmap.PlanID
}

type progress struct {
	step    shardmap.PlanStep
	records int64
	since   time.Duration
}

// New makes a controller.
func New(l Limits) *Controller { return &Controller{limits: l, seen: map[mark]progress{}} }

// NextActions are the commands to carry out now, at most one for each index: each is made on
// the version that it names, and the next look is at what came of it.
func (c *Controller) NextActions(in Input) (out []Action) {
	c.forget(in)
	busy, all := c.busy(in)
	for _, index := range slices.Sorted(maps.Keys(in.Maps)) {
		l := in.Maps[index]
		for _, p := range l.Plans() {
			if s, ok := c.step(in, index, p, busy, &all); ok {
				s.Index, s.Command.ExpectedVersion = index, l.Version()
				out = append(out, s)
				break
			}
		}
	}
	return out
}

// forget drops what is remembered of plans that are open no more.
func (c *Controller) forget(in Input) {
	maps.DeleteFunc(c.seen, func(m mark, _ progress) bool {
		l := in.Maps[m.index]
		return l == nil || !slices.ContainsFunc(l.Plans(), func(p shardmap.Plan) bool { return p.ID == m.plan })
	})
}

// busy counts the plans under way, in all and by server.
func (*Controller) busy(in Input) (by map[string]int, all int) {
	by = map[string]int{}
	for _, l := range in.Maps {
		for _, p := range l.Plans() {
			if p.Step != shardmap.Copying && p.Step != shardmap.Replicated {
				continue
			}
			all++
			for name := range touched(p) {
				by[name]++
			}
		}
	}
	return by, all
}

// touched are the servers that a plan makes copy.
func touched(p shardmap.Plan) map[string]bool {
	out := map[string]bool{}
	for _, s := range append(slices.Clone(p.From), p.To...) {
		for _, name := range s.Replicas {
			out[name] = true
		}
	}
	return out
}

// step is what a plan does next, if anything.
func (c *Controller) step(in Input, index string, p shardmap.Plan, busy map[string]int, all *int) (Action, bool) {
	advance := func(to shardmap.PlanStep, holding map[shardmap.ShardID][]string, why string) (Action, bool) {
		return Action{Command: shardmap.Command{Advance: &shardmap.Advance{Plan: p.ID, Step: to, Replicas: holding}}, Reason: why}, true
	}
	abandon := func(format string, args ...any) (Action, bool) {
		why := fmt.Sprintf(format, args...)
		return Action{Command: shardmap.Command{Abandon: &shardmap.Abandon{Plan: p.ID, Reason: why}}, Reason: why}, true
	}
	age := c.stuck(in, index, p)
	switch p.Step {
	case shardmap.Planned:
		if s, ok := unsound(in, p); ok {
			return abandon("no sound server is to hold slice %d", s)
		}
		if in.Overloaded || *all >= c.limits.MaxMigrations {
			return Action{}, false
		}
		for name := range touched(p) {
			if busy[name] >= c.limits.MaxPerServer {
				return Action{}, false
			}
		}
		*all++
		for name := range touched(p) {
			busy[name]++
		}
		return advance(shardmap.Copying, nil, "there is room for it")
	case shardmap.Copying, shardmap.Replicated:
		holding, ready := c.holding(in, index, p)
		if s, ok := unsound(in, p); ok && age >= c.limits.StallTimeout/patienceUnsound {
			return abandon("no sound server is left to hold slice %d", s)
		}
		if age >= c.limits.StallTimeout {
			return abandon("no progress for %s", age.Round(time.Second))
		}
		if !ready || in.Overloaded {
			return Action{}, false
		}
		if p.Step == shardmap.Copying {
			return advance(shardmap.Replicated, holding, "the new holders have it whole")
		}
		return advance(shardmap.Switched, holding, "the new holders have it whole still")
	case shardmap.Switched:
		if age >= c.limits.RetireDelay {
			return advance(shardmap.Retired, nil, "queries planned before the switch are over")
		}
	}
	return Action{}, false
}

// patienceUnsound: a plan with nobody sound to hold a slice waits so much less for one.
const patienceUnsound = 4

// stuck is for how long a plan has been at its step without progress, as far as is known:
// a controller that has just taken over begins anew.
func (c *Controller) stuck(in Input, index string, p shardmap.Plan) time.Duration {
	var records int64
	for _, s := range p.To {
		for _, name := range s.Replicas {
			for _, h := range in.Reports[name][index].Shards {
				if h.Shard == s.ID {
					records += h.Records
				}
			}
		}
	}
	m := mark{index, p.ID}
	was, known := c.seen[m]
	if !known || was.step != p.Step || records > was.records && p.Step != shardmap.Switched {
		c.seen[m] = progress{p.Step, records, in.Now}
		return 0
	}
	return in.Now - was.since
}

// unsound finds a new slice that no server which takes work is to hold.
func unsound(in Input, p shardmap.Plan) (shardmap.ShardID, bool) {
	for _, s := range p.To {
		if !slices.ContainsFunc(s.Replicas, func(name string) bool { return in.Healthy[name] }) {
			return s.ID, true
		}
	}
	return 0, false
}

// holding lists the sound servers that hold each new slice whole by a fresh report. It is
// ready once every sound server that is to hold one does, and each slice has one.
func (c *Controller) holding(in Input, index string, p shardmap.Plan) (out map[shardmap.ShardID][]string, ready bool) {
	out, ready = map[shardmap.ShardID][]string{}, true
	for _, s := range p.To {
		for _, name := range s.Replicas {
			if !in.Healthy[name] {
				continue
			}
			r, told := in.Reports[name][index]
			whole := told && in.Now-r.ReceivedAt <= c.limits.ReportTTL && slices.ContainsFunc(r.Shards, func(h ShardStatus) bool {
				return h.Shard == s.ID && h.Complete
			})
			if whole {
				out[s.ID] = append(out[s.ID], name)
			}
			ready = ready && whole
		}
		ready = ready && len(out[s.ID]) > 0
	}
	return out, ready
}

// Assignments are what each server is to hold of an index, by name: the slices that serve, those
// that gave way and are not yet retired, and those that plans under way are to bring.
func Assignments(index string, l *shardmap.Map) map[string]Assignment {
	out := map[string]Assignment{}
	add := func(s shardmap.Shard, sources func(name string) []Source) {
		for _, name := range s.Replicas {
			d := out[name]
			d.Index, d.Version = index, l.Version()
			d.Tasks = append(d.Tasks, Task{Shard: s.ID, Range: s.Range, Sources: sources(name)})
			out[name] = d
		}
	}
	twins := func(s shardmap.Shard) func(string) []Source {
		return func(name string) []Source {
			others := slices.DeleteFunc(slices.Clone(s.Replicas), func(o string) bool { return o == name })
			if len(others) == 0 {
				return nil
			}
			return []Source{{Range: s.Range, Servers: others, Shard: s.ID}}
		}
	}
	for _, s := range l.Shards() {
		add(s, twins(s))
	}
	for _, p := range l.Plans() {
		switch p.Step {
		case shardmap.Copying, shardmap.Replicated:
			for _, s := range p.To {
				add(s, func(string) []Source { return sources(s, p.From) })
			}
		case shardmap.Switched:
			for _, s := range p.From {
				add(s, twins(s))
			}
		}
	}
	for _, d := range out {
		slices.SortFunc(d.Tasks, func(a, b Task) int { return cmp.Compare(a.Shard, b.Shard) })
	}
	return out
}

// sources cut what a new slice needs along the slices that hold it now.
func sources(s shardmap.Shard, from []shardmap.Shard) (out []Source) {
	for _, old := range from {
		if both, some := old.Range.Intersect(s.Range); some {
			out = append(out, Source{Range: both, Servers: old.Replicas, Shard: old.ID})
		}
	}
	return out
}
