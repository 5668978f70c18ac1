package routing

import (
	"math"
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

// Guards against a load that ignores different service times: it is in requests of usual work.
func TestLoadFollowsReportedServiceTime(t *testing.T) {
	h := newHarness(t, serviceTimeSettings())
	for id, serviceTime := range map[ServerID]float64{1: 200, 2: 20, 3: 20} {
		h.turn(reportReply(id, 8, serviceTime))
	}
	load := h.router.results.load
	slow, usual := h.server(1), h.server(2)
	if ratio := load.load(h.now, slow) / load.load(h.now, usual); ratio < 9 || ratio > 10.1 {
		t.Errorf("load at ten times the service time is %.1f times the load without own samples, want 9 to 10.1",
			ratio)
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
		t.Errorf("sent to %d, want 2, which completes first", server)
	}
}

// Guards against load reports, which are late and noisy, outweighing this coordinator's own samples.
func TestServiceTimeReportIsDiscountedByOwnSamples(t *testing.T) {
	h := newHarness(t, serviceTimeSettings())
	for i := range 300 { // 30 a second at three servers
		h.runQuery(RequestID(1000+10*i), 30*ms, 1, 2, 3)
	}
	for id, serviceTime := range map[ServerID]float64{1: 200, 2: 20, 3: 20} {
		h.turn(reportReply(id, 8, serviceTime))
	}
	if got := h.router.results.load.relativeServiceTime(h.now, h.server(1)); got > 1.5 {
		t.Errorf("relative service time = %.1f for 10 times the median and 300 own samples, want at most 1.5",
			got)
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
			t.Errorf("%d samples in 10 s at 3 servers: weight = %.3f, want it within %v", samples, weight, bounds)
		}
	}
}

func TestLoadEstimatorReportedRequests(t *testing.T) {
	for name, c := range map[string]struct {
		fields []ReportField
		values []float64
		want   float64
	}{
		"no fields":                  {nil, nil, 0},
		"no report":                  {[]ReportField{FieldInFlight}, nil, 0},
		"in flight":                  {[]ReportField{FieldInFlight}, []float64{7}, 7},
		"in flight before the queue": {[]ReportField{FieldQueueLength, FieldInFlight}, []float64{3, 7}, 7},
		"queue":                      {[]ReportField{FieldQueueLength}, []float64{3}, 3},
		"utilization":                {[]ReportField{FieldUtilization}, []float64{0.5}, 0.5},
		"queue and utilization": {
			[]ReportField{FieldQueueLength, FieldUtilization}, []float64{3, 0.5}, 3.5,
		},
		"rate and service time": {[]ReportField{FieldRate, FieldServiceTime}, []float64{40, 50}, 2},
		"queue before the rate": {
			[]ReportField{FieldQueueLength, FieldRate, FieldServiceTime}, []float64{3, 40, 50}, 3,
		},
		"rate alone": {[]ReportField{FieldRate}, []float64{40}, 0},
		"in flight not a number": {
			[]ReportField{FieldInFlight, FieldQueueLength}, []float64{math.NaN(), 3}, 3,
		},
		"short report": {[]ReportField{FieldQueueLength, FieldInFlight}, []float64{3}, 3},
		"other fields": {[]ReportField{FieldUnknown, FieldErrorRate}, []float64{3, 4}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			settings := testSettings()
			settings.ReportFields = c.fields
			s := newServer(1)
			s.report.values = c.values
			load := newLoadEstimator(&settings, newLatencyStats(&settings))
			if got := load.reportedRequests(s); got != c.want {
				t.Errorf("reported requests = %v, want %v", got, c.want)
			}
		})
	}
}

func TestLoadEstimatorUtilization(t *testing.T) {
	queued := []ReportField{FieldInFlight, FieldQueueLength}
	share := []ReportField{FieldUtilization}
	for name, c := range map[string]struct {
		fields     []ReportField
		values     []float64
		capacities bool
		weight     float64
		age        time.Duration
		want       float64
	}{
		"reported":                 {share, []float64{0.6}, false, 0, 0, 0.6},
		"lower bound":              {share, []float64{minUtilization / 2}, false, 0, 0, minUtilization},
		"upper bound":              {share, []float64{2}, false, 0, 0, 1},
		"at the end of the window": {share, []float64{0.6}, false, 0, statsWindow, 0.6},
		"old report":               {share, []float64{0.6}, false, 0, statsWindow + 1, 1},
		"no report":                {share, nil, false, 0, 0, 1},
		"by size":                  {queued, []float64{6, 2}, true, 8, 0, 0.5},
		"weight is no capacity":    {queued, []float64{6, 2}, false, 8, 0, 1},
		"no weight":                {queued, []float64{6, 2}, true, 0, 0, 1},
		"queue unknown":            {[]ReportField{FieldInFlight}, []float64{4}, true, 8, 0, 1},
	} {
		t.Run(name, func(t *testing.T) {
			settings := testSettings()
			settings.ReportFields = c.fields
			settings.WeightsAreCapacities = c.capacities
			s := newServer(1)
			s.endpoint.Weight = c.weight
			s.report = loadReport{values: c.values, at: time.Minute}
			load := newLoadEstimator(&settings, newLatencyStats(&settings))
			if got := load.utilization(time.Minute+c.age, s); got != c.want {
				t.Errorf("utilization = %v, want %v", got, c.want)
			}
		})
	}
}

// The expected loads include the next request.
func TestLoadEstimatorLoad(t *testing.T) {
	halfLife := reportHalfLifeLatencies * defaultLatency
	for name, c := range map[string]struct {
		reported         float64
		inFlightAtReport int
		inFlight         int
		age              time.Duration
		weight           float64
		want             float64
	}{
		"idle":                       {0, 0, 0, 0, 0, 1},
		"reported":                   {8, 0, 0, 0, 0, 9},
		"own attempts in the report": {8, 3, 3, 0, 0, 9},
		"own attempts since":         {8, 3, 5, 0, 0, 11},
		"own attempts ended since":   {8, 3, 0, 0, 0, 6},
		"more own than reported":     {2, 3, 3, 0, 0, 4},
		"report of one half-life":    {8, 0, 2, halfLife, 0, 7},
		"by size":                    {7, 0, 0, 0, 4, 2},
	} {
		t.Run(name, func(t *testing.T) {
			settings := testSettings()
			settings.ReportFields = []ReportField{FieldInFlight}
			settings.WeightsAreCapacities = true
			s := newServer(1)
			s.endpoint.Weight = c.weight
			s.report = loadReport{values: []float64{c.reported}, at: time.Minute}
			s.report.inFlight = c.inFlightAtReport
			s.inFlight.count = c.inFlight
			load := newLoadEstimator(&settings, newLatencyStats(&settings))
			if got := load.load(time.Minute+c.age, s); math.Abs(got-c.want) > 1e-9 {
				t.Errorf("load = %v, want %v", got, c.want)
			}
		})
	}
}
