package membudget

import (
	"errors"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"
)

const testBase, testAllowance = 10, 4

func open(t *testing.T, b *Budget, shed func()) *Account {
	t.Helper()
	a, ok := b.Open(testBase, testAllowance, shed)
	if !ok {
		t.Fatal("no room for an account")
	}
	return a
}

// The accounts hold no more than the limit, whatever they do, and nothing once they are closed.
func TestAccountsStayWithinLimit(t *testing.T) {
	const limit = 500
	b, rng := New(limit), rand.New(rand.NewPCG(1, 1))
	var accounts []*Account
	for range 5000 {
		switch n := rng.IntN(6); {
		case n == 0:
			if a, ok := b.Open(testBase, testAllowance, func() {}); ok {
				accounts = append(accounts, a)
			}
		case len(accounts) == 0:
		case n == 1:
			accounts[0].Close()
			accounts = accounts[1:]
		case n == 2:
			accounts[rng.IntN(len(accounts))].Reset()
		default:
			accounts[rng.IntN(len(accounts))].TryGrow(rng.Int64N(60))
		}
		if used, _ := b.Used(); used > limit || used < int64(len(accounts))*(testBase+testAllowance) {
			t.Fatalf("%d bytes are held by %d accounts, limit %d", used, len(accounts), limit)
		}
	}
	for _, a := range accounts {
		a.Close()
		a.Close()
	}
	if used, _ := b.Used(); used != 0 {
		t.Errorf("%d bytes are held after all accounts were closed, want 0", used)
	}
}

// A small request needs no room in the shared part, so it is received while the budget is exhausted.
func TestAllowanceIsUsableWhileExhausted(t *testing.T) {
	b := New(3*(testBase+testAllowance) - 1)
	greedy, small := open(t, b, nil), open(t, b, nil)
	b.SetLimit(2*(testBase+testAllowance) + 5)
	if !greedy.TryGrow(testAllowance+5) || greedy.TryGrow(1) {
		t.Error("the first account did not take exactly the allowance and the shared bytes")
	}
	if !small.TryGrow(testAllowance) {
		t.Error("the allowance of the second account was not usable")
	}
	if _, ok := b.Open(testBase, testAllowance, nil); ok {
		t.Error("a third account was opened without room for it")
	}
}

// Of several incomplete requests the one that arrives most slowly for what it holds is shed, and only that one; the
// account that asked for room gets it.
func TestGrowShedsSlowestRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(200)
		var stalled, active *Account
		shed := map[string]int{}
		stalled = open(t, b, func() { shed["stalled"]++; go stalled.Close() })
		active = open(t, b, func() { shed["active"]++ })
		stalled.Receiving()
		time.Sleep(2 * time.Second)
		active.Receiving()
		if !stalled.TryGrow(50+testAllowance) || !active.TryGrow(50+testAllowance) {
			t.Fatal("no room")
		}
		time.Sleep(minShedAge)
		other := open(t, b, nil)
		if err := other.Grow(testAllowance + 40); err != nil {
			t.Errorf("Grow: error = %v, want none", err)
		}
		if shed["stalled"] != 1 || shed["active"] != 0 {
			t.Errorf("requests shed = %v, want only the stalled one", shed)
		}
	})
}

// A request that has only begun to arrive is not shed. The account that asks for room waits, and then fails.
func TestGrowSparesYoungRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(1000)
		young, other := open(t, b, func() { t.Error("a young request was shed") }), open(t, b, nil)
		b.SetLimit(2*(testBase+testAllowance) + 10)
		young.Receiving()
		young.TryGrow(testAllowance + 10)
		began := time.Now()
		if err := other.Grow(testAllowance + 1); !errors.Is(err, ErrExhausted) || time.Since(began) != growWait {
			t.Errorf("Grow: error = %v after %v, want ErrExhausted after %v", err, time.Since(began), growWait)
		}
		go func() {
			time.Sleep(growWait / 2)
			young.Reset()
		}()
		if err := other.Grow(testAllowance + 1); err != nil {
			t.Errorf("Grow while another request ends: error = %v, want none", err)
		}
	})
}

// A request that is shed while it waits for room itself ends at once.
func TestGrowReturnsWhenShed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(2*(testBase+testAllowance) + 10)
		first, second := open(t, b, func() {}), open(t, b, func() {})
		first.Receiving()
		first.TryGrow(testAllowance + 10)
		time.Sleep(minShedAge)
		go func() { _ = second.Grow(testAllowance + 1) }()
		synctest.Wait()
		if err := first.Grow(1); !errors.Is(err, ErrShed) || !first.WasShed() {
			t.Errorf("Grow of a shed request: error = %v, want ErrShed", err)
		}
		first.Close()
		time.Sleep(growWait)
	})
}

// Requests may not take what remains for connections.
func TestRequestsLeaveRoomForConnections(t *testing.T) {
	b := New(1000)
	a := open(t, b, nil)
	if a.TryGrow(testAllowance+601) || !a.TryGrow(testAllowance+600) {
		t.Error("a request did not take exactly its share of 0.6")
	}
	for range (1000 - 600 - testBase - testAllowance) / (testBase + testAllowance) {
		open(t, b, nil)
	}
}

// A request that waits for room ends at once when its connection is to be closed.
func TestAbortEndsWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(100)
		a := open(t, b, nil)
		go func() {
			time.Sleep(growWait / 3)
			a.Abort()
		}()
		began := time.Now()
		if err := a.Grow(1000); !errors.Is(err, ErrShed) || time.Since(began) != growWait/3 {
			t.Errorf("Grow: error = %v after %v, want ErrShed after %v", err, time.Since(began), growWait/3)
		}
	})
}

// A request may arrive completely just as it is to be shed or its connection to be closed. It is served then, and the next
// request of the connection grows as any other.
func TestNextRequestGrowsAfterAbort(t *testing.T) {
	b := New(1000)
	a := open(t, b, nil)
	a.Receiving()
	a.Abort()
	a.Received()
	a.Reset()
	if err := a.Grow(testAllowance + 10); err != nil || a.WasShed() {
		t.Errorf("Grow of the next request: error = %v, want none", err)
	}
}

// A lower limit takes effect at once: nothing grows until enough is returned.
func TestLowerLimitHoldsGrowthBack(t *testing.T) {
	b := New(1000)
	a, other := open(t, b, nil), open(t, b, nil)
	a.TryGrow(500)
	b.SetLimit(300)
	if other.TryGrow(testAllowance + 1) {
		t.Error("an account grew over the lowered limit")
	}
	a.Reset()
	if !other.TryGrow(testAllowance + 1) {
		t.Error("an account did not grow after enough was returned")
	}
	a.Force(1000)
	if other.TryGrow(1) {
		t.Error("an account grew beside bytes that were forced over the limit")
	}
}
