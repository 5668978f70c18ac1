package routing_test

import (
	"slices"
	"time"
)

// variant is a site with some of its settings changed.
type variant struct {
	name   string
	site   string
	change func(*routerSettings)
}

func setFields(set *routerSettings, names ...string) {
	set.ReportFields = nil
	for _, name := range names {
		set.ReportFields = append(set.ReportFields, siteFields[name])
	}
}

func setIdempotency(set *routerSettings, effect string, window time.Duration) {
	set.Classes = slices.Clone(set.Classes)
	for i := range set.Classes {
		set.Classes[i].Idempotency = siteIdempotency[effect]
		set.Classes[i].IdempotencyWindow = window
	}
}

func setQuotas(set *routerSettings) {
	set.OverQuotaFactor = 0.4
	for i, quota := range []float64{45, 24, 12} {
		set.Tenants[i].QuotaPerSecond = quota
	}
}

func setSecondSteps(set *routerSettings) {
	set.Classes[1].FetchParts = 2
	set.Classes[2].Stream = true
}

func setSmallBudget(set *routerSettings) {
	set.Hedging = true
	set.RetryBudgetMin = 4
	set.RetryBudgetRatio = 0.05
}

func setUnlimitedHedges(set *routerSettings) {
	set.Hedging = true
	set.MaxAttempts = 0
	set.RetryBudgetWindow = 0
}

// setLongDeadlines raises latency objectives and deadlines, so that few queries are rejected for lack of capacity.
func setLongDeadlines(set *routerSettings) {
	for i := range set.Classes {
		set.Classes[i].LatencyObjective *= 6
		set.Classes[i].Deadline *= 4
	}
}

func setBudget(set *routerSettings) {
	set.RetryBudgetWindow = 5 * time.Second
	set.RetryBudgetMin = 10
	set.RetryBudgetRatio = 0.1
	set.MaxWriteDelay = 300 * time.Millisecond
}

func setSlowStart(set *routerSettings) {
	set.WarmupInitialShare = 0.05
	set.WarmupDuration = 14 * time.Second
	setFields(set, "service_ms", "inflight", "queue", "util")
}

const clinic, harbour = "night-clinic", "harbour-ledger"

// variants switch each feature of the settings on and off.
var variants = []variant{
	{"clinic", clinic, func(*routerSettings) {}},
	{"clinic-no-probes", clinic, func(s *routerSettings) { s.HealthChecks = false }},
	{"clinic-copies", clinic, func(s *routerSettings) { s.Hedging = true }},
	{"clinic-any-copies", clinic, setUnlimitedHedges},
	{"clinic-small-budget", clinic, setSmallBudget},
	{"clinic-no-cancel", clinic, func(s *routerSettings) { s.Cancel = false }},
	{"clinic-no-advice", clinic, func(s *routerSettings) { s.RetryAfter = false }},
	{"clinic-subscribe", clinic, func(s *routerSettings) { s.SubscribesToEndpoints = true }},
	{"clinic-no-reports", clinic, func(s *routerSettings) { s.ReportFields = nil }},
	{"clinic-no-budget", clinic, func(s *routerSettings) { s.RetryBudgetWindow = 0 }},
	{"clinic-one-attempt", clinic, func(s *routerSettings) { s.MaxAttempts = 1 }},
	{"clinic-small-room", clinic, func(s *routerSettings) { s.MaxOpen = 60 }},
	{"clinic-all-fields", clinic, func(s *routerSettings) {
		setFields(s, "queue", "service_ms", "other", "qps", "inflight", "errors", "util")
	}},
	{"clinic-pace", clinic, func(s *routerSettings) { setFields(s, "service_ms", "qps") }},
	{"clinic-single-calls", clinic, func(s *routerSettings) { s.RequestCost, s.PartsPerRequest = 0, 0 }},
	{"clinic-keyed", clinic, func(s *routerSettings) {
		setIdempotency(s, "keyed", 400*time.Millisecond)
		s.MaxWriteDelay = 200 * time.Millisecond
	}},
	{"clinic-keyed-copies", clinic, func(s *routerSettings) {
		setIdempotency(s, "keyed", 350*time.Millisecond)
		setUnlimitedHedges(s)
	}},
	{"clinic-quotas", clinic, setQuotas},
	{"clinic-second-steps", clinic, setSecondSteps},
	{"harbour", harbour, func(*routerSettings) {}},
	{"harbour-no-probes", harbour, func(s *routerSettings) { s.HealthChecks = false }},
	{"harbour-no-copies", harbour, func(s *routerSettings) { s.Hedging = false }},
	{"harbour-no-cancel", harbour, func(s *routerSettings) { s.Cancel = false }},
	{"harbour-pushed", harbour, func(s *routerSettings) { s.SubscribesToEndpoints = false }},
	{"harbour-near-far-alike", harbour, func(s *routerSettings) { s.CrossZoneCost = 0 }},
	{"harbour-far-dear", harbour, func(s *routerSettings) {
		s.CrossZoneCost = 0.05
		s.ReplicasPerShard = 3
		setLongDeadlines(s)
	}},
	{"harbour-far-cheap", harbour, func(s *routerSettings) {
		s.CrossZoneCost = 0.008
		s.ReplicasPerShard = 3
		setLongDeadlines(s)
	}},
	{"harbour-reports-seldom", harbour, func(s *routerSettings) {
		setSlowStart(s)
		s.HealthChecks = false
	}},
	{"harbour-unsized", harbour, func(s *routerSettings) { s.WeightsAreCapacities = false }},
	{"harbour-sized-by-hand", harbour, func(s *routerSettings) { setFields(s, "inflight", "queue") }},
	{"harbour-budget", harbour, setBudget},
	{"harbour-keyed", harbour, func(s *routerSettings) { setIdempotency(s, "keyed", 700*time.Millisecond) }},
	{"harbour-keyed-briefly", harbour, func(s *routerSettings) { setIdempotency(s, "keyed", 90*time.Millisecond) }},
	{"harbour-safe", harbour, func(s *routerSettings) { setIdempotency(s, "safe", 0) }},
	{"harbour-one-node", harbour, func(s *routerSettings) { s.Coordinators = 1 }},
	{"harbour-always-warm", harbour, func(s *routerSettings) { s.WarmupDuration = 0 }},
	{"harbour-slow-start", harbour, setSlowStart},
	{"harbour-any-attempts", harbour, func(s *routerSettings) {
		s.MaxAttempts = 0
		setIdempotency(s, "safe", 0)
	}},
}
