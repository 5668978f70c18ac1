package routing

import (
	"math"
	"slices"
	"testing"
	"time"
)

// Guards against preferring a server that fails fast: it looks idle, so it would be chosen after every race.
func TestEjectRemovesServerThatFailsFast(t *testing.T) {
	h := newHarness(t, testSettings())
	failed := 0
	for i := range 30 {
		id := RequestID(100 + 10*i)
		h.startQuery(id, 0, 0)
		h.advance(5*ms, checkReply(1, 0), checkReply(2, 3), checkReply(3, 3))
		if len(actionsOf[Send](h.actions)) == 0 {
			h.advance(5 * ms)
		}
		send := wantActions[Send](t, h.actions, 1)[0]
		if send.Server == 1 {
			failed++
			h.advance(ms, attemptResult(send.ID, 0, 1, ServerError, ms))
			h.turn(ClientDisconnected{ID: id})
			continue
		}
		h.advance(10*ms, attemptResult(send.ID, 0, send.Server, OK, 10*ms))
	}
	if failed == 0 || failed > 4 {
		t.Errorf("%d of 30 parts were sent to the failing server, want 1 to 4", failed)
	}
}

func TestEjectKeepsLastReplica(t *testing.T) {
	h := newHarness(t, testSettings())
	h.updateEndpoints(UpdateFull, readyEndpoint(1, 0))
	h.setHealth(h.server(1), 0)
	h.startQuery(10, 0, 0)
	if h.sendAfterChecks(1) != 1 {
		t.Error("the only replica was ejected")
	}
}

func TestEjectKeepsReplicasThatFailAlike(t *testing.T) {
	h := newHarness(t, testSettings())
	for _, s := range h.router.endpoints.listed {
		h.setHealth(s, 0.1)
	}
	h.startQuery(10, 0, 0)
	wantActions[HealthCheck](t, h.actions, 3)
}

// Guards against ejecting a server for all classes when it fails only one, and against ejecting it for ever.
func TestHealthIsPerClassAndDecays(t *testing.T) {
	settings := testSettings()
	settings.Classes = append(settings.Classes, settings.Classes[0])
	h := newHarness(t, settings)
	h.startQuery(10, 0, 0)
	outliers, s := h.router.results.outliers, h.server(1)
	outliers.recordFailure(h.now, s, 0)
	outliers.recordFailure(h.now, s, 0)
	for class, want := range []int{2, 3} {
		p := &part{query: &query{classIndex: class}}
		if got := len(h.router.selector.candidates(h.now, p)); got != want {
			t.Errorf("class %d: %d candidates, want %d", class, got, want)
		}
	}
	h.now += 5 * time.Minute
	h.turn()
	if health := outliers.health(h.now, s, 0); health < 0.95 {
		t.Errorf("health after five minutes = %.2f, want at least 0.95", health)
	}
}

func TestProbationAllowsOneAttemptAtATime(t *testing.T) {
	h := newHarness(t, testSettings())
	s := h.server(1)
	h.setHealth(s, 0.7)
	p := &part{query: &query{}}
	for inFlight, want := range []int{3, 2} {
		s.inFlight.count = inFlight
		if got := len(h.router.selector.candidates(h.now, p)); got != want {
			t.Errorf("with %d attempts in flight: %d candidates, want %d", inFlight, got, want)
		}
	}
}

func newTestOutlierDetector() *outlierDetector {
	settings := testSettings()
	return newOutlierDetector(newLatencyStats(&settings))
}

