package eventlog_test

import (
	"fmt"
	"strings"
)

// counterRename is a counter's name in the release before, which alerts may still look for, and the one that took its place.
type counterRename struct {
	Old, New string
	IsPrefix bool // for all counters whose name begins so, but for those that have a row of their own
}

// counterRenames are the counters that this release renames. The list is kept for one release.
var counterRenames = []counterRename{
	{Old: "config_bad", New: "config_invalid"},
	{Old: "control_unsigned", New: "admin_api_unsigned"},
	{Old: "layout_changes", New: "shard_map_changes"},
	{Old: "marks_bad", New: "position_reports_malformed"},
	{Old: "marks_refused", New: "position_reports_rejected"},
	{Old: "orders_bad", New: "restrictions_malformed"},
	{Old: "orders_given", New: "restrictions_issued"},
	{Old: "orders_heard", New: "restrictions_received"},
	{Old: "orders_not_proposed", New: "restrictions_not_proposed"},
	{Old: "orders_unheard_", New: "restrictions_unacknowledged_", IsPrefix: true},
	{Old: "reshape_", New: "resharding_", IsPrefix: true},
	{Old: "reshape_calls_failed", New: "resharding_calls_failed"},
	{Old: "reshape_conflicts", New: "resharding_conflicts"},
	{Old: "reshape_steps_failed", New: "resharding_steps_failed"},
}

// markdownCounterRenames returns the rows «kind, old name, new name» of the renamed counters, for the table in
// docs/oncall.md.
func markdownCounterRenames() string {
	var b strings.Builder
	for _, r := range counterRenames {
		kind := "counter"
		if r.IsPrefix {
			kind = "counters that begin with"
		}
		fmt.Fprintf(&b, "| %s | `%s` | `%s` |\n", kind, r.Old, r.New)
	}
	return b.String()
}
