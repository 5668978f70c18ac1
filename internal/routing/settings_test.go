package routing

import (
	"errors"
	"testing"
	"time"
)

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
			t.Errorf("%s: New returned error %v, want an error and no router", name, err)
		}
	}
}

const placementSettings = "Shards, Cells, ReplicasPerShard"

var checkCases = map[string]struct {
	change  func(*Settings)
	setting string // empty: no error
}{
	"usable":                    {func(*Settings) {}, ""},
	"as many replicas as cells": {func(s *Settings) { s.ReplicasPerShard = s.Cells }, ""},
	"no shards":                 {func(s *Settings) { s.Shards = 0 }, placementSettings},
	"no cells":                  {func(s *Settings) { s.Cells = 0 }, placementSettings},
	"no replicas":               {func(s *Settings) { s.ReplicasPerShard = 0 }, placementSettings},
	"more replicas than cells": {
		func(s *Settings) { s.ReplicasPerShard = s.Cells + 1 }, placementSettings,
	},
	"no classes":                     {func(s *Settings) { s.Classes = nil }, "Classes"},
	"no coordinators":                {func(s *Settings) { s.Coordinators = 0 }, "Coordinators"},
	"first class, no objective":      {func(s *Settings) { s.Classes[0].LatencyObjective = 0 }, "Classes[0]"},
	"second class, no objective":     {func(s *Settings) { s.Classes[1].LatencyObjective = 0 }, "Classes[1]"},
	"second class, no deadline":      {func(s *Settings) { s.Classes[1].Deadline = 0 }, "Classes[1]"},
	"second class, nothing required": {func(s *Settings) { s.Classes[1].RequiredWeight = 0 }, "Classes[1]"},
}

func TestSettingsCheckNamesTheSetting(t *testing.T) {
	for name, c := range checkCases {
		t.Run(name, func(t *testing.T) {
			settings := testSettings()
			settings.Classes = append(settings.Classes, settings.Classes[0])
			c.change(&settings)
			err := settings.check()
			if c.setting == "" {
				if err != nil {
					t.Errorf("check = %v, want no error", err)
				}
				return
			}
			var settingsError *SettingsError
			if !errors.As(err, &settingsError) || settingsError.Setting != c.setting {
				t.Errorf("check = %v, want a *SettingsError with Setting %s", err, c.setting)
			}
		})
	}
}

func TestSettingsRetryBudgetSpans(t *testing.T) {
	for name, c := range map[string]struct {
		window, delay, arrivals, attempts time.Duration
	}{
		"no budget":               {0, time.Second, 0, 0},
		"no delay":                {2 * time.Second, 0, 2 * time.Second, 2 * time.Second},
		"delay":                   {2 * time.Second, 300 * ms, 1700 * ms, 2300 * ms},
		"delay beyond the window": {2 * time.Second, 3 * time.Second, 0, 5 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			settings := Settings{RetryBudgetWindow: c.window, MaxWriteDelay: c.delay}
			arrivals, attempts := settings.retryBudgetSpans()
			if arrivals != c.arrivals || attempts != c.attempts {
				t.Errorf("spans = %v, %v; want %v, %v", arrivals, attempts, c.arrivals, c.attempts)
			}
		})
	}
}

func TestClassRetryableUntil(t *testing.T) {
	for name, c := range map[string]struct {
		idempotency Idempotency
		want        time.Duration
	}{
		"idempotent":     {Idempotent, unbounded},
		"with key":       {IdempotentWithKey, time.Minute + 500*ms},
		"non-idempotent": {NonIdempotent, unbounded},
	} {
		t.Run(name, func(t *testing.T) {
			class := Class{Idempotency: c.idempotency, IdempotencyWindow: 500 * ms}
			if got := class.retryableUntil(time.Minute); got != c.want {
				t.Errorf("retryableUntil = %v, want %v", got, c.want)
			}
		})
	}
}
