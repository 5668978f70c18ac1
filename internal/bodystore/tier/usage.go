package tier

// usage counts the bytes in use by tier and by class.
type usage struct {
	bytes   [2]int64 // by tier, Memory and File; a body whose move is in flight counts in both
	moving  int64    // bytes in memory whose move to a file is in flight
	byClass []int64  // bytes in memory by class, without those whose move to a file is in flight
}

func newUsage(classes int) usage { return usage{byClass: make([]int64, classes)} }

// add adds a body to the counts.
func (u *usage) add(b *body) { u.addScaled(b, 1) }

// subtract removes a body from the counts.
func (u *usage) subtract(b *body) { u.addScaled(b, -1) }

func (u *usage) addScaled(b *body, factor int64) {
	if b.tier == None {
		return
	}
	bytes := factor * b.size
	u.bytes[b.tier] += bytes
	if b.moving {
		u.moving += bytes
		u.bytes[File] += bytes // reserved, so that no other body takes this capacity
	} else if b.tier == Memory && b.class < len(u.byClass) {
		u.byClass[b.class] += bytes
	}
}

// update changes a body and updates the counts and the eviction order. The body is taken out of both before the
// change, as both depend on the fields that change.
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
