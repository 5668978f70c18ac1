package emulator

import (
	"testing"
	"time"
)

func TestSpeedRisesDuringWarmup(t *testing.T) {
	capacity := Capacity{Cores: 2, WarmupDuration: time.Hour, WarmupInitialShare: 0.2}
	cases := map[string]struct {
		age  time.Duration // 0: never restarted
		want float64
	}{
		"never restarted":  {0, 1},
		"just restarted":   {time.Nanosecond, 0.2},
		"half of warm-up":  {30 * time.Minute, 0.6},
		"after warm-up":    {time.Hour, 1},
		"long after start": {24 * time.Hour, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := NewServer("s-01", capacity, nil, 1, nil)
			if c.age > 0 {
				s.startedAt = time.Now().Add(-c.age)
			}
			if got := s.speed(time.Millisecond); got < c.want || got > c.want+0.01 {
				t.Errorf("speed = %v, want %v to %v", got, c.want, c.want+0.01)
			}
		})
	}
}

func TestWarmupCountsOverload(t *testing.T) {
	s := NewServer("s-01", Capacity{Cores: 2, WarmupDuration: time.Hour, WarmupInitialShare: 0.2}, nil, 1, nil)
	s.startedAt, s.warmup.updatedAt = time.Now(), time.Now()
	s.speed(2300 * time.Millisecond) // the bound: 2 cores, at twice a fifth of full speed, do 2.4 s of work in 3 s
	if n := s.OverloadedWhileWarming.Load(); n != 0 {
		t.Errorf("overloaded parts below the bound = %d, want 0", n)
	}
	s.speed(300 * time.Millisecond)
	if n := s.OverloadedWhileWarming.Load(); n != 1 {
		t.Errorf("overloaded parts above the bound = %d, want 1", n)
	}
}
