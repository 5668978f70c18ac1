package routing

import "time"

const (
	quotaWindow = 10 * time.Second // over which a tenant's queries are counted

	// Multiple of its quota at which a tenant counts as over it: chance must not bring it there.
	quotaTolerance = 1.25
)

// tenantQuota counts the queries of each tenant against this coordinator's part of its quota.
type tenantQuota struct {
	settings *Settings
	arrivals []*slidingWindow // by tenant
}

func newTenantQuota(settings *Settings) *tenantQuota {
	return &tenantQuota{settings: settings, arrivals: newSlidingWindows(len(settings.Tenants), quotaWindow)}
}

// countArrival counts a query of a tenant and tells whether the tenant is over its quota. Queries without a
// tenant have none.
func (t *tenantQuota) countArrival(now time.Duration, tenant int) (exceeded bool) {
	if tenant >= len(t.arrivals) {
		return false
	}
	t.arrivals[tenant].add(now, 1)
	perSecond := t.settings.Tenants[tenant].QuotaPerSecond / float64(t.settings.Coordinators)
	quota := perSecond * quotaWindow.Seconds()
	return quota > 0 && float64(t.arrivals[tenant].count(now)) > quotaTolerance*quota
}
