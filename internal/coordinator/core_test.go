package coordinator

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"linkpass/internal/routing"
)

func TestNewReturnsErrUnsupportedClass(t *testing.T) {
	for name, change := range map[string]func(*routing.Class){
		"fetch step": func(c *routing.Class) { c.FetchParts = 1 },
		"stream":     func(c *routing.Class) { c.Stream = true },
	} {
		t.Run(name, func(t *testing.T) {
			settings := testSettings()
			change(&settings.Classes[0])
			if _, err := New(Config{Settings: settings}); !errors.Is(err, ErrUnsupportedClass) {
				t.Errorf("New returned %v, want %v", err, ErrUnsupportedClass)
			}
		})
	}
}

// Guards against treating a server that is still warming up as an old one because it started before this coordinator.
func TestFromUnixMilliConvertsToCoreClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core := newTestCore(t, routing.Settings{Coordinators: 1, Shards: 1, Cells: 1, ReplicasPerShard: 1,
			Classes: []routing.Class{{LatencyObjective: 1, Deadline: 1, RequiredWeight: 1}}})
		now := time.Now()
		if got := core.FromUnixMilli(now.Add(-5 * time.Second).UnixMilli()); got != core.Now()-5*time.Second {
			t.Errorf("FromUnixMilli(5 s ago) = %v, want %v", got, core.Now()-5*time.Second)
		}
		if got := core.FromUnixMilli(now.Add(time.Hour).UnixMilli()); got != core.Now() {
			t.Errorf("FromUnixMilli(in an hour, as after a step of the wall clock) = %v, want the present, %v", got, core.Now())
		}
		if core.FromUnixMilli(0) != 0 || core.FromUnixMilli(now.Add(-100*time.Hour).UnixMilli()) != 0 {
			t.Errorf("FromUnixMilli(0) = %v and FromUnixMilli(100 h ago) = %v, want 0",
				core.FromUnixMilli(0), core.FromUnixMilli(now.Add(-100*time.Hour).UnixMilli()))
		}
	})
}

// Guards against callers that block forever because the event loop has stopped with a full mailbox.
func TestStoppedCoreDoesNotBlockCallers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, stop := startTestCore(t, testSettings())
		open, _ := f.submit(time.Second, twoParts...)
		wait(50 * time.Millisecond)
		stop()
		if a := onlyAnswer(t, open, Failed); len(a.Missing) != 2 {
			t.Errorf("open query: answer %+v, want 2 missing parts", a)
		}
		for range cap(f.core.mailbox) {
			f.core.mailbox <- openCountRequested{make(chan int, 1)}
		}
		late, disconnect := f.submit(time.Second, twoParts...)
		if a := onlyAnswer(t, late, Failed); len(a.Missing) != 2 {
			t.Errorf("query submitted after the stop: answer %+v, want 2 missing parts", a)
		}
		disconnect()
		f.core.Arm(f.core.Now(), func() { t.Error("a deadline fired after the stop") })()
		if n := f.core.OpenCount(); n != 0 {
			t.Errorf("OpenCount() = %d after the stop, want 0", n)
		}
		if _, ok := f.core.Snapshot(time.Second); ok {
			t.Error("Snapshot succeeded on a stopped core")
		}
	})
}

// Guards against Arm, or the function that it returns, blocking on the event loop when the mailbox is full.
func TestArmDoesNotBlockOnFullMailbox(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core := newTestCore(t, testSettings())
		core.SetTransports(&fakeTransports{core: core})
		for range cap(core.mailbox) {
			core.mailbox <- openCountRequested{make(chan int, 1)}
		}
		fired := 0
		core.Arm(core.Now()+time.Second, func() { fired++ })
		core.Arm(core.Now()+time.Second, func() { t.Error("a removed deadline fired") })()
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); core.Run(ctx) }()
		wait(2 * time.Second)
		cancel()
		<-done
		if fired != 1 {
			t.Errorf("deadline fired %d times, want 1", fired)
		}
	})
}
