package settings

import (
	"time"

	"linkpass"
)

// goldenSettings are the settings of testdata/platform.json and testdata/simulator.txt. Numbers differ where one could be
// mistaken for another.
func goldenSettings() linkpass.Settings {
	return linkpass.Settings{
		Tick:           5500 * time.Microsecond,
		Peers:          3,
		Zone:           1,
		CrossCost:      0.02,
		Subscribe:      true,
		Sized:          true,
		Classes:        goldenClasses(),
		Tenants:        []linkpass.Tenant{{QuotaPerSecond: 12.5, Share: 0.6}, {QuotaPerSecond: 7.5, Share: 0.4}},
		OverShareWorth: 0.4,
		Shards:         24,
		Cells:          12,
		Reach:          2,
		CallParts:      7,
		CallCost:       1250 * time.Microsecond,
		WarmKeys:       true,
		ReportFields:   goldenReportFields(),
		MaxAttempts:    4,
		MaxOpen:        5000,
		MaxRetryAfter:  10001 * time.Millisecond,
		Cancel:         true,
		Probes:         true,
		SecondCopies:   true,
		RetryAfter:     true,
		AnswerSlack:    21 * time.Millisecond,
		AskWithin:      22 * time.Millisecond,
		DrainGrace:     1025 * time.Millisecond,
		ColdFrom:       0.24,
		Cold:           23 * time.Millisecond,
		FallMultiple:   2.7,
		BudgetWindow:   10 * time.Second,
		BudgetFree:     28,
		BudgetShare:    0.26,
		WriteLag:       251500 * time.Microsecond,
	}
}

func goldenClasses() []linkpass.Class {
	return []linkpass.Class{
		{
			Effect:    linkpass.Safe,
			Aim:       2500 * time.Millisecond,
			Deadline:  7500 * time.Millisecond,
			Window:    9000500 * time.Microsecond,
			Worth:     5,
			LateShare: 0.31,
			Need:      0.95,
			Floor:     0.55,
			Partial:   0.35,
			Stream:    true,
		},
		{
			Effect:     linkpass.Keyed,
			Aim:        2 * time.Second,
			Deadline:   6 * time.Second,
			Window:     8 * time.Second,
			Worth:      4,
			LateShare:  0.21,
			Need:       0.9,
			Floor:      0.5,
			Partial:    0.3,
			FetchParts: 3,
		},
		{
			Effect:    linkpass.Unsafe,
			Aim:       time.Second,
			Deadline:  2500 * time.Millisecond,
			Window:    7 * time.Second,
			Worth:     3,
			LateShare: 0.11,
			Need:      0.85,
			Floor:     0.45,
			Partial:   0.25,
		},
	}
}

func goldenReportFields() []linkpass.ReportField {
	return []linkpass.ReportField{
		linkpass.FieldUtil,
		linkpass.FieldInflight,
		linkpass.FieldUnknown,
		linkpass.FieldQueue,
		linkpass.FieldServiceTime,
		linkpass.FieldRate,
		linkpass.FieldErrorRate,
	}
}

// goldenHost is the host of testdata/platform.json.
func goldenHost() Host {
	return Host{
		Zones:          []string{"ebene", "port_louis"},
		Kinds:          []string{"std-2core", "big__8core"},
		Classes:        []string{"league-table", "team-lookup", "trade"},
		Tenants:        []string{"north", "south_coast"},
		ReportNames:    []string{"cpu", "active", "novelty", "waiting", "avg_ms", "rps", "err_rps"},
		MaxStreams:     32,
		ConnectTimeout: 251500 * time.Microsecond,
		Keepalive:      30 * time.Second,
	}
}
