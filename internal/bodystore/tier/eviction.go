package tier

// enforceLimits moves and evicts bodies until memory and files are within their limits, or until no more bodies
// may be moved or evicted. grown is the body that has just grown, or nil.
func (s *State) enforceLimits(grown *body) {
	s.enforceFileLimit()
	if grown != nil {
		s.enforceClassShare(grown)
	}
	s.enforceMemoryLimit(grown)
}

func (s *State) enforceFileLimit() {
	for s.usage.bytes[File] > s.limits.Files {
		victim := s.firstCandidate(File, nil, (*body).isEvictable)
		if victim == nil {
			return
		}
		s.evict(victim, ReasonNoCapacity)
	}
}

func (s *State) enforceClassShare(grown *body) {
	sameClass := func(b *body) bool { return b.class == grown.class && s.canLeaveMemory(b) }
	for s.exceedsClassShare(grown) {
		victim := s.firstCandidate(Memory, nil, sameClass)
		if victim == nil || !s.moveOutOfMemory(victim, ReasonClassShare) {
			return
		}
	}
}

func (s *State) enforceMemoryLimit(grown *body) {
	for s.usage.bytes[Memory]-s.usage.moving > s.limits.Memory {
		victim := s.firstCandidate(Memory, grown, s.canLeaveMemory)
		if victim == nil || !s.moveOutOfMemory(victim, ReasonNoCapacity) {
			return
		}
	}
}

// exceedsLimits reports whether b can't be stored because limits are still exceeded after enforceLimits.
func (s *State) exceedsLimits(b *body) bool {
	maxMemory := s.limits.Memory + int64(memoryOvercommit*float64(s.limits.Memory))
	return s.usage.bytes[Memory] > maxMemory ||
		s.usage.bytes[Memory]-s.usage.moving > s.limits.Memory ||
		b.tier == File && s.usage.bytes[File] > s.limits.Files ||
		s.exceedsClassShare(b)
}

// exceedsClassShare reports whether b is in memory without a move in flight and its class uses more than
// MaxMemoryShare of the limit. A class may always use its GuaranteedBytes, even if its share is smaller.
func (s *State) exceedsClassShare(b *body) bool {
	if !b.staysInMemory() || b.class >= len(s.limits.Classes) {
		return false
	}
	c := s.limits.Classes[b.class]
	limit := max(c.MaxMemoryShare*float64(s.limits.Memory), float64(c.GuaranteedBytes))
	return c.MaxMemoryShare > 0 && float64(s.usage.byClass[b.class]) > limit
}

// firstCandidate returns the first body of a tier in the eviction order that is eligible, or nil. In memory, it
// skips bodies that the guarantee of their class protects from grown.
func (s *State) firstCandidate(t Tier, grown *body, eligible func(*body) bool) (found *body) {
	s.evictionOrder[t].Scan(func(b *body) bool {
		if eligible(b) && (t != Memory || !s.isGuaranteed(b, grown)) {
			found = b
		}
		return found == nil
	})
	return found
}

// isGuaranteed reports whether evicting b for grown would leave b's class with less than its GuaranteedBytes. The
// guarantee applies only against bodies of other classes; it is false if grown is nil.
func (s *State) isGuaranteed(b, grown *body) bool {
	if b.class >= len(s.limits.Classes) || grown == nil || grown.class == b.class {
		return false
	}
	return s.usage.byClass[b.class]-b.size < s.limits.Classes[b.class].GuaranteedBytes
}

// canLeaveMemory reports whether a body in memory can be moved to a file or evicted. An empty body can't.
func (s *State) canLeaveMemory(b *body) bool {
	return !b.moving && b.size > 0 && (s.canFitFiles(b) || b.isEvictable())
}

// moveOutOfMemory moves a body to a file, or evicts it if files have no capacity for it. It returns false if
// neither is possible.
func (s *State) moveOutOfMemory(b *body, reason Reason) bool {
	if s.canFitFiles(b) {
		s.evictFromFilesFor(b)
		s.moveToFile(b, reason)
		return true
	}
	if b.isEvictable() {
		s.evict(b, reason)
		return true
	}
	return false
}

// evictFromFilesFor evicts bodies from files until b fits. The caller has checked canFitFiles(b), so that a body to
// evict is found each time.
func (s *State) evictFromFilesFor(b *body) {
	for !s.fitsFiles(b) {
		s.evict(s.firstCandidate(File, nil, evictableFor(b)), ReasonNoCapacity)
	}
}

// evictableFor returns a function that reports whether a body in files may be evicted to store b there: it is
// evictable and its priority density is lower.
func evictableFor(b *body) func(*body) bool {
	return func(stored *body) bool { return stored.isEvictable() && stored.priorityDensity() < b.priorityDensity() }
}

// fitsFiles reports whether files have capacity for b without an eviction.
func (s *State) fitsFiles(b *body) bool {
	return !s.filesSuspended && s.usage.bytes[File]+b.size <= s.limits.Files
}

// canFitFiles reports whether files have capacity for b, or would have it after evicting bodies of a lower
// priority density.
func (s *State) canFitFiles(b *body) bool {
	if s.filesSuspended || b.size > s.limits.Files {
		return false
	}
	free := s.limits.Files - s.usage.bytes[File]
	if free >= b.size {
		return true
	}
	evictable := evictableFor(b)
	s.evictionOrder[File].Scan(func(stored *body) bool {
		if stored.priorityDensity() >= b.priorityDensity() {
			return false
		}
		if evictable(stored) {
			free += stored.size
		}
		return free < b.size
	})
	return free >= b.size
}
