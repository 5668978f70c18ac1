package http1

import (
	"cmp"
	"slices"
	"time"
)

// evictionRank orders connections for eviction; the connection with the highest rank is evicted first. A connection has
// served once one of its requests was answered with status 200: its client has shown that it sends requests, so it comes
// after those that have yet to.
type evictionRank uint8

const (
	rankNotEvictable    evictionRank = iota // a request has arrived completely, or in part less than stuckRequestAge ago
	rankStuckRequest                        // a request has been incomplete for at least stuckRequestAge; has served before
	rankIdle                                // waits for its next request, for less than longIdleAge
	rankNew                                 // connected less than silentConnAge ago, and has sent nothing
	rankStuckFirst                          // has not served, and a request has been incomplete for at least stuckRequestAge
	rankIncompleteFirst                     // has not served, connected in a crowd, and a request is incomplete
	rankLongIdle                            // waits for its next request, for at least longIdleAge
	rankSilent                              // has sent nothing for at least silentConnAge since it connected
	rankLingering                           // reads no further request
)

// evictionRankOf returns the rank of c. The server's mutex must be held.
func evictionRankOf(c *conn, now time.Duration) evictionRank {
	switch age := now - c.stateSince; {
	case c.state == stateLingering:
		return rankLingering
	case c.state == stateNew && age >= silentConnAge:
		return rankSilent
	case c.state == stateIdle && (age >= longIdleAge || !c.hasServed):
		return rankLongIdle
	case c.state == stateReading && !c.hasServed && c.inCrowd:
		return rankIncompleteFirst
	case c.state == stateReading && !c.hasServed && age >= stuckRequestAge:
		return rankStuckFirst
	case c.state == stateNew:
		return rankNew
	case c.state == stateIdle:
		return rankIdle
	case c.state == stateReading && age >= stuckRequestAge:
		return rankStuckRequest
	}
	return rankNotEvictable
}

// isCrowded reports whether so many connections have yet to complete a first request that a new one may be evicted
// before it has. s.mu must be held.
func (s *Server) isCrowded() bool {
	unserved := 0
	for c := range s.conns {
		if !c.hasServed && (c.state == stateNew || c.state == stateReading) {
			unserved++
		}
	}
	return unserved >= s.MaxConns/crowdedShare
}

// maxUnreadChecks is how many connections are asked for one victim whether a request has arrived for them.
const maxUnreadChecks = 4

// evictionCandidate is a connection that may be evicted.
type evictionCandidate struct {
	conn *conn
	rank evictionRank
}

// compareCandidates orders candidates by rank, the highest first, and then by how long they have been in their state.
func compareCandidates(a, b evictionCandidate) int {
	return cmp.Or(cmp.Compare(b.rank, a.rank), cmp.Compare(a.conn.stateSince, b.conn.stateSince))
}

// evictionVictim returns the connection with the highest rank; among equal ranks, the one that has been in its state
// for the longest time. A connection for which a request has arrived is left out; if several are, so are all others that
// wait for a request. evictionVictim returns nil if no connection is evictable. s.mu must be held.
func (s *Server) evictionVictim() (victim *conn, rank evictionRank) {
	now := s.Clock.Now()
	candidates := make([]evictionCandidate, 0, len(s.conns))
	for c := range s.conns {
		if rank := evictionRankOf(c, now); rank > rankNotEvictable {
			candidates = append(candidates, evictionCandidate{c, rank})
		}
	}
	slices.SortFunc(candidates, compareCandidates)
	checks := 0
	for _, candidate := range candidates {
		if !candidate.conn.state.awaitsRequest() {
			return candidate.conn, candidate.rank
		}
		if checks < maxUnreadChecks && !candidate.conn.hasUnreadBytes() {
			return candidate.conn, candidate.rank
		}
		checks++
	}
	return nil, rankNotEvictable
}

// evictOneOf evicts the connection that evictionVictim returns, and reports whether there is one with at least the given
// rank. A lingering connection is closed here. Any other connection is interrupted, and evictOneOf waits until it changes
// its state or ends: if a request has arrived by then, the connection serves it and is not evicted. s.mu must be held.
func (s *Server) evictOneOf(least evictionRank) bool {
	victim, rank := s.evictionVictim()
	if victim == nil || rank < least {
		return false
	}
	if victim.state == stateLingering {
		victim.state = stateEvicted
		delete(s.conns, victim)
		_ = victim.Close()
		return true
	}
	victim.interruptFor(evictionReasons[rank])
	for seq := victim.stateSeq; victim.stateSeq == seq; {
		s.stateChanged.Wait()
	}
	if !s.conns[victim] || victim.state == stateLingering {
		s.Counters.Add(s.Name+"_conns_evicted", 1)
	}
	return true
}

// interruptOne begins the eviction of a connection whose request is incomplete, or of one that has sent nothing, and does
// not wait for its end. It does nothing if no such connection is evictable, or if another eviction has yet to end: then
// there will be room without it. s.mu must be held.
func (s *Server) interruptOne() {
	victim, rank := s.evictionVictim()
	if victim == nil || rank < rankStuckFirst || rank == rankLingering || victim.interruptedFor != "" {
		return
	}
	victim.interruptFor(evictionReasons[rank])
	s.Counters.Add(s.Name+"_conns_evicted", 1)
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
		c.interruptFor(closedOverLimit)
	}
}
