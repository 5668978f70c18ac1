package resharding

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"linkpass/internal/shardmap"
)

// noReplicaTimeoutDivisor divides StallTimeout for a plan with a new shard that is assigned to no healthy server:
// waiting for a healthy server is less likely to help than waiting for a slow copy.
const noReplicaTimeoutDivisor = 4

// Limits bounds the load of migrations and sets the controller's delays.
type Limits struct {
	MaxMigrations int // plans that copy or wait for the switch at a time, over all indices
	MaxPerServer  int // such plans that involve one server
	// RetireDelay is the time from the switch until the old replicas may drop their data. It covers the longest
	// query and the propagation of the map.
	RetireDelay time.Duration
	// StallTimeout is how long a plan at the step Copying or Replicated may go without progress: if for this long
	// neither its step has changed nor the number of copied records has grown, it is abandoned. The time during an
	// overload counts too.
	StallTimeout time.Duration
	ReportTTL    time.Duration // maximum age of a server's report that may show that a copy is complete
}

// Action is a command that the controller wants executed on the version of the map that the command names.
type Action struct {
	Index   string
	Command shardmap.Command
	Reason  string // for the log; for an abandoned plan also for the map's history
}

// Controller decides on the steps of plans. It is not safe for concurrent use. Its only state is how long each
// plan has gone without progress; losing it only restarts these times.
type Controller struct {
	limits       Limits
	lastProgress map[planKey]progress // the last progress of each open plan
}

// planKey identifies a plan among those of all indices.
type planKey struct {
	index string
	plan  shardmap.PlanID
}

// progress is the state of a plan when it last advanced or copied a record.
type progress struct {
	step    shardmap.PlanStep
	records int64         // copied, over all new replicas
	since   time.Duration // when that was, on the clock of Input.Now
}

// New returns a controller that knows no plan yet.
func New(l Limits) *Controller {
	return &Controller{limits: l, lastProgress: map[planKey]progress{}}
}

// NextActions returns the commands to execute now, at most one for each index: a command names the version that
// it was decided on, so the next decision has to wait for its result.
func (c *Controller) NextActions(in Input) []Action {
	c.removeEndedPlans(in)
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

// removeEndedPlans deletes the progress of plans that are no longer open.
func (c *Controller) removeEndedPlans(in Input) {
	maps.DeleteFunc(c.lastProgress, func(key planKey, _ progress) bool {
		m := in.Maps[key.index]
		return m == nil || !slices.ContainsFunc(m.Plans(), func(p shardmap.Plan) bool { return p.ID == key.plan })
	})
}

// nextAction decides on the next step of a plan. It reports false if the plan has to wait. A malformed plan, which earlier
// versions of the program accepted in a document, is abandoned.
func (c *Controller) nextAction(in Input, index string, p shardmap.Plan, load *migrationLoad) (Action, bool) {
	if err := in.Maps[index].CheckPlan(p); err != nil && p.Step != shardmap.Switched {
		return abandon(p, fmt.Sprintf("the plan is malformed: %s", err)), true
	}
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

// startMigration moves a planned plan to Copying if the fleet is not overloaded and the limits allow it. It
// abandons a plan with a new shard that is assigned to no healthy server.
func (c *Controller) startMigration(in Input, p shardmap.Plan, load *migrationLoad) (Action, bool) {
	if shard, found := in.shardWithoutHealthyReplica(p); found {
		return abandon(p, fmt.Sprintf("no sound server is to hold slice %d", shard)), true
	}
	if in.Overloaded || !load.reserve(p, c.limits) {
		return Action{}, false
	}
	return advance(p, shardmap.Copying, nil, "within the limits on migrations"), true
}

// continueMigration advances a plan whose copies are complete and abandons one that has stalled.
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

// abandon returns the action that ends a plan. The reason is stored with the plan and returned in HTTP bodies, so
// its texts must not change between releases.
func abandon(p shardmap.Plan, reason string) Action {
	command := shardmap.Command{Abandon: &shardmap.Abandon{Plan: p.ID, Reason: reason}}
	return Action{Command: command, Reason: reason}
}

// stalledFor returns how long a plan has been at its step without progress since this controller first saw it: a
// controller that has just taken over starts from 0.
func (c *Controller) stalledFor(in Input, index string, p shardmap.Plan) time.Duration {
	key := planKey{index, p.ID}
	records := in.copiedRecords(index, p)
	last, known := c.lastProgress[key]
	copied := records > last.records && p.Step != shardmap.Switched
	if !known || last.step != p.Step || copied {
		c.lastProgress[key] = progress{step: p.Step, records: records, since: in.Now}
		return 0
	}
	return in.Now - last.since
}
