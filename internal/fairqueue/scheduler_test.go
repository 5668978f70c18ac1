package fairqueue

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

const turnTime = 500 * time.Microsecond

// newWallScheduler returns a scheduler whose turns cost the time on the clock: the tests' turns sleep on a fake clock, and
// use no processor time.
func newWallScheduler(slots int) *Scheduler {
	s := New(slots)
	began := time.Now()
	s.processor = func() time.Duration { return time.Since(began) }
	return s
}

// A flow that always has work must not delay one that has little: among ten busy flows a light one waits for about one
// turn and a rest, and not for all of them.
func TestLightFlowComesBeforeBusyOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newWallScheduler(1)
		stop := make(chan struct{})
		for range 10 {
			busy := s.NewFlow()
			go func() {
				for {
					select {
					case <-stop:
						return
					default:
						busy.Do(0, func() { time.Sleep(turnTime) })
					}
				}
			}()
		}
		light := s.NewFlow()
		time.Sleep(100 * time.Millisecond)
		for range 20 {
			began := time.Now()
			light.Do(0, func() {})
			if waited := time.Since(began); waited > turnTime+rest {
				t.Errorf("the light flow waited %v, want at most %v", waited, turnTime+rest)
			}
			time.Sleep(10 * time.Millisecond)
		}
		close(stop)
		time.Sleep(100 * time.Millisecond)
	})
}

// Equally busy flows get equal shares, whether their turns are long or short.
func TestBusyFlowsGetEqualTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newWallScheduler(1)
		stop := make(chan struct{})
		var used [8]atomic.Int64
		for i := range used {
			turn := []time.Duration{100 * time.Microsecond, 2 * time.Millisecond}[i%2]
			flow := s.NewFlow()
			go func() {
				for {
					select {
					case <-stop:
						return
					default:
						flow.Do(0, func() { time.Sleep(turn) })
						used[i].Add(int64(turn + turnOverhead))
					}
				}
			}()
		}
		time.Sleep(2 * time.Second)
		close(stop)
		time.Sleep(100 * time.Millisecond)
		first := used[0].Load()
		for i := range used {
			if u := used[i].Load(); u < first*9/10 || u > first*11/10 {
				t.Errorf("flow %d used %v, flow 0 %v; want equal shares", i, time.Duration(u), time.Duration(first))
			}
		}
	})
}

// One flow alone that never waits must rest too, because the runtime does not poll the network while it runs.
func TestSingleBusyFlowRests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		flow := newWallScheduler(1).NewFlow()
		began, work := time.Now(), time.Duration(0)
		for range 100 {
			flow.Do(0, func() { time.Sleep(turnTime) })
			work += turnTime
		}
		if rested := time.Since(began) - work; rested < work/4 {
			t.Errorf("rested %v in %v of work, want a quarter of it at least", rested, work)
		}
	})
}

// A charge counts like a turn: the flow comes after others until they have used as much.
func TestChargedFlowComesLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newWallScheduler(1)
		charged, other, holder := s.NewFlow(), s.NewFlow(), s.NewFlow()
		charged.Charge(time.Second)
		order := make(chan string, 2)
		go holder.Do(0, func() { time.Sleep(time.Millisecond) })
		synctest.Wait()
		go charged.Do(0, func() { order <- "charged" })
		synctest.Wait()
		go other.Do(0, func() { order <- "other" })
		time.Sleep(20 * time.Millisecond)
		if first := <-order; first != "other" {
			t.Errorf("first turn = %v, want other", first)
		}
	})
}

// Of flows that have used equally much the one with the short turn comes first: a small request does not wait for large
// ones.
func TestShortTurnComesBeforeLongOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newWallScheduler(1)
		order := make(chan string, 9)
		go s.NewFlow().Do(0, func() { time.Sleep(time.Millisecond) })
		synctest.Wait()
		for range 3 {
			flow := s.NewFlow()
			go flow.Do(time.Millisecond, func() { order <- "long" })
		}
		synctest.Wait()
		short := s.NewFlow()
		go short.Do(0, func() { order <- "short" })
		time.Sleep(20 * time.Millisecond)
		if first := <-order; first != "short" {
			t.Errorf("first turn = %s, want short", first)
		}
	})
}

// Turns run at the same time up to the number of slots, and no more.
func TestSlotsBoundConcurrentTurns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newWallScheduler(2)
		var running, most atomic.Int32
		for range 6 {
			flow := s.NewFlow()
			go flow.Do(0, func() {
				if n := running.Add(1); n > most.Load() {
					most.Store(n)
				}
				time.Sleep(time.Millisecond)
				running.Add(-1)
			})
			synctest.Wait()
		}
		time.Sleep(50 * time.Millisecond)
		if most.Load() != 2 {
			t.Errorf("%d turns ran at a time, want 2", most.Load())
		}
	})
}

// A connection without a scheduler is served at once.
func TestNilFlowDoesNotWait(t *testing.T) {
	var s *Scheduler
	flow, done := s.NewFlow(), false
	flow.Pass()
	flow.Charge(time.Hour)
	flow.Do(0, func() { done = true })
	if !done {
		t.Error("work of a nil flow was not done")
	}
}

// Guards against a connection that waits for seconds because something else ran in the middle of its turn, which was
// charged to it (issue 55).
func TestInterruptedTurnCostsProcessorTimeOnly(t *testing.T) {
	const interruption = 30 * time.Millisecond
	flow := New(1).NewFlow()
	flow.Do(0, func() { time.Sleep(interruption) })
	flow.Measure(func() { time.Sleep(interruption) })
	if flow.finish >= interruption {
		t.Errorf("two turns that did nothing but wait cost %v, want less than %v", flow.finish, interruption)
	}
	before := flow.finish
	flow.Do(0, func() {
		for began := time.Now(); time.Since(began) < interruption; {
		}
	})
	if cost := flow.finish - before; cost < interruption/10 {
		t.Errorf("a busy turn of %v cost %v", interruption, cost)
	}
}

// Guards against a flow that owes time and waits until each of many others has used as much, which takes seconds (issue
// 55).
func TestFlowInDebtIsNotStarved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const flows = 100
		const bound = starvationWait + starvationShare*flows*(turnTime+rest)
		s := newWallScheduler(1)
		stop := make(chan struct{})
		for range flows {
			busy := s.NewFlow()
			go func() {
				for {
					select {
					case <-stop:
						return
					default:
						busy.Do(0, func() { time.Sleep(turnTime) })
					}
				}
			}()
		}
		debtor := s.NewFlow()
		debtor.Charge(time.Second)
		for range 5 {
			began := time.Now()
			debtor.Do(0, func() {})
			if waited := time.Since(began); waited > bound {
				t.Errorf("the flow in debt waited %v, want at most %v", waited, bound)
			}
		}
		close(stop)
		time.Sleep(time.Second)
	})
}
