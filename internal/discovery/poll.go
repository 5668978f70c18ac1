package discovery

import (
	"context"
	"fmt"
	"net"
	"time"

	"linkpass/internal/http1"
)

const (
	maxListBytes = 1 << 20
	statusOK     = 200

	// noVersion stands for no list. Guards against 0 in its place, which is a real version: the complete list would be
	// requested, and answered at once, again and again.
	noVersion = -1
)

// listRequest is a call for the changes since a version, or for the complete list.
type listRequest struct {
	version int64         // noVersion: the complete list
	wait    time.Duration // how long discovery may hold the call
	slack   time.Duration // how much later than that the answer may come
}

// callResult is how one call ended.
type callResult struct {
	conn *discoveryConn // for the next call; nil: it has to connect
	body []byte
	err  error
}

// discoveryConn is a connection to discovery. It belongs to the call in flight, or to the watcher between calls.
type discoveryConn struct {
	net.Conn
	reader *http1.Reader
}

// call makes one call, on conn or on a new connection. A connection that can't carry another call is closed and not
// returned.
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

// dial connects to discovery; cancel ends ctx when the time limit has passed.
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
