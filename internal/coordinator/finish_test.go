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
			t.Fatalf("attempts %+v, want 2", attempts)
		}
		f.endAll(attempts, outcome.Success)
		f.endAll(attempts, outcome.Success) // the second end of an attempt is ignored
		wait(50 * time.Millisecond)
		if a := onlyAnswer(t, answers, Answered); !a.Complete || len(a.Values) != 2 || len(a.Missing) != 0 {
			t.Errorf("answer %+v, want a complete one with 2 values", a)
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
					t.Errorf("answer %+v, want a timeout with 2 missing parts", a)
				}
				wait(3 * time.Second)
				onlyAnswer(t, answers, Failed)
			})
		})
	}
}

// Guards against a rejected query that is answered only shortly before its client's timeout.
func TestRejectedQueryIsAnsweredWithRetryAfterInSameTurn(t *testing.T) {
	testCore(t, func(t *testing.T, f *fakeTransports) {
		f.queueFull = true // so that each attempt ends without having run
		answers, _ := f.submit(2*time.Second, twoParts...)
		wait(1100 * time.Millisecond)
		if a := onlyAnswer(t, answers, Rejected); a.RetryAfter <= 0 || a.TimedOut {
			t.Errorf("answer %+v, want one with RetryAfter before the timeout", a)
		}
		ids := map[AttemptID]bool{}
		for _, a := range f.sent() {
			ids[a.ID] = true
			if a.ID.No >= 3 {
				t.Errorf("attempt %d of a part, want 3 at most", a.ID.No+1)
			}
		}
		if len(ids) != len(f.sent()) {
			t.Errorf("%d attempts sent, with %d different IDs", len(f.sent()), len(ids))
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
			t.Errorf("%d attempts in flight, %d canceled at the transport, want all; first attempt canceled: %t", len(attempts),
				len(f.canceled), attempts[0].Canceled())
		}
		f.endAll(attempts, outcome.Success) // ignored, as the query has ended
		wait(50 * time.Millisecond)
		onlyAnswer(t, answers, Failed)
	})
}

// Guards against writing an attempt after its client has disconnected, when Settings.Cancel is off.
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
			t.Fatalf("%d attempts in flight, %d canceled; want 2 and 0", len(attempts), len(f.canceled))
		}
		for _, a := range attempts {
			if !a.Canceled() {
				t.Errorf("attempt %v is not marked as canceled, so it may still be written", a.ID)
			}
		}
		f.endAll(attempts, outcome.NotSent)
		wait(50 * time.Millisecond)
		if n := len(f.sent()); n != 2 {
			t.Errorf("%d attempts sent, want 2", n)
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
