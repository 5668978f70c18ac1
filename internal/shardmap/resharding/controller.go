package resharding

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"linkpass/internal/shardmap"
)

// noReplicaTimeoutDivisor shortens StallTimeout for a plan that no healthy server can
// complete: waiting for one is less likely to help than waiting for a slow copy.
const noReplicaTimeoutDivisor = 4

// Limits pace the changes.
type Limits struct {
	MaxMigrations int           // plans that copy or wait for the switch at a time, in all
	MaxPerServer  int           // the same, of one server
	RetireDelay   time.Duration // from the switch until the old replicas may drop their data; covers the longest query and the propagation of the map
	StallTimeout  time.Duration // a plan whose copies make no progress for so long is abandoned
	ReportTTL     time.Duration // reports older than this are ignored
}

// Action is a command that the controller wants executed, on the version that it names.
type Action struct {
	Index   string
	Command shardmap.Command
	Reason  string // for the log and, of an abandoned plan, for its history
}

// Controller decides on the steps of plans. It is not safe for concurrent use. What it
// remembers is soft state: for how long each plan has waited.
type Controller struct {
	limits Limits
	waits  map[planKey]progress
}

// planKey identifies a plan over all indices.
type planKey struct {
	index string
	plan  shardmap.PlanID
}

// progress is how far a plan was when it last advanced or copied anything.
type progress struct {
	step    shardmap.PlanStep
	records int64
	since   time.Duration
}

// New creates a controller.
func New(l Limits) *Controller {
	return &Controller{limits: l, waits: map[planKey]progress{}}
}

// NextActions returns the commands to execute now, at most one for each index: each names
// the version that it was decided on, so the next decision needs the result.
func (c *Controller) NextActions(in Input) []Action {
	c.forgetEndedPlans(in)
	load := newMigrationLoad(in.Maps)
	var actions []Action
	for _, index := range slices.Sorted(maps.Keys(in.Maps)) {
		m := in.Maps[index]
		for _, p := range m.Plans() {
			action, ok := c.nextAction(in, index, p, load)
			if !ok {
				continue
			}
			action.Index = index
			action.Command.ExpectedVersion = m.Version()
			actions = append(actions, action)
			break
		}
	}
	return actions
}

// forgetEndedPlans drops what is remembered of plans that are no longer open.
func (c *Controller) forgetEndedPlans(in Input) {
	maps.DeleteFunc(c.waits, func(key planKey, _ progress) bool {
		m := in.Maps[key.index]
		return m == nil || !slices.ContainsFunc(m.Plans(), func(p shardmap.Plan) bool { return p.ID == key.plan })
	})
}

// nextAction decides on the next step of a plan; false if it has to wait.
func (c *Controller) nextAction(in Input, index string, p shardmap.Plan, load *migrationLoad) (Action, bool) {
	stalled := c.stalledFor(in, index, p)
	switch p.Step {
	case shardmap.Planned:
		return c.startMigration(in, p, load)
	case shardmap.Copying, shardmap.Replicated:
		return c.continueMigration(in, index, p, stalled)
	case shardmap.Switched:
		if stalled >= c.limits.RetireDelay {
			return advance(p, shardmap.Retired, nil, "queries planned before the switch have ended"), true
		}
	}
	return Action{}, false
}

// startMigration lets a planned change begin to copy, within the limits.
func (c *Controller) startMigration(in Input, p shardmap.Plan, load *migrationLoad) (Action, bool) {
	if shard, found := in.shardWithoutHealthyReplica(p); found {
		return abandon(p, fmt.Sprintf("no sound server is to hold slice %d", shard)), true
	}
	if in.Overloaded || !load.reserve(p, c.limits) {
		return Action{}, false
	}
	return advance(p, shardmap.Copying, nil, "within the limits on migrations"), true
}

// continueMigration advances a change whose copies are complete, and abandons one that stalls.
func (c *Controller) continueMigration(
	in Input, index string, p shardmap.Plan, stalled time.Duration,
) (Action, bool) {
	if shard, found := in.shardWithoutHealthyReplica(p); found &&
		stalled >= c.limits.StallTimeout/noReplicaTimeoutDivisor {
		return abandon(p, fmt.Sprintf("no sound server is left to hold slice %d", shard)), true
	}
	if stalled >= c.limits.StallTimeout {
		return abandon(p, fmt.Sprintf("no progress for %s", stalled.Round(time.Second))), true
	}
	complete, ready := in.completeReplicas(index, p, c.limits.ReportTTL)
	if !ready || in.Overloaded {
		return Action{}, false
	}
	if p.Step == shardmap.Copying {
		return advance(p, shardmap.Replicated, complete, "all new replicas are complete"), true
	}
	return advance(p, shardmap.Switched, complete, "all new replicas are still complete"), true
}

func advance(p shardmap.Plan, to shardmap.PlanStep, replicas map[shardmap.ShardID][]string, reason string) Action {
	command := shardmap.Command{Advance: &shardmap.Advance{Plan: p.ID, Step: to, Replicas: replicas}}
	return Action{Command: command, Reason: reason}
}

// abandon ends a plan. The reason is stored with the plan and returned in HTTP bodies, so
// its texts stay the same from version to version.
func abandon(p shardmap.Plan, reason string) Action {
	command := shardmap.Command{Abandon: &shardmap.Abandon{Plan: p.ID, Reason: reason}}
	return Action{Command: command, Reason: reason}
}

// stalledFor is for how long a plan has been at its step without progress, as far as this
// controller knows: one that has just taken over starts from 0.
func (c *Controller) stalledFor(in Input, index string, p shardmap.Plan) time.Duration {
	key := planKey{index, p.ID}
	records := in.copiedRecords(index, p)
	last, known := c.waits[key]
	copied := records > last.records && p.Step != shardmap.Switched
	if !known || last.step != p.Step || copied {
		c.waits[key] = progress{step: p.Step, records: records, since: in.Now}
		return 0
	}
	return in.Now - last.since
}
