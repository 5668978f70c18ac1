package routing

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// A replica that exceeds the fewest in-flight attempts of the candidates by more than this is chosen
	// last, whatever its load. Only this coordinator's attempts count.
	maxInFlightLead = 2

	// Subtracted from a replica's cost, in requests of load, if requests cost and the part can share one.
	sharedRequestDiscount = 1.1

	// The load of a server is divided by this power of its health, which is from 0 to 1. The division raises
	// the load of a failing server, which looks idle.
	healthExponent = 2

	// Added to the cost of a replica in another zone, in requests of load per unit of Settings.CrossZoneCost.
	crossZonePenalty = 50
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

	partsSent map[*server]int // in this turn, by server; such parts can share a request
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

// candidates returns the replicas that a part may be sent to now, without outliers. If some of them got none
// of the part's attempts, it returns only those.
func (r *replicaSelector) candidates(now time.Duration, p *part) []*server {
	eligible := filter(r.endpoints.replicasOf(p.shard), func(s *server) bool {
		return r.eligibility.mayGetAttempt(now, s) && !p.isInFlightAt(s)
	})
	healthy := r.outliers.eject(now, eligible, p.query.classIndex)
	return filterOrAll(healthy, func(s *server) bool { return !slices.Contains(p.servers, s) })
}

// choose picks one of the replicas that replied. It compares, in this order, by how much the in-flight
// attempts exceed maxInFlightLead over the fewest of the candidates, the cost, and the number of in-flight
// attempts; the least wins. Ties are broken at random.
func (r *replicaSelector) choose(now time.Duration, p *part, candidates, replied []*server) *server {
	least := candidates[0].inFlight.count
	for _, s := range candidates {
		least = min(least, s.inFlight.count)
	}
	excessLead := func(s *server) int { return max(0, s.inFlight.count-least-maxInFlightLead) }
	r.random.Shuffle(len(replied), func(i, j int) { replied[i], replied[j] = replied[j], replied[i] })
	return slices.MinFunc(replied, func(a, b *server) int {
		return cmp.Or(
			cmp.Compare(excessLead(a), excessLead(b)),
			cmp.Compare(r.cost(now, p, a), r.cost(now, p, b)),
			cmp.Compare(a.inFlight.count, b.inFlight.count),
		)
	})
}

// cost returns the cost of sending a part to a server, in requests of load. A failing server looks idle, so
// the load is divided by a power of its health. The cost of another zone is left out during an overload.
func (r *replicaSelector) cost(now time.Duration, p *part, s *server) float64 {
	cost := r.load.load(now, s)
	if r.settings.RequestCost > 0 && r.partsSent[s]%max(1, r.settings.PartsPerRequest) > 0 {
		cost -= sharedRequestDiscount
	}
	cost /= math.Pow(r.outliers.health(now, s, p.query.classIndex), healthExponent)
	if s.endpoint.Zone != r.settings.Zone && !r.admission.wasRecentlyOverloaded(now) {
		cost += crossZonePenalty * r.settings.CrossZoneCost
	}
	return cost
}

// chooseByLatency picks a replica if no candidate replied. It compares, in this order, the consecutive failed
// health checks, the median latency, and the number of in-flight attempts; the least wins. A server without
// latency samples counts as average. candidates must not be empty.
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
