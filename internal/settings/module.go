package settings

import (
	"fmt"

	"linkpass"
)

// effects are the values of a class's idempotency.
var effects = map[string]linkpass.Effect{
	"free":        linkpass.Safe,
	"guarded":     linkpass.Keyed,
	"single_shot": linkpass.Unsafe,
}

// reportFields are the names of a load report's values. The module skips values of other names.
var reportFields = map[string]linkpass.ReportField{
	"active":  linkpass.FieldInflight,
	"waiting": linkpass.FieldQueue,
	"cpu":     linkpass.FieldUtil,
	"avg_ms":  linkpass.FieldServiceTime,
	"rps":     linkpass.FieldRate,
	"err_rps": linkpass.FieldErrorRate,
}

// module reads the settings of the policy module. Unknown keys are ignored, for the platform may add some.
func (r *reader) module() linkpass.Settings {
	out := linkpass.Settings{
		Tick:           r.milliseconds("tick"),
		Peers:          int(r.required("peers_total")),
		Zone:           int(r.number("az")),
		CrossCost:      r.number("penalties.cross_zone"),
		Subscribe:      r.values["membership_mode"] == "subscribe",
		Sized:          r.values["weight_source"] == "nominal" || r.values["weight_source"] == "rough",
		OverShareWorth: r.number("over_share_worth"),
	}
	r.shards(&out)
	r.bounds(&out)
	r.rules(&out)
	out.Classes = r.classes()
	for i := range r.tenantCount() {
		out.Tenants = append(out.Tenants, linkpass.Tenant{
			QuotaPerSecond: r.number(item("tenants", i, "quota_per_s")),
			Share:          r.number(item("tenants", i, "share")),
		})
	}
	for _, name := range r.names("report.fields") {
		out.ReportFields = append(out.ReportFields, reportFields[name])
	}
	return out
}

// shards reads how the data is spread over servers, and what a request to one costs.
func (r *reader) shards(out *linkpass.Settings) {
	out.Shards = int(r.required("extra.slabs"))
	out.Cells = int(r.required("extra.places"))
	out.Reach = int(r.required("extra.in_a_row"))
	out.CallParts = int(r.number("extra.parts_a_call"))
	out.CallCost = r.milliseconds("extra.call")
	out.WarmKeys = r.flag("extra.warm_keys")
}

// bounds reads limits, and which means the module may use.
func (r *reader) bounds(out *linkpass.Settings) {
	out.MaxAttempts = int(r.number("bounds.max_attempts"))
	out.MaxOpen = int(r.number("bounds.max_open"))
	out.MaxRetryAfter = r.milliseconds("bounds.max_retry_after")
	out.Cancel = r.flag("bounds.cancel")
	out.Probes = r.flag("bounds.probes")
	out.SecondCopies = r.flag("bounds.second_copies")
	out.RetryAfter = r.flag("bounds.retry_after")
}

// rules reads deadlines, the warm-up of servers, and the retry budget.
func (r *reader) rules(out *linkpass.Settings) {
	out.AnswerSlack = r.milliseconds("rules.answer_slack")
	out.AskWithin = r.milliseconds("rules.ask_within")
	out.DrainGrace = r.milliseconds("rules.drain_grace")
	out.ColdFrom = r.number("rules.cold_from")
	out.Cold = r.milliseconds("rules.cold")
	out.FallMultiple = r.number("rules.fall_multiple")
	out.BudgetWindow = r.milliseconds("rules.budget_window")
	out.BudgetFree = r.number("rules.free_resends")
	out.BudgetShare = r.number("rules.extra_ratio")
}

// classes reads the classes of queries. Some of their figures stand in lists of their own, a number for each class.
func (r *reader) classes() []linkpass.Class {
	const list = "request_classes"
	n := r.count(list)
	needs := r.numbers("extra.class_need", n, 1)
	floors := r.numbers("extra.least_share", n, 1)
	partials := r.numbers("extra.partial_earns", n, 0)
	fetches := r.numbers("extra.class_fetch", n, 0)
	var out []linkpass.Class
	for i := range n {
		out = append(out, linkpass.Class{
			Aim:        FromMilliseconds(r.required(item(list, i, "aim"))),
			Deadline:   FromMilliseconds(r.required(item(list, i, "hard_limit"))),
			Window:     r.milliseconds(item(list, i, "dedup_window")),
			Worth:      r.number(item(list, i, "importance")),
			LateShare:  r.number(item(list, i, "late_share")),
			Need:       needs[i],
			Floor:      floors[i],
			Partial:    partials[i],
			FetchParts: int(fetches[i]),
			Stream:     r.flag(item(list, i, "stream")),
			Effect:     r.effect(item(list, i, "idempotency")),
		})
	}
	return out
}

// effect reads whether a query may be repeated.
func (r *reader) effect(key string) linkpass.Effect {
	effect, ok := effects[r.values[key]]
	if !ok {
		r.fail(key, fmt.Errorf("unknown: %q", r.values[key]))
	}
	return effect
}
