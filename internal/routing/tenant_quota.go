package routing

import "time"

const (
	quotaWindow = 10 * time.Second // window in which a tenant's queries are counted

	// Multiple of its quota above which a tenant counts as over quota. It leaves room for random variation of
	// the arrivals of a tenant that keeps to its quota.
	quotaTolerance = 1.25
)

// tenantQuota compares the query rate of each tenant with this coordinator's share of the tenant's quota:
// the quota divided by the number of coordinators.
type tenantQuota struct {
	settings *Settings
	arrivals []*slidingCount // by index into Settings.Tenants
}

func newTenantQuota(settings *Settings) *tenantQuota {
	return &tenantQuota{settings: settings, arrivals: newSlidingCounts(len(settings.Tenants), quotaWindow)}
}

// countArrival counts a query of a tenant and reports whether the tenant exceeds its quota. Queries without a
// tenant have no quota.
func (t *tenantQuota) countArrival(now time.Duration, tenant int) (exceeded bool) {
	if tenant >= len(t.arrivals) {
		return false
	}
	t.arrivals[tenant].add(now)
	perSecond := t.settings.Tenants[tenant].QuotaPerSecond / float64(t.settings.Coordinators)
	quota := perSecond * quotaWindow.Seconds()
	return quota > 0 && float64(t.arrivals[tenant].count(now)) > quotaTolerance*quota
}
