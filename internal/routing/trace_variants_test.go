package routing_test

import (
	"slices"
	"time"

	"linkpass/internal/routing"
)

// variant is a site with some settings changed.
type variant struct {
	name   string
	site   string
	change func(*routing.Settings)
}

func setFields(set *routing.Settings, names ...string) {
	set.ReportFields = nil
	for _, name := range names {
		set.ReportFields = append(set.ReportFields, siteFields[name])
	}
}

func setEffect(set *routing.Settings, effect string, window time.Duration) {
	set.Classes = slices.Clone(set.Classes)
	for i := range set.Classes {
		set.Classes[i].Idempotency = siteEffects[effect]
		set.Classes[i].IdempotencyWindow = window
	}
}

func setQuotas(set *routing.Settings) {
	set.OverQuotaFactor = 0.4
	for i, quota := range []float64{45, 24, 12} {
		set.Tenants[i].QuotaPerSecond = quota
	}
}

func setSecondSteps(set *routing.Settings) {
	set.Classes[1].FetchParts = 2
	set.Classes[2].Stream = true
}

func setSmallBudget(set *routing.Settings) {
	set.Hedging = true
	set.RetryBudgetMin = 4
	set.RetryBudgetRatio = 0.05
}

func setBudget(set *routing.Settings) {
	set.RetryBudgetWindow = 5 * time.Second
	set.RetryBudgetMin = 10
	set.RetryBudgetRatio = 0.1
	set.MaxWriteDelay = 300 * time.Millisecond
}

func setSlowStart(set *routing.Settings) {
	set.WarmupInitialShare = 0.05
	set.WarmupDuration = 14 * time.Second
	setFields(set, "service_ms", "inflight", "queue", "util")
}

const clinic, harbour = "night-clinic", "harbour-ledger"

// variants turn each feature of the settings off and on.
var variants = []variant{
	{"clinic", clinic, func(*routing.Settings) {}},
	{"clinic-no-probes", clinic, func(s *routing.Settings) { s.HealthChecks = false }},
	{"clinic-copies", clinic, func(s *routing.Settings) { s.Hedging = true }},
	{"clinic-small-budget", clinic, setSmallBudget},
	{"clinic-no-cancel", clinic, func(s *routing.Settings) { s.Cancel = false }},
	{"clinic-no-advice", clinic, func(s *routing.Settings) { s.RetryAfter = false }},
	{"clinic-subscribe", clinic, func(s *routing.Settings) { s.SubscribesToEndpoints = true }},
	{"clinic-no-reports", clinic, func(s *routing.Settings) { s.ReportFields = nil }},
	{"clinic-no-budget", clinic, func(s *routing.Settings) { s.RetryBudgetWindow = 0 }},
	{"clinic-one-attempt", clinic, func(s *routing.Settings) { s.MaxAttempts = 1 }},
	{"clinic-small-room", clinic, func(s *routing.Settings) { s.MaxOpen = 60 }},
	{"clinic-all-fields", clinic, func(s *routing.Settings) {
		setFields(s, "queue", "service_ms", "other", "qps", "inflight", "errors", "util")
	}},
	{"clinic-pace", clinic, func(s *routing.Settings) { setFields(s, "service_ms", "qps") }},
	{"clinic-single-calls", clinic, func(s *routing.Settings) { s.RequestCost, s.PartsPerRequest = 0, 0 }},
	{"clinic-keyed", clinic, func(s *routing.Settings) {
		setEffect(s, "keyed", 400*time.Millisecond)
		s.MaxWriteDelay = 200 * time.Millisecond
	}},
	{"clinic-quotas", clinic, setQuotas},
	{"clinic-second-steps", clinic, setSecondSteps},
	{"harbour", harbour, func(*routing.Settings) {}},
	{"harbour-no-probes", harbour, func(s *routing.Settings) { s.HealthChecks = false }},
	{"harbour-no-copies", harbour, func(s *routing.Settings) { s.Hedging = false }},
	{"harbour-no-cancel", harbour, func(s *routing.Settings) { s.Cancel = false }},
	{"harbour-pushed", harbour, func(s *routing.Settings) { s.SubscribesToEndpoints = false }},
	{"harbour-near-far-alike", harbour, func(s *routing.Settings) { s.CrossZoneCost = 0 }},
	{"harbour-unsized", harbour, func(s *routing.Settings) { s.WeightsAreCapacities = false }},
	{"harbour-sized-by-hand", harbour, func(s *routing.Settings) { setFields(s, "inflight", "queue") }},
	{"harbour-budget", harbour, setBudget},
	{"harbour-keyed", harbour, func(s *routing.Settings) { setEffect(s, "keyed", 700*time.Millisecond) }},
	{"harbour-safe", harbour, func(s *routing.Settings) { setEffect(s, "safe", 0) }},
	{"harbour-one-node", harbour, func(s *routing.Settings) { s.Coordinators = 1 }},
	{"harbour-always-warm", harbour, func(s *routing.Settings) { s.WarmupDuration = 0 }},
	{"harbour-slow-start", harbour, setSlowStart},
	{"harbour-any-attempts", harbour, func(s *routing.Settings) {
		s.MaxAttempts = 0
		setEffect(s, "safe", 0)
	}},
}
