package tier

// usage counts the bytes in use by tier and by class.
type usage struct {
	bytes   [2]int64 // of Memory and File; a body that moves counts in both
	moving  int64    // bytes in memory whose move to a file is in flight
	byClass []int64  // bytes in memory that no move is in flight for
}

func newUsage(classes int) usage { return usage{byClass: make([]int64, classes)} }

// add counts a body.
func (u *usage) add(b *body) { u.addTimes(b, 1) }

// subtract takes a body out of the counts.
func (u *usage) subtract(b *body) { u.addTimes(b, -1) }

func (u *usage) addTimes(b *body, times int64) {
	if b.tier == None {
		return
	}
	bytes := times * b.size
	u.bytes[b.tier] += bytes
	if b.moving {
		u.moving += bytes
		u.bytes[File] += bytes // reserved, so that no other body gets the same capacity
	} else if b.tier == Memory && b.class < len(u.byClass) {
		u.byClass[b.class] += bytes
	}
}

// update changes a body and keeps the counts and the order of eviction in step with it.
func (s *State) update(b *body, change func()) {
	s.evictionOrder[b.tier].Delete(b)
	s.usage.subtract(b)
	change()
	s.usage.add(b)
	s.evictionOrder[b.tier].Set(b)
}

func (s *State) remove(b *body) {
	s.evictionOrder[b.tier].Delete(b)
	s.usage.subtract(b)
	delete(s.bodies, b.id)
}

func (s *State) moveToFile(b *body, reason Reason) {
	s.update(b, func() { b.moving = true })
	s.moves = append(s.moves, Move{b.id, File, reason})
}

func (s *State) evict(b *body, reason Reason) {
	s.remove(b)
	s.moves = append(s.moves, Move{b.id, None, reason})
}
