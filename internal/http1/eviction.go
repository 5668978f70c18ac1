package http1

import (
	"cmp"
	"slices"
	"time"
)

// evictionRank orders connections by how well they can be spared; the highest is evicted first.
type evictionRank uint8

const (
	rankNotEvictable evictionRank = iota // a request has arrived
	rankStuckRequest                     // a request has been incomplete for stuckRequestAge
	rankNew
	rankIdle
	rankSilent // a new connection has sent nothing for silentConnAge
	rankLingering
)

// evictionRankOf is called with the mutex locked.
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

// evictionVictim is the connection of the highest rank, and among equals that which has been in its state for longest.
// Nil: none is evictable. It is called with the mutex locked.
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

// evictOne evicts the connection that can best be spared, and reports whether there is one. A lingering connection is
// closed here. Any other is interrupted and decides at once: one that has received a request by then serves it.
// It is called with the mutex locked.
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

// SetMaxConns sets how many connections there may be. Beyond it, connections that await a request are closed, that in
// its state for longest first.
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
