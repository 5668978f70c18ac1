package http1

import (
	"errors"
	"io"
	"net"
	"syscall"
	"time"

	"linkpass/internal/fairqueue"
	"linkpass/internal/membudget"
)

const (
	minReadAheadBytes = 2 << 10              // capacity of the buffer when its first bytes are read; part of connBytes
	readAheadCost     = 5 * time.Microsecond // of one read while a request is served
)

// The state of a connection is the first byte of what TCP_INFO returns.
const (
	tcpStateMask = 0xff
	tcpClose     = 7 // reset
	tcpCloseWait = 8 // the client has closed its side
)

// errOverrun says that a client has sent more behind its request than is read ahead.
var errOverrun = errors.New("http1: the client has sent too much behind its request")

// readAhead reads from a connection. While a request is served, fill buffers up to maxReadAheadBytes of what follows:
// a disconnect is only detected after all bytes sent before it have been read. A readAhead must be used by one
// goroutine at a time.
type readAhead struct {
	net.Conn
	flow     *fairqueue.Flow
	account  *membudget.Account
	buffered []byte // bytes that were read from the connection and that Read has not yet returned
	held     int64  // capacity of buffered beyond minReadAheadBytes, which the account has paid for

	now func() time.Duration
	// presentAt is when the client was last known not to have closed the connection: when all that had arrived was read,
	// or when more arrived after that.
	presentAt time.Duration
	overrun   bool // the buffer was full, and the connection has not been read to its end since
}

// mayBePresent reports whether the client of an overrun connection was there so shortly ago that a request may be passed
// on for it.
func (a *readAhead) mayBePresent() bool { return a.now() < a.presentAt+presenceLimit }

// fill reads into the buffer until the connection returns an error, which it returns, or until the buffer is full; it
// returns errOverrun then.
func (a *readAhead) fill() error {
	for {
		if err := a.grow(); err != nil {
			return err
		}
		n, err := a.Conn.Read(a.buffered[len(a.buffered):cap(a.buffered)])
		if n > 0 {
			a.flow.Pass()
		}
		a.buffered = a.buffered[:len(a.buffered)+n]
		if err != nil {
			return err
		}
		if !a.overrun {
			a.presentAt = a.now()
		}
	}
}

// drain reads what has arrived into the buffer, without waiting for more. It returns nil if the client may still be
// there, errOverrun if the buffer is full, and otherwise the error of the connection, which is io.EOF if the client has
// closed it.
func (a *readAhead) drain() error {
	raw, ok := a.Conn.(syscall.Conn)
	if !ok {
		return nil
	}
	rc, err := raw.SyscallConn()
	if err != nil {
		return err
	}
	for {
		if err := a.grow(); err != nil {
			return err
		}
		more, err := a.readAvailable(rc)
		if err != nil {
			return err
		}
		if !more {
			a.overrun, a.presentAt = false, a.now()
			return nil
		}
	}
}

// hasClosed reports whether the client is known to have closed the connection, even if bytes that it sent before have
// not been read yet. It is false if the system does not tell.
func (a *readAhead) hasClosed() (closed bool) {
	raw, ok := a.Conn.(*net.TCPConn)
	if !ok {
		return false
	}
	rc, err := raw.SyscallConn()
	if err != nil {
		return true
	}
	_ = rc.Control(func(fd uintptr) {
		info, err := syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_INFO)
		state := info & tcpStateMask
		closed = err == nil && (state == tcpCloseWait || state == tcpClose)
	})
	return closed
}

// readAvailable reads once, and reports whether there may be more.
func (a *readAhead) readAvailable(rc syscall.RawConn) (more bool, err error) {
	var n int
	var readErr error
	ctlErr := rc.Read(func(fd uintptr) bool {
		n, readErr = syscall.Read(int(fd), a.buffered[len(a.buffered):cap(a.buffered)])
		return true
	})
	switch {
	case ctlErr != nil:
		return false, nil // a deadline has passed, or the connection was closed here
	case errors.Is(readErr, syscall.EINTR):
		return true, nil
	case errors.Is(readErr, syscall.EAGAIN):
		return false, nil
	case readErr != nil:
		return false, readErr
	case n == 0:
		return false, io.EOF
	}
	a.flow.Charge(readAheadCost)
	a.buffered = a.buffered[:len(a.buffered)+n]
	return true, nil
}

// grow makes room in the buffer for at least one byte. It returns errOverrun if the buffer is full, or if there is no
// memory for more.
func (a *readAhead) grow() error {
	if len(a.buffered) < cap(a.buffered) {
		return nil
	}
	size := min(max(minReadAheadBytes, 2*len(a.buffered)), maxReadAheadBytes)
	extra := int64(size - minReadAheadBytes)
	if len(a.buffered) >= maxReadAheadBytes || extra > a.held && !a.account.TryGrow(extra-a.held) {
		a.overrun = true
		return errOverrun
	}
	a.held = max(a.held, extra)
	a.buffered = append(make([]byte, 0, size), a.buffered...)
	return nil
}

// hold makes the account pay for the buffer again, after it was reset.
func (a *readAhead) hold() {
	if a.held > 0 {
		a.account.Force(a.held)
	}
}

// Read returns the buffered bytes first, and then reads from the connection; the connection pays for that in its next
// turn. Errors are those of the connection.
func (a *readAhead) Read(p []byte) (int, error) {
	if len(a.buffered) == 0 {
		n, err := a.Conn.Read(p)
		if n > 0 {
			a.flow.Pass()
		}
		return n, err
	}
	n := copy(p, a.buffered)
	if a.buffered = a.buffered[n:]; len(a.buffered) == 0 {
		a.buffered, a.held = nil, 0
	}
	return n, nil
}
