package http1

import (
	"cmp"
	"slices"
	"time"
)

// evictionRank orders connections for eviction; the connection with the highest rank is evicted first.
type evictionRank uint8

const (
	rankNotEvictable evictionRank = iota // a request has arrived completely, or in part less than stuckRequestAge ago
	rankStuckRequest                     // a request has been incomplete for at least stuckRequestAge
	rankNew                              // connected less than silentConnAge ago, and has sent nothing
	rankIdle                             // waits for its next request
	rankSilent                           // has sent nothing for at least silentConnAge since it connected
	rankLingering                        // reads no further request
)

// evictionRankOf returns the rank of c. The server's mutex must be held.
func evictionRankOf(c *conn, now time.Duration) evictionRank {
	switch age := now - c.stateSince; {
	case c.state == stateLingering:
		return rankLingering
	case c.state.awaitsRequest() && c.hasUnreadBytes():
		return rankNotEvictable
	case c.state == stateNew && age >= silentConnAge:
		return rankSilent
	case c.state == stateIdle:
		return rankIdle
	case c.state == stateNew:
		return rankNew
	case c.state == stateReading && age >= stuckRequestAge:
		return rankStuckRequest
	}
	return rankNotEvictable
}

// evictionVictim returns the connection with the highest rank; among equal ranks, the one that has been in its state
// for the longest time. It returns nil if no connection is evictable. s.mu must be held.
func (s *Server) evictionVictim() *conn {
	now := s.Clock.Now()
	var victim *conn
	best := rankNotEvictable
	for c := range s.conns {
		rank := evictionRankOf(c, now)
		if rank > best || rank == best && rank > rankNotEvictable && c.stateSince < victim.stateSince {
			victim, best = c, rank
		}
	}
	return victim
}

// evictOne evicts the connection that evictionVictim returns, and reports whether there is one. A lingering connection
// is closed here. Any other connection is interrupted, and evictOne waits until it changes its state or ends: if a
// request has arrived by then, the connection serves it and is not evicted. s.mu must be held.
func (s *Server) evictOne() bool {
	victim := s.evictionVictim()
	if victim == nil {
		return false
	}
	if victim.state == stateLingering {
		victim.state = stateEvicted
		delete(s.conns, victim)
		_ = victim.Close()
		return true
	}
	victim.interruptRead()
	for seq := victim.stateSeq; victim.stateSeq == seq; {
		s.stateChanged.Wait()
	}
	if !s.conns[victim] || victim.state == stateLingering {
		s.Counters.Add(s.Name+"_conns_evicted", 1)
	}
	return true
}

// SetMaxConns sets the largest number of connections. If there are more at present, connections that wait for a request
// are closed, as many as exceed the limit, those that have waited longest first.
func (s *Server) SetMaxConns(maxConns int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.MaxConns = maxConns
	var evictable []*conn
	for c := range s.conns {
		if c.state.awaitsRequest() {
			evictable = append(evictable, c)
		}
	}
	slices.SortFunc(evictable, func(a, b *conn) int { return cmp.Compare(a.stateSince, b.stateSince) })
	excess := max(0, len(s.conns)-maxConns)
	for _, c := range evictable[:min(len(evictable), excess)] {
		c.interruptRead()
	}
}
