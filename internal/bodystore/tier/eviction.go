package tier

// enforceLimits moves and evicts bodies until memory and files are within their limits, as far as
// bodies may be moved. grown is the body that has just grown, or nil.
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

// exceedsLimits reports whether the limits are still exceeded after enforceLimits, so that b can't
// be stored.
func (s *State) exceedsLimits(b *body) bool {
	maxMemory := s.limits.Memory + int64(memoryOvercommit*float64(s.limits.Memory))
	return s.usage.bytes[Memory] > maxMemory ||
		s.usage.bytes[Memory]-s.usage.moving > s.limits.Memory ||
		b.tier == File && s.usage.bytes[File] > s.limits.Files ||
		s.exceedsClassShare(b)
}

// exceedsClassShare reports whether b is in memory and its class uses more than its share of it. The
// guarantee holds even where the share is smaller.
func (s *State) exceedsClassShare(b *body) bool {
	if !b.staysInMemory() || b.class >= len(s.limits.Classes) {
		return false
	}
	c := s.limits.Classes[b.class]
	limit := max(c.MaxMemoryShare*float64(s.limits.Memory), float64(c.GuaranteedBytes))
	return c.MaxMemoryShare > 0 && float64(s.usage.byClass[b.class]) > limit
}

// firstCandidate returns the first body of a tier in the order of eviction that is eligible and not
// protected by its class's guarantee, or nil.
func (s *State) firstCandidate(t Tier, grown *body, eligible func(*body) bool) (found *body) {
	s.evictionOrder[t].Scan(func(b *body) bool {
		if eligible(b) && (t != Memory || !s.isGuaranteed(b, grown)) {
			found = b
		}
		return found == nil
	})
	return found
}

// isGuaranteed reports whether evicting b for a body of another class would leave b's class with less
// than its guaranteed memory.
func (s *State) isGuaranteed(b, grown *body) bool {
	if b.class >= len(s.limits.Classes) || grown == nil || grown.class == b.class {
		return false
	}
	return s.usage.byClass[b.class]-b.size < s.limits.Classes[b.class].GuaranteedBytes
}

// canLeaveMemory reports whether a body in memory can be moved to a file or evicted.
func (s *State) canLeaveMemory(b *body) bool {
	return !b.moving && b.size > 0 && (s.canFitFiles(b) || b.isEvictable())
}

// moveOutOfMemory moves a body to a file, or evicts it where files have no capacity. It returns false
// if neither is possible.
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

// evictFromFilesFor frees capacity in files for a body; canFitFiles has returned true for it.
func (s *State) evictFromFilesFor(b *body) {
	for !s.fitsFiles(b) {
		s.evict(s.firstCandidate(File, nil, yieldsTo(b)), ReasonNoCapacity)
	}
}

// yieldsTo returns whether a body in files may be evicted for b: its priority density is lower.
func yieldsTo(b *body) func(*body) bool {
	return func(stored *body) bool { return stored.isEvictable() && stored.priorityDensity() < b.priorityDensity() }
}

// fitsFiles reports whether files have capacity for a body now.
func (s *State) fitsFiles(b *body) bool {
	return !s.filesSuspended && s.usage.bytes[File]+b.size <= s.limits.Files
}

// canFitFiles reports whether files have capacity for a body, or would after evicting bodies of a lower
// priority density.
func (s *State) canFitFiles(b *body) bool {
	if s.filesSuspended || b.size > s.limits.Files {
		return false
	}
	free := s.limits.Files - s.usage.bytes[File]
	if free >= b.size {
		return true
	}
	yields := yieldsTo(b)
	s.evictionOrder[File].Scan(func(stored *body) bool {
		if stored.priorityDensity() >= b.priorityDensity() {
			return false
		}
		if yields(stored) {
			free += stored.size
		}
		return free < b.size
	})
	return free >= b.size
}
