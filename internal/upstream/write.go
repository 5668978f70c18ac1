package upstream

import (
	"net"
	"strconv"
	"time"

	"linkpass/internal/coordinator"
	"linkpass/internal/outcome"
)

// sendAttempts sends attempts in one request, or in one request each if a connection carries only one at a time.
func (c *Client) sendAttempts(attempts []coordinator.Attempt) {
	if !c.limits.Exclusive {
		c.sendRequest(attempts)
		return
	}
	for i := range attempts {
		c.sendRequest(attempts[i : i+1])
	}
}

func (c *Client) sendRequest(attempts []coordinator.Attempt) { c.startTask(requestTask{attempts}) }

func (c *Client) endAttempts(attempts []coordinator.Attempt, o outcome.Outcome) {
	for _, a := range attempts {
		c.config.Sink.AttemptEnded(a.ID, coordinator.Result{Outcome: o, At: c.config.Sink.Now()})
	}
}

// request is the result of checkAttempts: the parts to write, and the attempts that must not be written.
type request struct {
	parts    []Part
	attempts []coordinator.Attempt // of the parts, in the same order

	// Attempts that must not be written, by the outcome with which they end.
	notSent         []coordinator.Attempt
	shardMoved      []coordinator.Attempt
	unknownCoverage []coordinator.Attempt
}

// writeRequest writes the attempts that may still be written, and reports the results of the others.
func (c *Client) writeRequest(conn *connection, attempts []coordinator.Attempt) {
	r := c.checkAttempts(conn, attempts)
	parts, sent := c.extractBodies(conn, r.parts, r.attempts)
	c.endAttempts(r.notSent, outcome.NotSent)
	c.endAttempts(r.shardMoved, outcome.ShardMoved)
	c.endAttempts(r.unknownCoverage, outcome.UnknownCoverage)
	if len(parts) == 0 {
		return
	}
	if !c.write(conn, c.codec.EncodeRequest(parts)) {
		c.endAttempts(sent, outcome.WriteInterrupted)
		return
	}
	c.config.Counters.Add("upstream_parts_sent", int64(len(parts)))
	c.config.Totals.Attempts.Add(int64(len(parts)))
	for i, a := range sent {
		conn.inFlight[parts[i].Name] = a.ID
	}
}

// checkAttempts checks each attempt again just before the write. Since the routing decision, the query may have ended,
// the server may have begun to drain, and the shard may have moved.
func (c *Client) checkAttempts(conn *connection, attempts []coordinator.Attempt) request {
	now := c.config.Sink.Now()
	var r request
	for _, a := range attempts {
		name := partName(a)
		_, duplicate := conn.inFlight[name] // another open query has the same name: the replies would be ambiguous
		switch {
		case a.Expired(now) || !c.acceptsWork.Load() || a.Canceled() || duplicate:
			r.notSent = append(r.notSent, a)
		case a.ShardMoved():
			r.shardMoved = append(r.shardMoved, a)
		case a.Request != nil && a.Request.Subrange && !c.limits.Subranges: // the reply would cover too many keys
			r.unknownCoverage = append(r.unknownCoverage, a)
		default:
			r.parts = append(r.parts, newPart(name, a, now))
			r.attempts = append(r.attempts, a)
		}
	}
	return r
}

// partName returns the name of an attempt's part.
func partName(a coordinator.Attempt) string { return a.Query + "." + strconv.Itoa(a.Shard) }

func newPart(name string, a coordinator.Attempt, now time.Duration) Part {
	return Part{
		Name:       name,
		Collection: a.Collection,
		Shard:      a.Shard,
		Payload:    a.Payload,
		Timeout:    a.Deadline - now,
		Request:    a.Request,
	}
}

// write writes a message; only the event loop calls it. If the write fails, it drops the connection and returns false.
func (c *Client) write(conn *connection, b []byte) bool {
	if err := c.writeWithTimeout(conn.netConn, c.config.Sink.Now(), b); err != nil {
		c.drop(conn, outcome.ConnReset)
		return false
	}
	conn.lastUsed = c.config.Sink.Now()
	return true
}

// writeWithTimeout writes b, and closes the connection if the write takes longer than ConnectTimeout, counted from now.
func (c *Client) writeWithTimeout(netConn net.Conn, now time.Duration, b []byte) error {
	disarm := c.config.Sink.Arm(now+c.config.ConnectTimeout, func() { _ = netConn.Close() })
	defer disarm()
	_, err := netConn.Write(b)
	return err
}