func TestOutlierDetectorEject(t *testing.T) {
	const belowEjection, aboveEjection = ejectionHealthRatio - 0.01, ejectionHealthRatio + 0.01
	const belowProbation, aboveProbation = probationHealthRatio - 0.01, probationHealthRatio + 0.01
	for name, c := range map[string]struct {
		health   []float64 // of the servers 1, 2, ...
		inFlight []int
		kept     []ServerID
	}{
		"no replicas":             {nil, nil, nil},
		"last replica":            {[]float64{0}, []int{1}, []ServerID{1}},
		"all healthy":             {[]float64{1, 1, 1}, []int{1, 1, 1}, []ServerID{1, 2, 3}},
		"below ejection":          {[]float64{belowEjection, 1, 1}, []int{0, 0, 0}, []ServerID{2, 3}},
		"above ejection":          {[]float64{aboveEjection, 1, 1}, []int{0, 0, 0}, []ServerID{1, 2, 3}},
		"best is kept":            {[]float64{0.1, 0.2}, []int{3, 3}, []ServerID{2}},
		"fault of all":            {[]float64{0.1, 0.1, 0.1}, []int{2, 0, 1}, []ServerID{1, 2, 3}},
		"relative to the best":    {[]float64{0.5 * belowEjection, 0.5}, []int{0, 0}, []ServerID{2}},
		"probation, idle":         {[]float64{belowProbation, 1}, []int{0, 0}, []ServerID{1, 2}},
		"probation, in flight":    {[]float64{belowProbation, 1}, []int{1, 0}, []ServerID{2}},
		"no probation, in flight": {[]float64{aboveProbation, 1}, []int{1, 0}, []ServerID{1, 2}},
	} {
		t.Run(name, func(t *testing.T) {
			var replicas []*server
			for i, health := range c.health {
				s := newServer(ServerID(i + 1))
				s.health = healthScores{byClass: []float64{health}, at: time.Minute}
				s.inFlight.count = c.inFlight[i]
				replicas = append(replicas, s)
			}
			kept := serverIDs(newTestOutlierDetector().eject(time.Minute, replicas, 0))
			if !slices.Equal(kept, c.kept) {
				t.Errorf("kept %v, want %v", kept, c.kept)
			}
		})
	}
}

const recordedMedian = float64(100 * ms) // median latency of the class of the result

var recordCases = map[string]struct {
	record func(*outlierDetector, *server)
	want   [2]float64 // health by class; the result is of class 0
}{
	"success in time": {
		func(d *outlierDetector, s *server) { d.recordSuccess(time.Minute, s, 0, recordedMedian) },
		[2]float64{1, 1},
	},
	"success, twice the median": {
		func(d *outlierDetector, s *server) { d.recordSuccess(time.Minute, s, 0, 2*recordedMedian) },
		[2]float64{1 - healthSmoothingFactor/2, 1 - otherClassesFactor*healthSmoothingFactor/2},
	},
	"failure": {
		func(d *outlierDetector, s *server) { d.recordFailure(time.Minute, s, 0) },
		[2]float64{1 - healthSmoothingFactor, 1 - otherClassesFactor*healthSmoothingFactor},
	},
	"failed health check": {
		func(d *outlierDetector, s *server) { d.recordFailedCheck(time.Minute, s) },
		[2]float64{1 - healthCheckSmoothingFactor, 1 - healthCheckSmoothingFactor},
	},
}

func TestOutlierDetectorRecord(t *testing.T) {
	for name, c := range recordCases {
		t.Run(name, func(t *testing.T) {
			settings := testSettings()
			settings.Classes = append(settings.Classes, settings.Classes[0])
			detector := newOutlierDetector(newLatencyStats(&settings))
			detector.latencies.byClass[0].add(time.Minute, recordedMedian)
			s := newServer(1)
			s.resetForRestart(s.endpoint, 2)
			c.record(detector, s)
			for class, want := range c.want {
				if got := detector.health(time.Minute, s, class); math.Abs(got-want) > 1e-9 {
					t.Errorf("health of class %d = %v, want %v", class, got, want)
				}
			}
		})
	}
}

func TestOutlierDetectorRecordsOverdueOnce(t *testing.T) {
	detector, s := newTestOutlierDetector(), newServer(1)
	a := &attempt{server: s, part: &part{query: &query{}}}
	detector.recordOverdue(time.Minute, a)
	once := s.health.byClass[0]
	detector.recordOverdue(time.Minute, a)
	if !a.overdue || once >= 1 || s.health.byClass[0] != once {
		t.Errorf("overdue = %v, health = %v, then %v; want true, less than 1, then the same",
			a.overdue, once, s.health.byClass[0])
	}
}

func TestOutlierDetectorHalfLife(t *testing.T) {
	const shortest = float64(minHealthHalfLife) / healthHalfLifeIntervals
	for name, c := range map[string]struct {
		sampleInterval float64
		want           time.Duration
	}{
		"lower bound": {shortest / 2, minHealthHalfLife},
		"between":     {2 * shortest, 2 * minHealthHalfLife},
		"upper bound": {100 * shortest, maxHealthHalfLife},
	} {
		t.Run(name, func(t *testing.T) {
			detector, s := newTestOutlierDetector(), newServer(1)
			s.health = healthScores{byClass: []float64{0}, at: time.Minute}
			detector.updateHalfLife(c.sampleInterval)
			if got := detector.health(time.Minute+c.want, s, 0); math.Abs(got-0.5) > 1e-9 {
				t.Errorf("health = %v after %v, want 0.5", got, c.want)
			}
		})
	}
}
