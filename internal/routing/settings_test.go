package routing

import "testing"

func TestNewRejectsUnusableSettings(t *testing.T) {
	for name, change := range map[string]func(*Settings){
		"replicas per shard": func(s *Settings) { s.ReplicasPerShard = 9 },
		"classes":            func(s *Settings) { s.Classes = nil },
		"latency objective":  func(s *Settings) { s.Classes[0].LatencyObjective = 0 },
		"coordinators":       func(s *Settings) { s.Coordinators = 0 },
	} {
		settings := testSettings()
		change(&settings)
		if router, err := New(settings, 1); err == nil || router != nil {
			t.Errorf("%s: accepted", name)
		}
	}
}
