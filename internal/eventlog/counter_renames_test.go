package eventlog_test

import (
	"fmt"
	"strings"
)

// counterRename is a counter's name in the previous release, which alerts may still match, and its present name.
type counterRename struct {
	Old, New string
	IsPrefix bool // applies to all counters whose name begins with Old, except those with a row of their own
}

// counterRenames are the counters that this release renames. The list is kept for one release.
var counterRenames = []counterRename{
	{Old: "answers_not_whole", New: "answers_incomplete"},
	{Old: "attempts_cancelled", New: "cancels_by_router"},
	{Old: "bare_final_ms_", New: "body_evicted_final_ms_", IsPrefix: true},
	{Old: "clients_gone", New: "clients_disconnected"},
	{Old: "config_bad", New: "config_invalid"},
	{Old: "control_unsigned", New: "admin_api_unsigned"},
	{Old: "copies_forgone", New: "hedges_forgone"},
	{Old: "layout_changes", New: "shard_map_changes"},
	{Old: "list_updates", New: "endpoint_updates"},
	{Old: "marks_bad", New: "position_reports_malformed"},
	{Old: "marks_refused", New: "position_reports_rejected"},
	{Old: "orders_bad", New: "restrictions_malformed"},
	{Old: "orders_given", New: "restrictions_issued"},
	{Old: "orders_heard", New: "restrictions_received"},
	{Old: "orders_not_proposed", New: "restrictions_not_proposed"},
	{Old: "orders_unheard_", New: "restrictions_unacknowledged_", IsPrefix: true},
	{Old: "peer_answers_late", New: "upstream_answers_late"},
	{Old: "peer_conn_", New: "upstream_conn_ended_", IsPrefix: true},
	{Old: "peer_dials", New: "upstream_dials"},
	{Old: "peer_idle_closed", New: "upstream_idle_closed"},
	{Old: "peer_mailbox_full", New: "upstream_mailbox_full"},
	{Old: "peer_messages_bad", New: "upstream_messages_malformed"},
	{Old: "peer_parts_written", New: "upstream_parts_sent"},
	{Old: "probes_", New: "health_checks_", IsPrefix: true},
	{Old: "probes_sent", New: "health_checks_sent"},
	{Old: "queries_bare", New: "queries_body_evicted"},
	{Old: "queries_refused", New: "queries_rejected"},
	{Old: "queries_taken", New: "queries_received"},
	{Old: "refused_begun", New: "rejected_in_progress"},
	{Old: "refused_spent", New: "rejected_attempts_exhausted"},
	{Old: "refused_unsent", New: "rejected_unsent"},
	{Old: "replans_refused_", New: "replans_rejected_", IsPrefix: true},
	{Old: "reshape_", New: "resharding_", IsPrefix: true},
	{Old: "reshape_calls_failed", New: "resharding_calls_failed"},
	{Old: "reshape_conflicts", New: "resharding_conflicts"},
	{Old: "reshape_steps_failed", New: "resharding_steps_failed"},
	{Old: "sends_stray", New: "sends_of_unknown_parts"},
}

// markdownCounterRenames returns a row (kind, old name, new name) for each renamed counter, for the table in
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

// outcomeRename is an outcome's name in the previous release, and its present name.
type outcomeRename struct{ Old, New string }

// outcomeRenames are the outcomes that this release renames. Log lines show their names after outcome=, and the
// counters that begin with attempts_, health_checks_ and upstream_conn_ended_ end with them.
var outcomeRenames = []outcomeRename{
	{"served", "success"},
	{"turned_away", "rejected"},
	{"rejected", "bad_request"},
	{"cut_in_write", "write_interrupted"},
	{"broken", "conn_reset"},
	{"closed", "conn_closed"},
	{"garbled", "malformed_response"},
	{"silent", "timeout"},
	{"called_off", "canceled"},
	{"withheld", "not_sent"},
	{"crowded", "queue_full"},
	{"moved", "shard_moved"},
	{"ahead", "unknown_shard_map"},
	{"unversioned", "unknown_coverage"},
	{"doubled", "duplicate_coverage"},
	{"pieced", "partial_coverage"},
	{"unkept", "body_evicted"},
}

// markdownOutcomeRenames returns a row (kind, old name, new name) for each renamed outcome, for the table in
// docs/oncall.md.
func markdownOutcomeRenames() string {
	var b strings.Builder
	for _, r := range outcomeRenames {
		fmt.Fprintf(&b, "| outcome | `%s` | `%s` |\n", r.Old, r.New)
	}
	return b.String()
}
