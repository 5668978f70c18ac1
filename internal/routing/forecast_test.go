package routing

import (
	"math"
	"slices"
	"testing"
	"time"
)

// Guards against a forecast based on the last load reports of replicas that no longer answer health checks.
func TestForecastSkipsUnreachableReplicas(t *testing.T) {
	h := newHarness(t, testSettings())
	for _, id := range []ServerID{1, 2} {
		h.server(id).checks.consecutiveFailures = maxConsecutiveCheckFailures
	}
	forecaster := h.router.admission.forecaster
	if got := forecaster.reachableReplicas(h.now, 0); len(got) != 1 || got[0].id != 3 {
		t.Errorf("reachable replicas = %v, want server 3 only", serverIDs(got))
	}
	h.server(3).checks.consecutiveFailures = maxConsecutiveCheckFailures
	if got := forecaster.reachableReplicas(h.now, 0); len(got) != 3 {
		t.Errorf("%d reachable replicas when all fail their health checks, want all 3", len(got))
	}
}

func TestForecastAdmitsWhereOneReplicaIsIdle(t *testing.T) {
	h := newHarness(t, testSettings())
	h.runQuery(1, 20*ms, 1)
	h.startQuery(10, 0, 0)
	h.advance(5*ms, checkReply(1, 0), checkReply(2, 99), checkReply(3, 99))
	h.startQuery(20, 0, 0)
	wantActions[Reject](t, h.actions, 0)
}

func TestForecastOfServer(t *testing.T) {
	const perUnitLoad = float64(10 * ms)
	for name, c := range map[string]struct {
		reported float64
		waiting  float64
		sentAgo  []time.Duration // ages of the attempts in flight
		want     time.Duration
	}{
		"idle":               {0, 0, nil, 10 * ms},
		"by load":            {4, 0, nil, 50 * ms},
		"with waiting parts": {4, 1.5, nil, 65 * ms},
		"by the age of attempts": {
			0, 0, []time.Duration{100 * ms, 140 * ms}, latencyToAgeRatio * 80 * ms,
		},
		"by load, the attempts are new": {4, 0, []time.Duration{0}, 60 * ms},
	} {
		t.Run(name, func(t *testing.T) {
			settings := testSettings()
			settings.ReportFields = []ReportField{FieldInFlight}
			s := newServer(1)
			s.report = loadReport{values: []float64{c.reported}, at: time.Minute}
			for _, age := range c.sentAgo {
				s.inFlight.sent(time.Minute - age)
			}
			forecaster := &forecaster{load: newLoadEstimator(&settings, newLatencyStats(&settings))}
			got := forecaster.server(time.Minute, s, perUnitLoad, c.waiting)
			if math.Abs(got-float64(c.want)) > 1 {
				t.Errorf("forecast = %v, want %v", time.Duration(got), c.want)
			}
		})
	}
}

// The forecasts of the two replicas are 10 ms and 30 ms, so their harmonic mean is 2/(1/10 + 1/30) = 15 ms.
func TestForecastOfShardIsHarmonicMean(t *testing.T) {
	for name, c := range map[string]struct {
		backoff time.Duration // of the replica with a forecast of 30 ms
		want    time.Duration
	}{
		"no backoff":   {0, 15 * ms},
		"with backoff": {60 * ms, 18 * ms}, // 2/(1/10 + 1/90)
	} {
		t.Run(name, func(t *testing.T) {
			settings := testSettings()
			settings.ReportFields = []ReportField{FieldInFlight}
			fast, slow := newServer(1), newServer(2)
			slow.report = loadReport{values: []float64{2}, at: time.Minute}
			slow.backoff.until = time.Minute + c.backoff
			forecaster := &forecaster{load: newLoadEstimator(&settings, newLatencyStats(&settings))}
			got := forecaster.shard(time.Minute, []*server{fast, slow}, float64(10*ms), 0)
			if math.Abs(got-float64(c.want)) > 1 {
				t.Errorf("forecast = %v, want %v", time.Duration(got), c.want)
			}
		})
	}
}

func TestForecastOfQuery(t *testing.T) {
	const noReplica = 7
	const latency = 10 * ms // of an idle server
	for name, c := range map[string]struct {
		shards []int
		limit  time.Duration
		mean   float64
		worst  float64
		slow   []ServerID
	}{
		"within the limit": {[]int{0, 1}, latency, float64(latency), float64(latency), nil},
		"over the limit":   {[]int{0}, latency - 1, float64(latency), float64(latency), []ServerID{1, 2, 3}},
		"no replica":       {[]int{0, noReplica}, latency, float64(latency) / 2, math.Inf(1), nil},
		"no parts":         {nil, latency, 0, 0, nil},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, testSettings())
			h.router.results.latencies.perUnitLoad.add(h.now, float64(latency))
			q := &query{}
			for _, shard := range c.shards {
				q.parts = append(q.parts, &part{query: q, shard: shard})
			}
			got := h.router.admission.forecaster.query(h.now, q, float64(c.limit))
			if math.Abs(got.mean-c.mean) > 1 || got.worst != c.worst && math.Abs(got.worst-c.worst) > 1 {
				t.Errorf("mean, worst = %v, %v; want %v, %v", got.mean, got.worst, c.mean, c.worst)
			}
			if slow := serverIDs(got.slow); !slices.Equal(slow, c.slow) {
				t.Errorf("slow replicas = %v, want %v", slow, c.slow)
			}
		})
	}
}
