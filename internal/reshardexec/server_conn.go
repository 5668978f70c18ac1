package reshardexec

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/textproto"
	"strconv"
	"time"

	"linkpass/internal/http1"
)

// maxResponseBytes bounds the size of a response. The status of 100,000 shards fits.
const maxResponseBytes = 16 << 20

// headerPollName names a poll. A server that repeats it in its response, as OpenSearch does, lets the response be told
// from a second copy of an earlier one.
const headerPollName = "X-Opaque-Id"

// errForeignResponse is the error of a response to another poll.
var errForeignResponse = errors.New("the response names another poll")

// serverConn is a connection to a server. It is reused between polls if the server repeats their names. It is not safe for
// concurrent use.
type serverConn struct {
	addr    string
	netConn net.Conn
	reader  *http1.Reader
	polls   uint64 // number of polls so far, which names them
	named   bool   // the last response repeated the name of its poll
}

// dialServer connects to a server.
func dialServer(ctx context.Context, addr string, timeout time.Duration) (*serverConn, error) {
	dialer := net.Dialer{Timeout: timeout}
	netConn, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("poll %s: %w", addr, err)
	}
	return &serverConn{addr: addr, netConn: netConn, reader: http1.NewReader(netConn, maxResponseBytes)}, nil
}

// exchange sends one request and reads its response. After an error the connection cannot be reused.
func (c *serverConn) exchange(body []byte, timeout time.Duration) (AssignmentResponse, error) {
	response, err := c.roundTrip(body, timeout)
	if err != nil {
		return response, fmt.Errorf("poll %s: PUT %s: %w", c.addr, AssignmentsPath, err)
	}
	return response, nil
}

func (c *serverConn) roundTrip(body []byte, timeout time.Duration) (response AssignmentResponse, err error) {
	// A deadline on the connection itself keeps these background requests out of the timers of the queries.
	if err := c.netConn.SetDeadline(time.Now().Add(timeout)); err != nil {
		return response, err
	}
	c.polls++
	name := strconv.FormatUint(c.polls, 10)
	header := textproto.MIMEHeader{headerPollName: {name}}
	if err := http1.WriteRequest(c.netConn, "PUT", AssignmentsPath, "league-server", header, body); err != nil {
		return response, err
	}
	res, err := c.reader.Response()
	if err != nil {
		return response, err
	}
	repeated := res.Header.Get(headerPollName)
	c.named = repeated == name
	if repeated != "" && !c.named {
		return response, fmt.Errorf("%w: %.40q in place of %s", errForeignResponse, repeated, name)
	}
	if res.Status == StatusStaleOrder {
		var refusal AssignmentRefusal
		if err := json.Unmarshal(res.Body, &refusal); err != nil {
			return response, err
		}
		return response, &StaleOrderError{Accepted: refusal.Accepted}
	}
	if res.Status != 200 {
		return response, fmt.Errorf("unexpected status %d", res.Status)
	}
	err = json.Unmarshal(res.Body, &response)
	return response, err
}

// close closes the connection. On a nil connection it does nothing.
func (c *serverConn) close() {
	if c != nil {
		_ = c.netConn.Close()
	}
}
