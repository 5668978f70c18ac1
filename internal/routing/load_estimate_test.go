package routing

import (
	"testing"
	"time"
)

func TestLoadCountsAttemptsSentSinceReport(t *testing.T) {
	h := newHarness(t, testSettings())
	h.startQuery(10, 0, 0)
	h.advance(5*ms, checkReply(1, 2), checkReply(2, 1), checkReply(3, 2))
	if sends := wantActions[Send](t, h.actions, 1); sends[0].Server != 2 {
		t.Fatalf("sent to %d, want 2", sends[0].Server)
	}
	h.advance(5 * ms)
	h.startQuery(20, 0, 0)
	h.advance(5*ms, checkReply(1, 1.5), checkReply(2, 1), checkReply(3, 2)) // the report of 2 is unchanged
	if sends := wantActions[Send](t, h.actions, 1); sends[0].Server != 1 {
		t.Errorf("sent to %d, want 1: the attempt at 2 since its report counts", sends[0].Server)
	}
}

// Guards against counting requests where service times differ: the load is in requests of usual work.
func TestLoadFollowsReportedServiceTime(t *testing.T) {
	h := newHarness(t, serviceTimeSettings())
	for id, serviceTime := range map[ServerID]float64{1: 200, 2: 20, 3: 20} {
		h.turn(reportReply(id, 8, serviceTime))
	}
	load := h.router.results.load
	slow, usual := h.server(1), h.server(2)
	if ratio := load.load(h.now, slow) / load.load(h.now, usual); ratio < 9 || ratio > 10.1 {
		t.Errorf("ten times the service time is %.1f times the load without own samples", ratio)
	}
	h.advance(3 * time.Second) // two half-lives of the usual report, a fifth of one of the slow report
	if left := load.load(h.now, usual); left > 3.1 {
		t.Errorf("load by the usual server's old report = %.1f, want at most 3.1", left)
	}
	if left := load.load(h.now, slow); left < 70 {
		t.Errorf("load by the slow server's old report = %.1f, want at least 70", left)
	}
	h.startQuery(100, 0, 0)
	h.advance(5*ms, reportReply(1, 1, 200), reportReply(2, 4, 20), reportReply(3, 6, 20))
	if server := wantActions[Send](t, h.actions, 1)[0].Server; server != 2 {
		t.Errorf("sent to %d, want 2, which is done first", server)
	}
}

// Guards against a report, which is late and noisy, outweighing this coordinator's own samples.
func TestServiceTimeReportIsDiscountedByOwnSamples(t *testing.T) {
	h := newHarness(t, serviceTimeSettings())
	for i := range 300 { // 30 a second at three servers
		h.playQuery(RequestID(1000+10*i), 30*ms, 1, 2, 3)
	}
	for id, serviceTime := range map[ServerID]float64{1: 200, 2: 20, 3: 20} {
		h.turn(reportReply(id, 8, serviceTime))
	}
	if got := h.router.results.load.relativeServiceTime(h.now, h.server(1)); got > 1.5 {
		t.Errorf("a reported service time of 10 times the median counts %.1f after 300 own samples", got)
	}
}

func TestServiceTimeWeightFollowsSampleInterval(t *testing.T) {
	for samples, bounds := range map[int][2]float64{120: {0.03, 0.1}, 5: {0.95, 0.99}} {
		h := newHarness(t, testSettings())
		for range samples {
			h.router.results.latencies.all.add(h.now, 1)
		}
		h.turn()
		if weight := h.router.results.load.serviceTimeWeight; weight < bounds[0] || weight > bounds[1] {
			t.Errorf("%d samples in 10 s at 3 servers: weight %.3f, not in %v", samples, weight, bounds)
		}
	}
}
