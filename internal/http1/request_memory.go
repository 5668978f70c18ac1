package http1

import (
	"errors"

	"linkpass/internal/membudget"
)

// Memory of a connection, in bytes.
const (
	connBytes        = 12 << 10 // of the connection itself: its goroutines' stacks, its buffers and its timers
	requestAllowance = 4 << 10  // of each request, which is always available
	minBodyCapacity  = 1 << 10  // of the buffer of a body when its first bytes are read
	maxBodyGrowth    = 8 << 10  // of that buffer at a time, so that little of it is unused
	largeBody        = 64 << 10 // from which on the buffer doubles, so that it is not copied too often
)

// memoryRetryAfter is the Retry-After, in seconds, of a request that was rejected for lack of memory.
const memoryRetryAfter = "1"

// reserve adds n bytes to the account of the connection that the Reader reads from. It waits for room if there is none,
// and returns an *Error with status 503 if that takes too long.
func (r *Reader) reserve(n int64) error {
	err := r.account.Grow(n)
	if err == nil {
		return nil
	}
	return shedError(errors.Is(err, membudget.ErrShed))
}

// shedError is the error of a request for which there is no memory, or that was shed to make room for others.
func shedError(shed bool) error {
	reason := "no memory for the request"
	if shed {
		reason = "the request was ended to make room for others"
	}
	return &Error{Status: statusServiceUnavailable, Reason: reason, RetryAfter: memoryRetryAfter}
}

// growBody returns body with capacity for at least one more byte, if n more are to be read. The capacity grows with what
// has arrived and not with what is announced.
func (r *Reader) growBody(body []byte, n int64) ([]byte, error) {
	if len(body) < cap(body) {
		return body, nil
	}
	growth := max(minBodyCapacity, cap(body))
	if cap(body) < largeBody {
		growth = min(growth, maxBodyGrowth)
	}
	size := int64(cap(body)) + min(int64(growth), n)
	if err := r.reserve(size - int64(cap(body))); err != nil {
		return nil, err
	}
	return append(make([]byte, 0, size), body...), nil
}
