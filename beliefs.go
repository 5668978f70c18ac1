package linkpass

import "time"

// Belief is what the router holds of one listed server, to be shown. Nothing is decided by it.
type Belief struct {
	Server  ServerID
	State   ServerState
	Out     int           // own parts out
	Median  time.Duration // of own parts lately; 0: none
	Health  []float64     // by class, 1 when sound
	Lost    int           // probes lost in a row
	Cold    bool
	Down    bool          // its last connect failed, and it is left alone
	Pause   time.Duration // for so long still it is left alone as full or down
	LastOut time.Duration // since the latest part
}

// Beliefs lists what is held of the listed servers, by id.
func (r *Router) Beliefs(now time.Duration) (out []Belief) {
	r.now = max(r.now, now)
	for _, s := range r.order {
		b := Belief{Server: s.id, State: s.entry.State, Out: s.out, Median: time.Duration(s.latency.middle(r.now, 0)), Lost: s.lost,
			Cold: r.isCold(s.entry), Down: s.down && r.now < s.fullUntil, Pause: max(0, s.fullUntil-r.now), LastOut: r.now - s.sentAt}
		for class := range s.health {
			b.Health = append(b.Health, r.health(s, class))
		}
		out = append(out, b)
	}
	return out
}

const aloneFor = time.Second // without a part makes a sick server one that is avoided

// Listed counts the servers of the list, and those of them that are avoided now, not just for the moment
// that a full one is left alone: they drain, are down, or look sick for every class and got no part lately.
func (r *Router) Listed(now time.Duration) (known, avoided int) {
	r.now = max(r.now, now)
	return len(r.order), len(only(r.order, func(s *server) bool {
		sick, twins := s.out == 0 && r.now >= s.sentAt+aloneFor, r.replicas(s.entry.Cell%r.set.Shards)
		for class := range s.health {
			sick = sick && r.health(s, class) < suspectRatio*r.bestHealth(twins, class)
		}
		return sick || s.entry.State != Ready || s.down && r.now < s.fullUntil
	}))
}
