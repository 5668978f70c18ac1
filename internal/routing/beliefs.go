package routing

import "time"

// ServerSnapshot is what the router holds of one listed server, to be shown. Nothing is decided by it.
type ServerSnapshot struct {
	Server             ServerID
	State              EndpointState
	InFlight           int           // own parts out
	MedianLatency      time.Duration // of own parts lately; 0: none
	Health             []float64     // by class, 1 when sound
	FailedHealthChecks int           // probes lost in a row
	WarmingUp          bool
	Unreachable        bool          // its last connect failed, and it is left alone
	Backoff            time.Duration // for so long still it is left alone as full or down
	SinceLastSend      time.Duration // since the latest part
}

// Snapshot lists what is held of the listed servers, by id.
func (r *Router) Snapshot(now time.Duration) (out []ServerSnapshot) {
	r.now = max(r.now, now)
	for _, s := range r.order {
		b := ServerSnapshot{Server: s.id, State: s.entry.State, InFlight: s.out, MedianLatency: time.Duration(s.latency.middle(r.now, 0)), FailedHealthChecks: s.lost,
			WarmingUp: r.isCold(s.entry), Unreachable: s.down && r.now < s.fullUntil, Backoff: max(0, s.fullUntil-r.now), SinceLastSend: r.now - s.sentAt}
		for class := range s.health {
			b.Health = append(b.Health, r.health(s, class))
		}
		out = append(out, b)
	}
	return out
}

const aloneFor = time.Second // without a part makes a sick server one that is avoided

// EndpointCounts counts the servers of the list, and those of them that are avoided now, not just for the moment
// that a full one is left alone: they drain, are down, or look sick for every class and got no part lately.
func (r *Router) EndpointCounts(now time.Duration) (known, avoided int) {
	r.now = max(r.now, now)
	return len(r.order), len(only(r.order, func(s *server) bool {
		sick, twins := s.out == 0 && r.now >= s.sentAt+aloneFor, r.replicas(s.entry.Cell%r.set.Shards)
		for class := range s.health {
			sick = sick && r.health(s, class) < suspectRatio*r.bestHealth(twins, class)
		}
		return sick || s.entry.State != Ready || s.down && r.now < s.fullUntil
	}))
}
