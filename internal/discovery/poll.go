package discovery

import (
	"context"
	"fmt"
	"net"
	"time"

	"linkpass/internal/http1"
)

const (
	maxListBytes = 1 << 20 // limit of a response's body
	statusOK     = 200

	// noVersion means that no list has been applied. It is not 0, because that is a real version: a watcher at
	// version 0 would request the complete list, which is answered at once, again and again.
	noVersion = -1
)

// listRequest is a request for the changes since a version, or for the complete list.
type listRequest struct {
	version int64         // noVersion requests the complete list
	wait    time.Duration // how long discovery may hold the call
	slack   time.Duration // how long after wait the call times out
}

// callResult is the outcome of one call.
type callResult struct {
	conn *discoveryConn // for reuse by the next call; nil if that has to connect
	body []byte
	err  error
}

// discoveryConn is a connection to discovery. The call in flight owns it, and the watcher owns it between calls.
type discoveryConn struct {
	net.Conn
	reader *http1.Reader
}

// call makes one call, on conn or, if that is nil, on a new connection. A connection that can't be used for another
// call is closed and not returned.
func (w *Watcher) call(ctx context.Context, conn *discoveryConn, request listRequest) callResult {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if conn == nil {
		var err error
		if conn, err = w.dial(ctx, cancel); err != nil {
			return callResult{err: fmt.Errorf("connect: %w", err)}
		}
	}
	closeOnCancel := context.AfterFunc(ctx, func() { _ = conn.Close() })
	disarm := w.Core.Arm(w.Core.Now()+request.wait+request.slack, cancel)
	response, err := conn.roundTrip(w.Addr, request)
	disarm()
	reusable := closeOnCancel() && err == nil && response.Status == statusOK && !response.Close
	if !reusable {
		_ = conn.Close()
	}
	if err == nil && response.Status != statusOK {
		err = statusError(response.Status)
	}
	if err != nil {
		return callResult{err: fmt.Errorf("watch: %w", err)}
	}
	if !reusable {
		return callResult{body: response.Body}
	}
	return callResult{conn: conn, body: response.Body}
}

// dial connects to discovery. When Timeouts.dial has passed it calls cancel, which ends ctx and so the attempt.
func (w *Watcher) dial(ctx context.Context, cancel context.CancelFunc) (*discoveryConn, error) {
	disarm := w.Core.Arm(w.Core.Now()+w.Timeouts.dial, cancel)
	defer disarm()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", w.Addr)
	if err != nil {
		return nil, err
	}
	return &discoveryConn{conn, http1.NewReader(conn, maxListBytes)}, nil
}

// roundTrip sends a request and reads its response.
func (c *discoveryConn) roundTrip(host string, request listRequest) (*http1.Response, error) {
	if err := http1.WriteRequest(c, "GET", request.target(), host, nil, nil); err != nil {
		return nil, err
	}
	return c.reader.Response()
}
