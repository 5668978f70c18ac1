package simwire

import (
	"strings"
	"testing"
	"time"

	"linkpass/internal/routing"
	"linkpass/internal/settings"
)

const settingsText = `az=1
bounds.cancel=true
bounds.max_attempts=4
bounds.probes=true
bounds.second_copies=true
extra.class_fetch=0,3
extra.class_need=1.0,0.9
extra.in_a_row=3
extra.least_share=1.0,0.5
extra.places=12
extra.slabs=24
membership_mode=subscribe
peers_total=3
report.fields=cpu,active,novelty
request_classes.count=2
request_classes.0.aim=2500.0
request_classes.0.hard_limit=7500.0
request_classes.0.idempotency=free
request_classes.1.aim=2000.0
request_classes.1.hard_limit=6000.0
request_classes.1.idempotency=guarded
some.new.key=7
tenants.count=1
tenants.0.quota_per_s=12.5
tick=5.0
weight_source=rough
`

func TestParseTextReadsSettings(t *testing.T) {
	s, err := settings.ParseText(settingsText)
	if err != nil {
		t.Fatal(err)
	}
	if s.Cells != 12 || s.Shards != 24 || !s.SubscribesToEndpoints || !s.WeightsAreCapacities || s.Tick != 5*time.Millisecond {
		t.Errorf("settings = %+v, want 12 cells, 24 shards, a subscription, weights as capacities and a tick of 5ms", s)
	}
	if c := s.Classes[1]; c.Idempotency != routing.IdempotentWithKey || c.RequiredWeight != 0.9 || c.MinWeight != 0.5 || c.FetchParts != 3 {
		t.Errorf("class 1 = %+v, want IdempotentWithKey (%d), required weight 0.9, minimum weight 0.5, 3 fetch parts",
			c, routing.IdempotentWithKey)
	}
	fields := []routing.ReportField{routing.FieldUtilization, routing.FieldInFlight, routing.FieldUnknown}
	for i, f := range fields {
		if s.ReportFields[i] != f {
			t.Errorf("report field %d = %v, want %v", i, s.ReportFields[i], f)
		}
	}
	if len(s.Tenants) != 1 || s.Tenants[0].QuotaPerSecond != 12.5 {
		t.Errorf("tenants = %+v, want one with a quota of 12.5 per second", s.Tenants)
	}
}

func TestParseTextRejectsMissingRequiredKey(t *testing.T) {
	for _, key := range []string{"extra.places", "request_classes.0.aim", "peers_total"} {
		t.Run(key, func(t *testing.T) {
			text := strings.Replace(settingsText, key+"=", "old."+key+"=", 1)
			if _, err := settings.ParseText(text); err == nil || !strings.Contains(err.Error(), key) {
				t.Errorf("error = %v, want one that names %s", err, key)
			}
		})
	}
}
