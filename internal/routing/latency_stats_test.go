package routing

import (
	"testing"
	"time"
)

func TestLatencyStatsMedians(t *testing.T) {
	settings := testSettings()
	settings.Classes = append(settings.Classes, settings.Classes[0])
	defaultMedian := overdueObjectiveShare / overdueLatencyFactor * float64(2*time.Second)
	for name, c := range map[string]struct {
		latencies    [2][]time.Duration // by class
		class        float64            // median of class 0
		overall      float64
		relativeWork float64
	}{
		"no samples":  {[2][]time.Duration{}, defaultMedian, float64(defaultLatency), 1},
		"other class": {[2][]time.Duration{nil, {50 * ms}}, defaultMedian, float64(50 * ms), 1},
		"one class": {
			[2][]time.Duration{{50 * ms, 30 * ms, 90 * ms}}, float64(50 * ms), float64(50 * ms), 1,
		},
		"a third of it": {
			[2][]time.Duration{{20 * ms}, {60 * ms, 60 * ms}}, float64(20 * ms), float64(60 * ms), 1.0 / 3,
		},
	} {
		t.Run(name, func(t *testing.T) {
			stats := newLatencyStats(&settings)
			for class, latencies := range c.latencies {
				for _, latency := range latencies {
					stats.add(time.Minute, class, float64(latency), 1)
				}
			}
			if got := stats.classMedian(time.Minute, 0); got != c.class {
				t.Errorf("class median = %v, want %v", got, c.class)
			}
			if got := stats.overallMedian(time.Minute); got != c.overall {
				t.Errorf("overall median = %v, want %v", got, c.overall)
			}
			if got := stats.relativeWork(time.Minute, 0); got != c.relativeWork {
				t.Errorf("relative work = %v, want %v", got, c.relativeWork)
			}
		})
	}
}

func TestLatencyStatsPerUnitLoad(t *testing.T) {
	settings := testSettings()
	stats := newLatencyStats(&settings)
	stats.add(time.Minute, 0, 80, 4)
	if got := stats.perUnitLoad.median(time.Minute, 0); got != 20 {
		t.Errorf("latency per unit of load = %v, want 20", got)
	}
}

func TestLatencyStatsIsOverdue(t *testing.T) {
	const median = 50 * ms
	const limit = overdueLatencyFactor * median
	for name, c := range map[string]struct {
		age  time.Duration
		want bool
	}{
		"below the limit": {limit - 1, false},
		"at the limit":    {limit, false},
		"over the limit":  {limit + 1, true},
	} {
		t.Run(name, func(t *testing.T) {
			settings := testSettings()
			stats := newLatencyStats(&settings)
			stats.add(time.Minute, 0, float64(median), 1)
			a := &attempt{part: &part{query: &query{}}, sentAt: time.Minute}
			if got := stats.isOverdue(time.Minute+c.age, a); got != c.want {
				t.Errorf("isOverdue = %v after %v, want %v", got, c.age, c.want)
			}
		})
	}
}

func TestLatencyStatsSampleInterval(t *testing.T) {
	for name, c := range map[string]struct {
		samples, servers int
		want             time.Duration
	}{
		"no samples":          {0, 3, 3 * statsWindow},
		"one sample a server": {3, 3, statsWindow},
		"many samples":        {60, 3, statsWindow / 20},
	} {
		t.Run(name, func(t *testing.T) {
			settings := testSettings()
			stats := newLatencyStats(&settings)
			for range c.samples {
				stats.add(time.Minute, 0, 1, 1)
			}
			if got := time.Duration(stats.sampleInterval(time.Minute, c.servers)); got != c.want {
				t.Errorf("sample interval = %v, want %v", got, c.want)
			}
		})
	}
}

func TestMeanMedianLatency(t *testing.T) {
	for name, c := range map[string]struct {
		latencies []float64 // of the servers; 0: no samples
		want      float64
	}{
		"no servers":      {nil, 0},
		"no samples":      {[]float64{0, 0}, 0},
		"all":             {[]float64{30, 90}, 60},
		"without unknown": {[]float64{30, 0, 90}, 60},
	} {
		t.Run(name, func(t *testing.T) {
			var servers []*server
			for i, latency := range c.latencies {
				s := newServer(ServerID(i + 1))
				if latency > 0 {
					s.latency.add(time.Minute, latency)
				}
				servers = append(servers, s)
			}
			if got := meanMedianLatency(time.Minute, servers); got != c.want {
				t.Errorf("mean = %v, want %v", got, c.want)
			}
		})
	}
}
