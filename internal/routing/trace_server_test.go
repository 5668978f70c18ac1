package routing_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// simServer is a simulated server: a queue in front of a number of cores.
type simServer struct {
	id         uint64
	zone       int
	kind       int
	cell       int
	coreCount  int
	state      string
	startedAt  time.Duration
	queueLimit int

	initialCapacity float64
	warmupDuration  time.Duration

	cores           []time.Duration // when each core becomes free
	completions     []time.Duration // completion times of the queued and running requests
	meanServiceTime float64         // moving average of the service time, in nanoseconds
	report          []float64
	reportAt        time.Duration

	slowdown      float64 // factor of the service time
	failureRate   float64 // share of requests that fail
	checkLossRate float64 // share of health checks that get no reply
	unreachable   bool    // attempts and health checks fail to connect
	silent        bool    // attempts and health checks get no reply
	overloaded    bool    // all attempts are rejected as overloaded
}

// capacityShare returns the share of its full capacity that a server has at a time.
func (s *simServer) capacityShare(at time.Duration) float64 {
	if s.startedAt == 0 || at >= s.startedAt+s.warmupDuration {
		return 1
	}
	return s.initialCapacity + (1-s.initialCapacity)*float64(at-s.startedAt)/float64(s.warmupDuration)
}

// removeCompleted removes the completed requests.
func (s *simServer) removeCompleted(at time.Duration) {
	s.completions = slices.DeleteFunc(s.completions, func(end time.Duration) bool { return end <= at })
}

// serve queues a request and returns when it completes. accepted is false if the queue is full.
func (s *simServer) serve(at, work time.Duration) (end time.Duration, accepted bool) {
	s.removeCompleted(at)
	if len(s.completions) >= s.coreCount+s.queueLimit {
		return 0, false
	}
	took := time.Duration(float64(work) * s.slowdown / s.capacityShare(at))
	core := 0
	for i := range s.cores {
		if s.cores[i] < s.cores[core] {
			core = i
		}
	}
	end = max(at, s.cores[core]) + took
	s.cores[core] = end
	s.completions = append(s.completions, end)
	s.meanServiceTime += 0.2 * (float64(took) - s.meanServiceTime)
	return end, true
}

// pause blocks all cores for a time.
func (s *simServer) pause(at, length time.Duration) {
	for i := range s.cores {
		s.cores[i] = max(at, s.cores[i]) + length
	}
}

// loadReport returns a load report with values in the order of the fields. A report is reused for 150 ms.
func (s *simServer) loadReport(at time.Duration, fields []reportField, random *rand.Rand) []float64 {
	if len(s.report) > 0 && at < s.reportAt+150*time.Millisecond {
		return s.report
	}
	s.removeCompleted(at)
	inFlight := float64(len(s.completions))
	busy := min(inFlight, float64(s.coreCount))
	rate := busy / s.meanServiceTime * float64(time.Second)
	values := map[reportField]float64{
		siteFields["inflight"]:   inFlight,
		siteFields["queue"]:      inFlight - busy,
		siteFields["util"]:       busy / float64(s.coreCount),
		siteFields["service_ms"]: s.meanServiceTime / float64(time.Millisecond),
		siteFields["qps"]:        rate,
		siteFields["errors"]:     rate * s.failureRate,
	}
	s.reportAt = at
	s.report = nil
	for _, field := range fields {
		value := values[field] * (0.97 + 0.06*random.Float64())
		if random.IntN(200) == 0 {
			value = math.NaN()
		}
		s.report = append(s.report, value)
	}
	return s.report
}

// clearFaults clears all faults of a server.
func (s *simServer) clearFaults() {
	s.slowdown = 1
	s.failureRate = 0
	s.checkLossRate = 0
	s.unreachable = false
	s.silent = false
	s.overloaded = false
}
