package routing_test

import (
	"path/filepath"
	"testing"
	"time"

	"github.com/BurntSushi/toml"

	"linkpass/internal/routing"
)

// siteNumber is a number of a site file; for a range it is the lower end.
type siteNumber float64

// UnmarshalTOML implements toml.Unmarshaler.
func (s *siteNumber) UnmarshalTOML(value any) error {
	if list, ok := value.([]any); ok {
		value = list[0]
	}
	switch v := value.(type) {
	case int64:
		*s = siteNumber(v)
	case float64:
		*s = siteNumber(v)
	}
	return nil
}

func (s siteNumber) milliseconds() time.Duration {
	return time.Duration(float64(s) * float64(time.Millisecond))
}

// site holds the settings of a site file that the trace uses.
type site struct {
	Day struct {
		Tick siteNumber `toml:"tick_ms"`
	}
	Scale struct{ Servers, Balancers siteNumber }
	Net   struct{ Zones []string }
	Allow struct {
		Probes       bool
		Cancel       bool
		SecondCopies bool `toml:"second_copies"`
		RetryAfter   bool `toml:"retry_after"`
		MaxAttempts  int  `toml:"max_attempts"`
	}
	Clients struct {
		MaxRetryAfter siteNumber `toml:"max_retry_after_ms"`
	}
	Rules struct {
		DrainGrace   siteNumber `toml:"drain_grace_ms"`
		BudgetShare  siteNumber `toml:"budget_share"`
		BudgetFree   siteNumber `toml:"budget_free"`
		Budget       siteNumber `toml:"budget_ms"`
		FallMultiple siteNumber `toml:"fall_multiple"`
	}
	Discovery struct{ Mode string }
	Prices    struct {
		CrossZone siteNumber `toml:"cross_zone"`
	}
	Tier   []siteTier
	Class  []siteClass
	Tenant []struct{ Share float64 }
	Fam    struct {
		Replicas      siteNumber
		Layout        string
		ShardsPerCell siteNumber `toml:"shards_per_cell"`
		Batch         siteNumber
		CallMicros    siteNumber `toml:"call_us"`
		Class         []struct{ Parts, Need, Floor, Partial siteNumber }
	}
}

type siteTier struct {
	Weights string
	Report  struct {
		How    string
		Fields []string
	}
	Probe struct {
		Timeout siteNumber `toml:"timeout_ms"`
	}
	Kind []struct {
		Cores    siteNumber
		Queue    siteNumber `toml:"queue_per_core"`
		ColdFrom siteNumber `toml:"cold_from"`
		Cold     siteNumber `toml:"cold_s"`
	}
}

type siteClass struct {
	Share     siteNumber
	Work      siteNumber `toml:"work_ms"`
	Aim       siteNumber `toml:"aim_ms"`
	Deadline  siteNumber `toml:"deadline_ms"`
	Worth     float64
	LateWorth float64 `toml:"late_worth"`
	Effect    string
}

var siteIdempotency = map[string]routing.Idempotency{
	"safe":   routing.Idempotent,
	"keyed":  routing.IdempotentWithKey,
	"unsafe": routing.NonIdempotent,
}

var siteFields = map[string]routing.ReportField{
	"inflight":   routing.FieldInFlight,
	"queue":      routing.FieldQueueLength,
	"util":       routing.FieldUtilization,
	"service_ms": routing.FieldServiceTime,
	"qps":        routing.FieldRate,
	"errors":     routing.FieldErrorRate,
	"other":      routing.FieldUnknown,
}

func readSite(t *testing.T, name string) *site {
	t.Helper()
	var out site
	if _, err := toml.DecodeFile(filepath.Join("..", "..", "deploy", "sites", name+".toml"), &out); err != nil {
		t.Fatal(err)
	}
	return &out
}

// settings maps a site to the settings of one of its coordinators.
func (s *site) settings() routing.Settings {
	kind := s.Tier[0].Kind[0]
	out := routing.Settings{
		Tick:                  s.Day.Tick.milliseconds(),
		Coordinators:          int(s.Scale.Balancers),
		CrossZoneCost:         float64(s.Prices.CrossZone),
		SubscribesToEndpoints: s.Discovery.Mode == "ask",
		WeightsAreCapacities:  s.Tier[0].Weights == "nominal",
		PartsPerRequest:       int(s.Fam.Batch),
		RequestCost:           (s.Fam.CallMicros / 1000).milliseconds(),
		MaxAttempts:           s.Allow.MaxAttempts,
		MaxRetryAfter:         s.Clients.MaxRetryAfter.milliseconds(),
		Cancel:                s.Allow.Cancel,
		HealthChecks:          s.Allow.Probes,
		Hedging:               s.Allow.SecondCopies,
		RetryAfter:            s.Allow.RetryAfter,
		DrainGrace:            s.Rules.DrainGrace.milliseconds(),
		WarmupInitialShare:    float64(kind.ColdFrom),
		WarmupDuration:        (1000 * kind.Cold).milliseconds(),
		WarmupOverloadFactor:  float64(s.Rules.FallMultiple),
		RetryBudgetWindow:     s.Rules.Budget.milliseconds(),
		RetryBudgetMin:        float64(s.Rules.BudgetFree),
		RetryBudgetRatio:      float64(s.Rules.BudgetShare),
	}
	s.layout(&out)
	s.classes(&out)
	for _, tenant := range s.Tenant {
		out.Tenants = append(out.Tenants, routing.Tenant{Share: tenant.Share})
	}
	for _, name := range s.Tier[0].Report.Fields {
		out.ReportFields = append(out.ReportFields, siteFields[name])
	}
	return out
}

// layout sets the numbers of cells, replicas and shards. In a ring a cell is one server; in sets it is all servers that
// hold the same shards.
func (s *site) layout(out *routing.Settings) {
	out.Cells = int(s.Scale.Servers)
	out.ReplicasPerShard = int(s.Fam.Replicas)
	if s.Fam.Layout == "sets" {
		out.Cells /= out.ReplicasPerShard
		out.ReplicasPerShard = 1
	}
	out.Shards = out.Cells * int(s.Fam.ShardsPerCell)
}

func (s *site) classes(out *routing.Settings) {
	for i, c := range s.Class {
		need := float64(s.Fam.Class[i].Need)
		if need == 0 {
			need = 1
		}
		floor := float64(s.Fam.Class[i].Floor)
		if floor == 0 {
			floor = need
		}
		out.Classes = append(out.Classes, routing.Class{
			Idempotency:      siteIdempotency[c.Effect],
			LatencyObjective: c.Aim.milliseconds(),
			Deadline:         c.Deadline.milliseconds(),
			PriorityWeight:   c.Worth,
			LateValue:        c.LateWorth,
			RequiredWeight:   need,
			MinWeight:        floor,
			PartialValue:     float64(s.Fam.Class[i].Partial),
		})
	}
}
