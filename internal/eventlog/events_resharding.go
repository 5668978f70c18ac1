package eventlog

import "github.com/hashicorp/go-hclog"

// Events of the shard map and of the plans that change it.
var (
	ShardMapChanged = register(Event{
		Component: "reshape", Name: "shard_map_changed", FormerName: "layout_changed", Level: hclog.Info,
		Fields:       []string{"index", "version", "shards_added", "shards_removed"},
		FormerFields: []FieldRename{{"came", "shards_added"}, {"went", "shards_removed"}},
		Meaning:      "another version of a shard map is in force; it added and removed these numbers of shards",
		Action:       "nothing; see [slices.md](slices.md)",
	})
	ReshardingLeader = register(Event{
		Component: "reshape", Name: "resharding_leader", FormerName: "reshape_leads", Level: hclog.Info,
		Meaning: "this instance is the store's leader and executes the resharding plans from now on",
		Action:  "nothing",
	})
	AssignmentFailed = register(Event{
		Component: "reshape", Name: "assignment_failed", FormerName: "duty_failed", Level: hclog.Warn,
		Fields:  []string{"server", "err"},
		Meaning: "a league server did not accept its shard assignments; plans treat it as unhealthy",
		Action:  "check that server; searches continue",
	})
	AssignmentRefused = register(Event{
		Component: "reshape", Name: "assignment_refused", Level: hclog.Error,
		Fields: []string{"server", "accepted_term", "accepted_revision"},
		Meaning: "a league server has accepted assignments of a later leader or of later shard maps than this instance's, and " +
			"refused these; logged once until it accepts some",
		Action: "nothing after a change of leader; if it stays, the server follows another store than this one: find out which",
	})
	ReshardingStep = register(Event{
		Component: "reshape", Name: "resharding_step", FormerName: "reshape_step", Level: hclog.Info,
		Fields:       []string{"index", "plan", "step", "reason"},
		FormerFields: []FieldRename{{"why", "reason"}},
		Meaning:      "a plan went to its next step, or was abandoned",
		Action:       "for `abandoned` see `reason`, then `resume` the plan",
	})
	ReshardingStepFailed = register(Event{
		Component: "reshape", Name: "resharding_step_failed", FormerName: "reshape_step_failed", Level: hclog.Warn,
		Fields:  []string{"index", "plan", "step", "err"},
		Meaning: "the store did not commit a step; it is retried",
		Action:  "as for `event=store_failed`",
	})
)
