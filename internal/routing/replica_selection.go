package routing

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// A replica may have so many more of this coordinator's attempts in flight than the shard's least before
	// it is chosen last, whatever its load.
	maxInFlightLead = 2

	// What it is worth, in requests of load, to share a request to a server where requests cost.
	sharedRequestBonus = 1.1

	// The load of a server counts over this power of its health: a failing server looks idle.
	healthExponent = 2

	// What it is worth, in requests of load, to stay in the zone, for each unit of Settings.CrossZoneCost.
	sameZoneBonus = 50
)

// replicaSelector chooses the replica that gets a part's next attempt.
type replicaSelector struct {
	settings    *Settings
	random      *rand.Rand
	endpoints   *endpointList
	load        *loadEstimator
	outliers    *outlierDetector
	eligibility eligibility
	admission   *admissionControl

	partsSent map[*server]int // in this turn: they can share a request
}

func newReplicaSelector(settings *Settings, random *rand.Rand, endpoints *endpointList,
	results *resultRecorder, eligible eligibility, admission *admissionControl) *replicaSelector {
	return &replicaSelector{
		settings:    settings,
		random:      random,
		endpoints:   endpoints,
		load:        results.load,
		outliers:    results.outliers,
		eligibility: eligible,
		admission:   admission,
		partsSent:   map[*server]int{},
	}
}

// candidates lists the replicas that a part may be sent to now, without outliers; those that got none of
// its attempts, if there are any.
func (r *replicaSelector) candidates(now time.Duration, p *part) []*server {
	eligible := filter(r.endpoints.replicasOf(p.shard), func(s *server) bool {
		return r.eligibility.mayGetAttempt(now, s) && !p.isInFlightAt(s)
	})
	healthy := r.outliers.eject(now, eligible, p.query.classIndex)
	return prefer(healthy, func(s *server) bool { return !slices.Contains(p.servers, s) })
}

// choose picks a replica among those that replied: none that leads in attempts in flight, the least cost, the
// fewest attempts in flight, in this order. Ties are broken at random.
func (r *replicaSelector) choose(now time.Duration, p *part, candidates, replied []*server) *server {
	least := candidates[0].inFlight.count
	for _, s := range candidates {
		least = min(least, s.inFlight.count)
	}
	lead := func(s *server) int { return max(0, s.inFlight.count-least-maxInFlightLead) }
	r.random.Shuffle(len(replied), func(i, j int) { replied[i], replied[j] = replied[j], replied[i] })
	return slices.MinFunc(replied, func(a, b *server) int {
		return cmp.Or(
			cmp.Compare(lead(a), lead(b)),
			cmp.Compare(r.cost(now, p, a), r.cost(now, p, b)),
			cmp.Compare(a.inFlight.count, b.inFlight.count),
		)
	})
}

// cost of a part at a server, in requests of load. A failing server looks idle, so its load is set against
// its health.
func (r *replicaSelector) cost(now time.Duration, p *part, s *server) float64 {
	cost := r.load.load(now, s)
	if r.settings.RequestCost > 0 && r.partsSent[s]%max(1, r.settings.PartsPerRequest) > 0 {
		cost -= sharedRequestBonus
	}
	cost /= math.Pow(r.outliers.health(now, s, p.query.classIndex), healthExponent)
	if s.endpoint.Zone != r.settings.Zone && !r.admission.wasRecentlyOverloaded(now) {
		cost += sameZoneBonus * r.settings.CrossZoneCost
	}
	return cost
}

// chooseByLatency picks a replica where none replied: the fewest failed health checks, the lowest median
// latency, the fewest attempts in flight, in this order. A server without a latency counts as average. The
// list may not be empty.
func (r *replicaSelector) chooseByLatency(now time.Duration, p *part, candidates []*server) *server {
	average := meanMedianLatency(now, r.endpoints.replicasOf(p.shard))
	return slices.MinFunc(candidates, func(a, b *server) int {
		return cmp.Or(
			cmp.Compare(a.checks.consecutiveFailures, b.checks.consecutiveFailures),
			cmp.Compare(a.latency.median(now, average), b.latency.median(now, average)),
			cmp.Compare(a.inFlight.count, b.inFlight.count),
		)
	})
}
