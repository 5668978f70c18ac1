package discovery

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// However long an agent was silent, it is called within 0.6 of the drain grace after it has recovered. Sends may follow
// the old list for the drain grace and no longer.
func TestBackoffReachesRecoveredAgentInTime(t *testing.T) {
	const drainGrace = time.Second
	timeouts := LocalAgentTimeouts(drainGrace)
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 0))
		recovered := time.Duration(random.Float64() * float64(10*time.Second))
		at, base := time.Duration(0), timeouts.minBackoff
		for at < recovered { // this call is never answered
			var wait time.Duration
			wait, base = timeouts.backoff(base, random.Float64())
			at += max(timeouts.startSlack, timeouts.dial) + wait
		}
		if late := at - recovered; late > drainGrace*6/10 {
			t.Errorf("seed %d: called %v after the agent recovered, want at most %v", seed, late, drainGrace*6/10)
		}
	}
}

// The wait doubles up to a maximum, with a jitter that differs between coordinators.
func TestBackoffDoublesWithJitter(t *testing.T) {
	timeouts := SharedServiceTimeouts
	var waits [2][]time.Duration
	for i := range waits {
		random := rand.New(rand.NewPCG(uint64(i), 0))
		next, want := timeouts.minBackoff, timeouts.minBackoff
		for len(waits[i]) < 9 {
			var wait time.Duration
			wait, next = timeouts.backoff(next, random.Float64())
			if wait < want/2 || wait > want+want/2 {
				t.Errorf("wait = %v, want %v to %v", wait, want/2, want+want/2)
			}
			waits[i] = append(waits[i], wait)
			want = min(2*want, timeouts.maxBackoff)
		}
	}
	if slices.Equal(waits[0], waits[1]) {
		t.Errorf("watchers with different seeds have the same waits %v, want different ones", waits[0])
	}
}
