package coordinator

import (
	"fmt"
	"testing"
	"time"

	"linkpass/internal/outcome"
	"linkpass/internal/routing"
)

func TestCoreAnswersCompleteQueryOnce(t *testing.T) {
	testCore(t, func(t *testing.T, f *fakeTransports) {
		answers, disconnect := f.submit(2*time.Second, twoParts...)
		wait(50 * time.Millisecond)
		attempts := f.sent()
		if len(attempts) != 2 {
			t.Fatalf("attempts %+v", attempts)
		}
		f.endAll(attempts, outcome.Success)
		f.endAll(attempts, outcome.Success) // the second end of an attempt is ignored
		wait(50 * time.Millisecond)
		if a := onlyAnswer(t, answers, Answered); !a.Complete || len(a.Values) != 2 || len(a.Missing) != 0 {
			t.Errorf("%+v", a)
		}
		disconnect()
		wait(3 * time.Second)
		onlyAnswer(t, answers, Answered)
	})
}

func TestQueryWithoutRepliesFailsOnceAtTimeout(t *testing.T) {
	for _, ignoresHealthChecks := range []bool{false, true} {
		t.Run(fmt.Sprintf("ignoresHealthChecks=%v", ignoresHealthChecks), func(t *testing.T) {
			testCore(t, func(t *testing.T, f *fakeTransports) {
				f.ignoresHealthChecks = ignoresHealthChecks
				answers, _ := f.submit(400*time.Millisecond, twoParts...)
				wait(401 * time.Millisecond)
				if a := onlyAnswer(t, answers, Failed); !a.TimedOut || len(a.Missing) != 2 {
					t.Errorf("%+v", a)
				}
				wait(3 * time.Second)
				onlyAnswer(t, answers, Failed)
			})
		})
	}
}

// Guards against a rejected query that is kept until its client's timeout has nearly passed.
func TestRejectedQueryIsAnsweredWithRetryAfterInSameTurn(t *testing.T) {
	testCore(t, func(t *testing.T, f *fakeTransports) {
		f.queueFull = true // each attempt ends as one that did not run
		answers, _ := f.submit(2*time.Second, twoParts...)
		wait(1100 * time.Millisecond)
		if a := onlyAnswer(t, answers, Rejected); a.RetryAfter <= 0 || a.TimedOut {
			t.Errorf("%+v", a)
		}
		ids := map[AttemptID]bool{}
		for _, a := range f.sent() {
			ids[a.ID] = true
			if a.ID.No >= 3 {
				t.Errorf("attempt %d of a part", a.ID.No+1)
			}
		}
		if len(ids) != len(f.sent()) {
			t.Error("an attempt was sent twice")
		}
	})
}

func TestDisconnectCancelsAttemptsInFlight(t *testing.T) {
	testCore(t, func(t *testing.T, f *fakeTransports) {
		answers, disconnect := f.submit(2*time.Second, twoParts...)
		wait(50 * time.Millisecond)
		disconnect()
		wait(20 * time.Millisecond)
		onlyAnswer(t, answers, Failed)
		attempts := f.sent()
		if len(f.canceled) != len(attempts) || !attempts[0].Canceled() {
			t.Errorf("%d attempts in flight, %d canceled", len(attempts), len(f.canceled))
		}
		f.endAll(attempts, outcome.Success) // too late
		wait(50 * time.Millisecond)
		onlyAnswer(t, answers, Failed)
	})
}

// Guards against an attempt that is written after its client has disconnected, where attempts cannot be canceled.
func TestDisconnectEndsUnwrittenAttemptsWithoutCancel(t *testing.T) {
	settings := testSettings()
	settings.Cancel = false
	testCoreWith(t, settings, func(t *testing.T, f *fakeTransports) {
		answers, disconnect := f.submit(2*time.Second, twoParts...)
		wait(50 * time.Millisecond)
		disconnect()
		wait(20 * time.Millisecond)
		onlyAnswer(t, answers, Failed)
		attempts := f.sent()
		if len(attempts) != 2 || len(f.canceled) != 0 {
			t.Fatalf("%d attempts in flight, %d canceled", len(attempts), len(f.canceled))
		}
		for _, a := range attempts {
			if !a.Canceled() {
				t.Errorf("%v may still be written", a.ID)
			}
		}
		f.endAll(attempts, outcome.NotSent)
		wait(50 * time.Millisecond)
		if n := len(f.sent()); n != 2 {
			t.Errorf("%d attempts", n)
		}
	})
}

func TestTenantIndex(t *testing.T) {
	c := &Core{settings: routing.Settings{Tenants: make([]routing.Tenant, 2)}}
	for tenant, want := range []int{2, 0, 1} {
		if got := c.tenantIndex(&query{Query: Query{Tenant: tenant}}); got != want {
			t.Errorf("tenant %d has index %d, want %d", tenant, got, want)
		}
	}
}
