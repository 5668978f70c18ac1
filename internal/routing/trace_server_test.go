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
	size       int
	state      string
	since      time.Duration
	queueLimit int

	coldFrom float64
	cold     time.Duration

	cores    []time.Duration // when each core becomes free
	finishes []time.Duration // completion times of the queued and running requests
	service  float64         // moving average of the service time, in nanoseconds
	report   []float64
	reportAt time.Duration

	slow        float64 // factor of the service time
	failing     float64 // share of requests that fail
	lossy       float64 // share of health checks that get no reply
	unreachable bool
	silent      bool
	jammed      bool
}

// warmth returns the share of its full capacity that a server has at a time.
func (s *simServer) warmth(at time.Duration) float64 {
	if s.since == 0 || at >= s.since+s.cold {
		return 1
	}
	return s.coldFrom + (1-s.coldFrom)*float64(at-s.since)/float64(s.cold)
}

// trim removes the completed requests.
func (s *simServer) trim(at time.Duration) {
	s.finishes = slices.DeleteFunc(s.finishes, func(end time.Duration) bool { return end <= at })
}

// serve queues a request and returns when it completes. accepted is false if the queue is full.
func (s *simServer) serve(at, work time.Duration) (end time.Duration, accepted bool) {
	s.trim(at)
	if len(s.finishes) >= s.size+s.queueLimit {
		return 0, false
	}
	took := time.Duration(float64(work) * s.slow / s.warmth(at))
	core := 0
	for i := range s.cores {
		if s.cores[i] < s.cores[core] {
			core = i
		}
	}
	end = max(at, s.cores[core]) + took
	s.cores[core] = end
	s.finishes = append(s.finishes, end)
	s.service += 0.2 * (float64(took) - s.service)
	return end, true
}

// pause blocks all cores for a time.
func (s *simServer) pause(at, length time.Duration) {
	for i := range s.cores {
		s.cores[i] = max(at, s.cores[i]) + length
	}
}

// load returns a load report with values in the order of the fields. A report is reused for 150 ms.
func (s *simServer) load(at time.Duration, fields []reportField, random *rand.Rand) []float64 {
	if len(s.report) > 0 && at < s.reportAt+150*time.Millisecond {
		return s.report
	}
	s.trim(at)
	hand := float64(len(s.finishes))
	busy := min(hand, float64(s.size))
	rate := busy / s.service * float64(time.Second)
	values := map[reportField]float64{
		siteFields["inflight"]:   hand,
		siteFields["queue"]:      hand - busy,
		siteFields["util"]:       busy / float64(s.size),
		siteFields["service_ms"]: s.service / float64(time.Millisecond),
		siteFields["qps"]:        rate,
		siteFields["errors"]:     rate * s.failing,
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

// recover clears all faults of a server.
func (s *simServer) recover() {
	s.slow = 1
	s.failing = 0
	s.lossy = 0
	s.unreachable = false
	s.silent = false
	s.jammed = false
}
