package emulator

import "time"

const (
	warmupOverloadFactor = 2 // tolerated rate of work during warm-up, as a multiple of the present speed
	warmupOverloadWindow = 3 // work that may be pending, in seconds at the tolerated rate

	drainGrace     = time.Second           // from the start of a drain until parts count as late
	drainTolerance = 50 * time.Millisecond // additional time for parts in transit

	averageWorkWeight = 8 // a new value has a weight of 1/8 in the moving average
)

// warmupLoad tracks the work of the parts that start during warm-up.
type warmupLoad struct {
	pendingSeconds float64   // pending work, in seconds, if it is done at warmupOverloadFactor times the present speed
	updatedAt      time.Time // time of the latest change of pendingSeconds
}

// acquireCore waits for a core and returns a function that releases it. It returns false if the queue is full or the
// server is killed.
func (s *Server) acquireCore() (release func(), ok bool) {
	s.mu.Lock()
	ctx, cores := s.ctx, s.cores
	s.mu.Unlock()
	if s.queued.Add(1) > int64(s.capacity.Queue) {
		s.queued.Add(-1)
		return nil, false
	}
	defer s.queued.Add(-1)
	select {
	case cores <- struct{}{}:
		return func() { <-cores }, true
	case <-ctx.Done():
		return nil, false
	}
}

// doWork waits for the duration of one part that finds the given number of records. It returns false if the server is
// killed meanwhile.
func (s *Server) doWork(records int) bool {
	s.mu.Lock()
	ctx, pausedUntil := s.ctx, s.faults.pausedUntil
	work := s.drawWork(records)
	s.mu.Unlock()
	s.active.Add(1)
	defer s.active.Add(-1)
	timer := time.NewTimer(max(work, time.Until(pausedUntil)+work))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	s.averageWorkNS.Store(((averageWorkWeight-1)*s.averageWorkNS.Load() + int64(work)) / averageWorkWeight)
	return true
}

// drawWork draws the random duration of one part at the present speed. The caller holds the mutex.
func (s *Server) drawWork(records int) time.Duration {
	jitter := time.Duration(s.rng.Int64N(int64(s.capacity.WorkPerPart) + 1))
	work := s.capacity.WorkPerPart/2 + jitter + time.Duration(records)*s.capacity.WorkPerRecord
	return time.Duration(float64(work) * s.faults.slowdown / s.speed(work))
}

// speed returns the present share of full speed, from 0 to 1. During warm-up it also adds the work to the pending work
// and counts the part in OverloadedWhileWarming if too much is pending. The caller holds the mutex.
func (s *Server) speed(work time.Duration) float64 {
	if s.startedAt.IsZero() || s.capacity.WarmupDuration <= 0 {
		return 1
	}
	age := time.Since(s.startedAt)
	if age >= s.capacity.WarmupDuration {
		return 1
	}
	initial := s.capacity.WarmupInitialShare
	share := initial + (1-initial)*float64(age)/float64(s.capacity.WarmupDuration)
	now := time.Now()
	toleratedRate := warmupOverloadFactor * share * float64(s.capacity.Cores) // seconds of work a second
	elapsed := now.Sub(s.warmup.updatedAt).Seconds()
	s.warmup.pendingSeconds = max(0, s.warmup.pendingSeconds-toleratedRate*elapsed) + work.Seconds()
	s.warmup.updatedAt = now
	if s.warmup.pendingSeconds > toleratedRate*warmupOverloadWindow {
		s.OverloadedWhileWarming.Add(1)
	}
	return share
}

func (s *Server) loadReport() string {
	return formatLoadReport(s.active.Load(), float64(s.averageWorkNS.Load())/1e6, s.queued.Load())
}

// countPart counts a part that has arrived, and counts it as late if it came too long after the start of a drain.
func (s *Server) countPart() {
	s.Parts.Add(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.drainedAt.IsZero() && time.Since(s.drainedAt) > drainGrace+drainTolerance {
		s.LateParts.Add(1)
	}
}
