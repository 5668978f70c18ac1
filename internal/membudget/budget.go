package membudget

import (
	"errors"
	"sync"
	"time"
)

const (
	// growWait is how long Grow waits for room before it fails.
	growWait = 300 * time.Millisecond
	// requestShare is the share of the limit that requests may hold beyond their allowances. The rest remains for
	// connections, so that large requests do not keep out small ones.
	requestShare = 0.6
	// minShedAge is how long a request must have been arriving before it may be shed.
	minShedAge = 500 * time.Millisecond
)

// ErrExhausted is the error of Grow if the budget has had no room for growWait.
var ErrExhausted = errors.New("membudget: the budget for clients is exhausted")

// ErrShed is the error of Grow if the account's own request was shed.
var ErrShed = errors.New("membudget: the request was shed to make room for others")

// Budget is a number of bytes that all accounts together may hold. Its methods are safe for concurrent use.
type Budget struct {
	mu        sync.Mutex
	limit     int64
	used      int64 // may exceed limit after SetLimit and Force
	shared    int64 // of used: what requests hold beyond their allowances
	receiving map[*Account]bool
	freed     chan struct{} // closed, and replaced, when bytes are returned
}

// New returns a budget of limit bytes.
func New(limit int64) *Budget {
	return &Budget{limit: limit, receiving: map[*Account]bool{}, freed: make(chan struct{})}
}

// SetLimit changes the limit to a number of bytes. If more are held at present, no account grows until enough of them
// are returned.
func (b *Budget) SetLimit(limit int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = limit
	b.notifyFreed()
}

// Used returns the number of bytes that the accounts hold, and the limit.
func (b *Budget) Used() (used, limit int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used, b.limit
}

// Account is what one connection holds of a budget. Its methods are safe for concurrent use. The methods of a nil account
// do nothing and succeed.
type Account struct {
	budget    *Budget
	base      int64
	allowance int64
	shed      func()

	// Guarded by the budget's mu.
	held     int64     // beyond base and allowance
	spare    int64     // of the allowance that is left
	since    time.Time // when the request began to arrive that is incomplete
	shedding bool
	aborted  bool // Grow fails at once
	closed   bool
}

// Open returns the account of a new connection. It holds base and allowance bytes until Close; the request may use the
// allowance. shed is called, on another account's goroutine, when the account's incomplete request is to end; it must
// not block. Open returns false if the budget has no room.
func (b *Budget) Open(base, allowance int64, shed func()) (account *Account, ok bool) {
	if b == nil {
		return nil, true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.used+base+allowance > b.limit {
		return nil, false
	}
	b.used += base + allowance
	return &Account{budget: b, base: base, allowance: allowance, spare: allowance, shed: shed}, true
}

// Receiving says that a request has begun to arrive. From now on it may be shed.
func (a *Account) Receiving() {
	if a == nil {
		return
	}
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	a.since = time.Now()
	b.receiving[a] = true
}

// Received says that the request has arrived completely, and can no longer be shed.
func (a *Account) Received() {
	if a == nil {
		return
	}
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.receiving, a)
}

// WasShed reports whether the account's request was shed.
func (a *Account) WasShed() bool {
	if a == nil {
		return false
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	return a.shedding
}

// TryGrow adds n bytes to the account. It returns false, and adds nothing, if the budget has no room.
func (a *Account) TryGrow(n int64) bool {
	if a == nil {
		return true
	}
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	return a.tryGrow(n)
}

// tryGrow is TryGrow with the budget's mu held.
func (a *Account) tryGrow(n int64) bool {
	b, shared := a.budget, max(0, n-a.spare)
	exhausted := b.used+shared > b.limit || b.shared+shared > int64(requestShare*float64(b.limit))
	if shared > 0 && exhausted {
		return false
	}
	a.spare -= n - shared
	a.hold(shared)
	return true
}

// hold adds n bytes beyond the allowance, which may be negative. The budget's mu is held.
func (a *Account) hold(n int64) {
	a.held += n
	a.budget.used += n
	a.budget.shared += n
}

// Grow adds n bytes to the account. If the budget has no room it waits for some, at most growWait, and sheds the
// requests of other accounts meanwhile. Its error is ErrExhausted or ErrShed.
func (a *Account) Grow(n int64) error {
	if a == nil {
		return nil
	}
	deadline := time.NewTimer(growWait)
	defer deadline.Stop()
	for {
		freed, victim, err := a.growOrWait(n)
		if freed == nil {
			return err
		}
		if victim != nil {
			victim.shed()
		}
		select {
		case <-freed:
		case <-deadline.C:
			return ErrExhausted
		}
	}
}

// growOrWait adds n bytes to the account and returns a nil channel, or returns the channel that is closed once there may
// be room, and the account whose request is to be shed meanwhile, if there is one.
func (a *Account) growOrWait(n int64) (freed <-chan struct{}, victim *Account, err error) {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.shedding || a.aborted {
		return nil, nil, ErrShed
	}
	if a.tryGrow(n) {
		return nil, nil, nil
	}
	return b.freed, b.chooseVictim(a), nil
}

// chooseVictim returns the account whose request has arrived at the lowest rate for the shared bytes that it holds, and
// marks it as shed. It returns nil while an earlier victim has yet to return its bytes, and if no request is old enough.
// mu is held.
func (b *Budget) chooseVictim(except *Account) (victim *Account) {
	now, lowest := time.Now(), 0.0
	for a := range b.receiving {
		if a.shedding && a.held > 0 {
			return nil
		}
		age := now.Sub(a.since)
		if a == except || a.shedding || a.held == 0 || age < minShedAge {
			continue
		}
		if rate := float64(a.held) / age.Seconds(); victim == nil || rate < lowest {
			victim, lowest = a, rate
		}
	}
	if victim != nil {
		victim.shedding = true
	}
	return victim
}

// Abort ends a wait in Grow, and all later ones until Reset: the connection is about to be closed. The error of Grow is
// ErrShed.
func (a *Account) Abort() {
	if a == nil {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.aborted = true
	a.budget.notifyFreed()
}

// Force adds n bytes to the account, also if the budget has no room for them.
func (a *Account) Force(n int64) {
	if a == nil {
		return
	}
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	a.hold(n)
}

// Reset returns all bytes of the request to the budget; the connection's own remain. The next request may grow again.
func (a *Account) Reset() {
	if a == nil {
		return
	}
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	a.reset()
}

// reset is Reset with the budget's mu held.
func (a *Account) reset() {
	b := a.budget
	delete(b.receiving, a)
	if a.held > 0 {
		b.notifyFreed()
	}
	a.hold(-a.held)
	a.spare = a.allowance
	a.shedding, a.aborted = false, false
}

// Close returns all bytes of the account to the budget. Further calls have no effect.
func (a *Account) Close() {
	if a == nil {
		return
	}
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.closed {
		return
	}
	a.closed = true
	a.reset()
	b.used -= a.base + a.allowance
	b.notifyFreed()
}

// notifyFreed wakes the accounts that wait in Grow. mu is held.
func (b *Budget) notifyFreed() {
	close(b.freed)
	b.freed = make(chan struct{})
}
