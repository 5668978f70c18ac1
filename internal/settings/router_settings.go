package settings

import (
	"fmt"

	"linkpass/internal/routing"
)

// idempotencies maps the values of a class's setting idempotency.
var idempotencies = map[string]routing.Idempotency{
	"free":        routing.Idempotent,
	"guarded":     routing.IdempotentWithKey,
	"single_shot": routing.NonIdempotent,
}

// reportFields maps the names of a load report's values. A value with another name is a FieldUnknown, which the router
// skips.
var reportFields = map[string]routing.ReportField{
	"active":  routing.FieldInFlight,
	"waiting": routing.FieldQueueLength,
	"cpu":     routing.FieldUtilization,
	"avg_ms":  routing.FieldServiceTime,
	"rps":     routing.FieldRate,
	"err_rps": routing.FieldErrorRate,
}

// routerSettings reads the settings of the router. Unknown keys are ignored, because the platform may add some.
func (r *reader) routerSettings() routing.Settings {
	out := routing.Settings{
		Tick:                  r.milliseconds("tick"),
		Coordinators:          int(r.required("peers_total")),
		Zone:                  int(r.number("az")),
		CrossZoneCost:         r.number("penalties.cross_zone"),
		SubscribesToEndpoints: r.values["membership_mode"] == "subscribe",
		WeightsAreCapacities:  r.values["weight_source"] == "nominal" || r.values["weight_source"] == "rough",
		OverQuotaFactor:       r.number("over_share_worth"),
	}
	r.shards(&out)
	r.bounds(&out)
	r.rules(&out)
	out.Classes = r.classes()
	for i := range r.tenantCount() {
		out.Tenants = append(out.Tenants, routing.Tenant{
			QuotaPerSecond: r.number(itemKey("tenants", i, "quota_per_s")),
			Share:          r.number(itemKey("tenants", i, "share")),
		})
	}
	for _, name := range r.names("report.fields") {
		out.ReportFields = append(out.ReportFields, reportFields[name])
	}
	return out
}

// shards reads how the shards are placed on servers, and what a request to a server costs.
func (r *reader) shards(out *routing.Settings) {
	out.Shards = int(r.required("extra.slabs"))
	out.Cells = int(r.required("extra.places"))
	out.ReplicasPerShard = int(r.required("extra.in_a_row"))
	out.PartsPerRequest = int(r.number("extra.parts_a_call"))
	out.RequestCost = r.milliseconds("extra.call")
	out.CachesKeys = r.flag("extra.warm_keys")
}

// bounds reads limits, and which techniques the router may use.
func (r *reader) bounds(out *routing.Settings) {
	out.MaxAttempts = int(r.number("bounds.max_attempts"))
	out.MaxOpen = int(r.number("bounds.max_open"))
	out.MaxRetryAfter = r.milliseconds("bounds.max_retry_after")
	out.Cancel = r.flag("bounds.cancel")
	out.HealthChecks = r.flag("bounds.probes")
	out.Hedging = r.flag("bounds.second_copies")
	out.RetryAfter = r.flag("bounds.retry_after")
}

// rules reads time limits, the warm-up of servers, and the retry budget.
func (r *reader) rules(out *routing.Settings) {
	out.AnswerSlack = r.milliseconds("rules.answer_slack")
	out.PollWithin = r.milliseconds("rules.ask_within")
	out.DrainGrace = r.milliseconds("rules.drain_grace")
	out.WarmupInitialShare = r.number("rules.cold_from")
	out.WarmupDuration = r.milliseconds("rules.cold")
	out.WarmupOverloadFactor = r.number("rules.fall_multiple")
	out.RetryBudgetWindow = r.milliseconds("rules.budget_window")
	out.RetryBudgetMin = r.number("rules.free_resends")
	out.RetryBudgetRatio = r.number("rules.extra_ratio")
}

// classes reads the classes of queries. Some of their figures are in separate lists, which have a number for each
// class.
func (r *reader) classes() []routing.Class {
	const list = "request_classes"
	n := r.listLength(list)
	requiredWeights := r.numbers("extra.class_need", n, 1)
	minWeights := r.numbers("extra.least_share", n, 1)
	partialValues := r.numbers("extra.partial_earns", n, 0)
	fetchParts := r.numbers("extra.class_fetch", n, 0)
	var out []routing.Class
	for i := range n {
		out = append(out, routing.Class{
			LatencyObjective:  FromMilliseconds(r.required(itemKey(list, i, "aim"))),
			Deadline:          FromMilliseconds(r.required(itemKey(list, i, "hard_limit"))),
			IdempotencyWindow: r.milliseconds(itemKey(list, i, "dedup_window")),
			PriorityWeight:    r.number(itemKey(list, i, "importance")),
			LateValue:         r.number(itemKey(list, i, "late_share")),
			RequiredWeight:    requiredWeights[i],
			MinWeight:         minWeights[i],
			PartialValue:      partialValues[i],
			FetchParts:        int(fetchParts[i]),
			Stream:            r.flag(itemKey(list, i, "stream")),
			Idempotency:       r.idempotency(itemKey(list, i, "idempotency")),
		})
	}
	return out
}

// idempotency reads whether a query may be run more than once.
func (r *reader) idempotency(key string) routing.Idempotency {
	idempotency, ok := idempotencies[r.values[key]]
	if !ok {
		r.fail(key, fmt.Errorf("unknown value %q", r.values[key]))
	}
	return idempotency
}
