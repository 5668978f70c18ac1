package settings

import (
	"time"

	"linkpass/internal/routing"
)

// goldenSettings returns the settings of testdata/platform.json and testdata/simulator.txt. The numbers differ from
// each other where a test would otherwise not notice that two of them are swapped.
func goldenSettings() routing.Settings {
	return routing.Settings{
		Tick:                  5500 * time.Microsecond,
		Coordinators:          3,
		Zone:                  1,
		CrossZoneCost:         0.02,
		SubscribesToEndpoints: true,
		WeightsAreCapacities:  true,
		Classes:               goldenClasses(),
		Tenants:               []routing.Tenant{{QuotaPerSecond: 12.5, Share: 0.6}, {QuotaPerSecond: 7.5, Share: 0.4}},
		OverQuotaFactor:       0.4,
		Shards:                24,
		Cells:                 12,
		ReplicasPerShard:      2,
		PartsPerRequest:       7,
		RequestCost:           1250 * time.Microsecond,
		CachesKeys:            true,
		ReportFields:          goldenReportFields(),
		MaxAttempts:           4,
		MaxOpen:               5000,
		MaxRetryAfter:         10001 * time.Millisecond,
		Cancel:                true,
		HealthChecks:          true,
		Hedging:               true,
		RetryAfter:            true,
		AnswerSlack:           21 * time.Millisecond,
		PollWithin:            22 * time.Millisecond,
		DrainGrace:            1025 * time.Millisecond,
		WarmupInitialShare:    0.24,
		WarmupDuration:        23 * time.Millisecond,
		WarmupOverloadFactor:  2.7,
		RetryBudgetWindow:     10 * time.Second,
		RetryBudgetMin:        28,
		RetryBudgetRatio:      0.26,
		MaxWriteDelay:         251500 * time.Microsecond,
	}
}

func goldenClasses() []routing.Class {
	return []routing.Class{
		{
			Idempotency:       routing.Idempotent,
			LatencyObjective:  2500 * time.Millisecond,
			Deadline:          7500 * time.Millisecond,
			IdempotencyWindow: 9000500 * time.Microsecond,
			PriorityWeight:    5,
			LateValue:         0.31,
			RequiredWeight:    0.95,
			MinWeight:         0.55,
			PartialValue:      0.35,
			Stream:            true,
		},
		{
			Idempotency:       routing.IdempotentWithKey,
			LatencyObjective:  2 * time.Second,
			Deadline:          6 * time.Second,
			IdempotencyWindow: 8 * time.Second,
			PriorityWeight:    4,
			LateValue:         0.21,
			RequiredWeight:    0.9,
			MinWeight:         0.5,
			PartialValue:      0.3,
			FetchParts:        3,
		},
		{
			Idempotency:       routing.NonIdempotent,
			LatencyObjective:  time.Second,
			Deadline:          2500 * time.Millisecond,
			IdempotencyWindow: 7 * time.Second,
			PriorityWeight:    3,
			LateValue:         0.11,
			RequiredWeight:    0.85,
			MinWeight:         0.45,
			PartialValue:      0.25,
		},
	}
}

func goldenReportFields() []routing.ReportField {
	return []routing.ReportField{
		routing.FieldUtilization,
		routing.FieldInFlight,
		routing.FieldUnknown,
		routing.FieldQueueLength,
		routing.FieldServiceTime,
		routing.FieldRate,
		routing.FieldErrorRate,
	}
}

// goldenProgramSettings returns the program's settings of testdata/platform.json.
func goldenProgramSettings() ProgramSettings {
	return ProgramSettings{
		Zones:             []string{"ebene", "port_louis"},
		Kinds:             []string{"std-2core", "big__8core"},
		Classes:           []string{"league-table", "team-lookup", "trade"},
		Tenants:           []string{"north", "south_coast"},
		ReportNames:       []string{"cpu", "active", "novelty", "waiting", "avg_ms", "rps", "err_rps"},
		MaxStreams:        32,
		ConnectTimeout:    251500 * time.Microsecond,
		ServerIdleTimeout: 30 * time.Second,
	}
}
