package fairqueue

import (
	"runtime"
	"sync"
	"time"
)

const (
	// turnOverhead is added to the cost of each turn, for the system calls and the switch of goroutines around it.
	turnOverhead = 25 * time.Microsecond
	// burst is how long turns may follow one another without a rest, for each slot.
	burst = 2 * time.Millisecond
	// maxCredit bounds how far a flow that uses less than its share may come before the others.
	maxCredit = 10 * time.Millisecond
	// starvationWait is how long a flow waits at most before it may come before others whatever it has used.
	starvationWait = 20 * time.Millisecond
	// starvationShare is the number of turns of which one may go to a flow that has waited so long.
	starvationShare = 4
	// rest is how long no turn is granted after a burst. The runtime's poller waits in whole milliseconds.
	rest = time.Millisecond
)

// Scheduler grants turns to flows. Its methods are safe for concurrent use.
type Scheduler struct {
	slots     int // turns that may run at a time
	processor processorClock

	mu      sync.Mutex
	free    int           // slots without a turn
	virtual time.Duration // start tag of the turn that was granted last; it never decreases
	waiting waiters
	granted uint64 // turns that were granted to waiters
	lastSeq uint64
	work    time.Duration // of turns and charges since the last rest, or since no turn ran for that long
	idleAt  time.Time     // when the latest turn ended
	resting bool
}

// New returns a scheduler that runs at most slots turns at a time; a value below 1 counts as 1.
func New(slots int) *Scheduler {
	slots = max(1, slots)
	return &Scheduler{slots: slots, free: slots, processor: threadTime}
}

// Flow is the use of a scheduler by one connection. Its methods are safe for concurrent use. Those of a nil flow grant
// every turn at once.
type Flow struct {
	scheduler *Scheduler
	finish    time.Duration // finish tag of the latest turn; guarded by the scheduler's mu
}

// NewFlow returns a flow that has just begun. It has no credit, so it comes after flows that have used less than their
// share for a while.
func (s *Scheduler) NewFlow() *Flow {
	if s == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return &Flow{scheduler: s, finish: s.virtual}
}

// spend adds a cost to the flow. The scheduler's mu is held.
func (f *Flow) spend(cost time.Duration) {
	s := f.scheduler
	s.work += cost
	f.finish = max(s.virtual-maxCredit, f.finish) + cost
}

// Do waits for the flow's turn and calls work, which must not block. The processor time that work takes is the cost of the
// turn; estimate is what it is expected to be. Of two flows that have used equally much, the one whose turn is expected to be
// shorter comes first.
func (f *Flow) Do(estimate time.Duration, work func()) {
	if f == nil {
		work()
		return
	}
	began := f.begin(estimate)
	cost := time.Duration(0)
	defer func() { f.end(began, cost) }()
	cost = f.scheduler.processor.measure(work)
}

// Pass waits for a turn and gives it up at once. A connection calls it after each read, whose cost it pays so.
func (f *Flow) Pass() {
	if f != nil {
		f.end(f.begin(0), 0)
	}
}

// Measure calls work outside of a turn, and charges the processor time that it takes to the flow. It does not wait.
func (f *Flow) Measure(work func()) {
	if f == nil {
		work()
		return
	}
	f.Charge(f.scheduler.processor.measure(work))
}

// Charge adds a cost to the flow without a turn, for work that is done for its connection outside of turns. It does not
// wait.
func (f *Flow) Charge(cost time.Duration) {
	if f == nil {
		return
	}
	s := f.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	f.spend(cost)
}

// begin waits for the flow's turn, whose cost is expected to be estimate, and returns when it began.
func (f *Flow) begin(estimate time.Duration) (began time.Time) {
	s := f.scheduler
	s.mu.Lock()
	start := max(s.virtual-maxCredit, f.finish)
	now := time.Now()
	if s.free == s.slots && now.Sub(s.idleAt) >= rest {
		s.work = 0
	}
	if s.free > 0 && s.waiting.len() == 0 && !s.restIfDue() {
		s.grant(start)
		s.mu.Unlock()
		return now
	}
	s.lastSeq++
	w := &waiter{start: start, finish: start + estimate, seq: s.lastSeq, since: now, granted: make(chan struct{})}
	s.waiting.add(w)
	s.mu.Unlock()
	<-w.granted
	// A goroutine that is woken by another one inherits the rest of its time slice. Goroutines that serve no connection
	// run before this one instead.
	runtime.Gosched()
	return time.Now()
}

// end ends a turn that began at the given time and has taken a processor time of cost.
func (f *Flow) end(began time.Time, cost time.Duration) {
	s := f.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	f.spend(cost + turnOverhead)
	s.work += max(0, now.Sub(began)-cost)
	s.idleAt = now
	s.free++
	s.grantNext()
}

// grant begins a turn with the given start tag. mu is held.
func (s *Scheduler) grant(start time.Duration) {
	s.free--
	s.virtual = max(s.virtual, start)
}

// grantNext begins the turns of the flows that wait, as long as there are free slots and no rest is due. mu is held.
func (s *Scheduler) grantNext() {
	for s.free > 0 && s.waiting.len() > 0 && !s.restIfDue() {
		w := s.nextWaiter()
		s.waiting.remove(w)
		close(w.granted)
	}
}

// nextWaiter returns the waiter whose turn begins now, and takes a slot for it: in general that with the smallest expected
// finish tag. Of each starvationShare turns one goes to the flow that has waited longest, if that is starvationWait: the
// wait of a flow that owes time grows with the number of flows that have to use as much before it. Such a turn does not
// advance the virtual time, as the other flows have not used what the flow owes. mu is held.
func (s *Scheduler) nextWaiter() *waiter {
	s.granted++
	oldest := s.waiting.longestWait()
	if s.granted%starvationShare == 0 && time.Since(oldest.since) >= starvationWait {
		s.free--
		return oldest
	}
	w := s.waiting.smallestFinish()
	s.grant(w.start)
	return w
}

// restIfDue reports whether no turn may begin now. It begins a rest if a burst is over. mu is held.
func (s *Scheduler) restIfDue() bool {
	if s.resting {
		return true
	}
	if s.work < burst*time.Duration(s.slots) {
		return false
	}
	s.resting = true
	time.AfterFunc(rest, s.endRest)
	return true
}

// endRest ends a rest.
func (s *Scheduler) endRest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.resting = false
	s.work = 0
	s.grantNext()
}
