package routing

import (
	"testing"
	"time"
)

func TestTenantQuotaCountArrival(t *testing.T) {
	const coordinators = 2
	const perSecond = 8 // over all coordinators
	limit := int(quotaTolerance * perSecond / coordinators * quotaWindow.Seconds())
	for name, c := range map[string]struct {
		tenant   int
		arrivals int // before the arrival under test
		elapsed  time.Duration
		want     bool
	}{
		"under the quota":   {0, limit - 2, 0, false},
		"at the quota":      {0, limit - 1, 0, false},
		"over the quota":    {0, limit, 0, true},
		"within the window": {0, limit, quotaWindow - 1, true},
		"after the window":  {0, limit, quotaWindow, false},
		"no quota":          {1, 10 * limit, 0, false},
		"no tenant":         {2, 10 * limit, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			settings := testSettings()
			settings.Coordinators = coordinators
			settings.Tenants = []Tenant{{QuotaPerSecond: perSecond}, {}}
			quotas := newTenantQuota(&settings)
			for range c.arrivals {
				quotas.countArrival(time.Minute, c.tenant)
			}
			if got := quotas.countArrival(time.Minute+c.elapsed, c.tenant); got != c.want {
				t.Errorf("exceeded = %v after %d arrivals, want %v", got, c.arrivals, c.want)
			}
		})
	}
}

func TestTenantQuotaCountsEachTenantAlone(t *testing.T) {
	settings := testSettings()
	settings.Tenants = []Tenant{{QuotaPerSecond: 1}, {QuotaPerSecond: 1}}
	quotas := newTenantQuota(&settings)
	for range 100 {
		quotas.countArrival(time.Minute, 1)
	}
	if quotas.countArrival(time.Minute, 0) {
		t.Error("exceeded = true for tenant 0 after arrivals of tenant 1 only, want false")
	}
	if !quotas.countArrival(time.Minute, 1) {
		t.Error("exceeded = false for tenant 1 after 100 arrivals, want true")
	}
}
