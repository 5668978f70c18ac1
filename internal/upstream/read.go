package upstream

import (
	"errors"
	"io"
	"net"
	"slices"
	"time"

	"linkpass/internal/coordinator"
	"linkpass/internal/eventlog"
	"linkpass/internal/outcome"
)

// readMessages reads messages from a connection and posts them to the event loop, until the connection is closed or a
// message cannot be read. It runs on its own goroutine.
func (c *Client) readMessages(conn *connection) {
	r := c.codec.NewReader(conn.netConn)
	for {
		event, err := c.readMessage(conn, r)
		c.postConnEvent(event)
		if err != nil {
			return
		}
	}
}

// readMessage reads a message. If it returns an error, the event is connEnded.
func (c *Client) readMessage(conn *connection, r Reader) (event, error) {
	err := r.Wait()
	at := c.config.Sink.Now()
	if err != nil {
		return connEnded{conn, outcome.FromReadError(err, errors.Is(err, io.EOF))}, err
	}
	m, o, err := r.Next()
	if err == nil {
		return messageRead{conn, m, at}, nil
	}
	if !errors.Is(err, net.ErrClosed) { // not closed by this client
		c.config.Counters.Add("upstream_messages_malformed", 1)
		c.log.Log(eventlog.MessageMalformed, c.server, o, err)
	}
	return connEnded{conn, o}, err
}

// handleMessage handles a message: it ends the attempt or the health check that the message is the reply to.
func (c *Client) handleMessage(conn *connection, m Message, at time.Duration) {
	if conn.closed {
		return
	}
	conn.checkPending = false
	c.dropUnresponsive(conn, at)
	identified := !c.limits.Exclusive || m.Name != "" || m.HealthCheck
	if !identified {
		m.assumeReply(conn)
	}
	c.handleReply(conn, &m, at)
	if !identified {
		c.replace(conn)
	}
	idleOverLimit := c.config.ConnLimiter.exceeded() && len(conn.inFlight)+len(conn.healthChecks)+conn.reserved == 0
	if m.ConnCloses || idleOverLimit {
		c.drop(conn, outcome.ConnClosed)
	}
}

// assumeReply marks a message that does not tell what it replies to as the reply to the health check in flight, or to the
// part in flight if no other part was ever written to the connection. Otherwise it may be a second copy of an earlier
// reply, and is not marked. It is for exclusive connections, which have one part or health check in flight.
func (m *Message) assumeReply(conn *connection) {
	m.HealthCheck = len(conn.healthChecks) > 0
	if len(conn.endedNames) > 0 {
		return
	}
	for name := range conn.inFlight {
		m.Name = name
	}
}

// replace closes a connection on which a reply was assumed: whatever is read next on it could be a second copy of that
// reply. It dials another connection in its place, so that the next request does not wait for a dial.
func (c *Client) replace(conn *connection) {
	if conn.closed {
		return
	}
	c.config.Counters.Add("upstream_conns_not_reused", 1)
	c.drop(conn, outcome.ConnClosed)
	if !c.draining && c.acceptsWork.Load() {
		c.pickConnection(1, nil)
	}
}

// handleReply reports the result of the health check or attempt that a message is the reply to. It counts a late reply,
// and closes the connection if the message is not a reply to anything that was sent.
func (c *Client) handleReply(conn *connection, m *Message, at time.Duration) {
	id, inFlight := conn.inFlight[m.Name]
	switch {
	case isCheckName(m.Name) && !conn.awaitsCheck(m.Name):
		c.config.Counters.Add("upstream_answers_late", 1)
	case (m.HealthCheck || isCheckName(m.Name)) && len(conn.healthChecks) > 0:
		number := conn.healthChecks[0]
		conn.healthChecks = conn.healthChecks[1:]
		c.config.Sink.HealthCheckEnded(number, m.result(at))
	case !m.HealthCheck && inFlight:
		conn.recordEnded(m.Name)
		c.config.Sink.AttemptEnded(id, m.result(at))
	case m.HealthCheck || !slices.Contains(conn.endedNames, m.Name):
		// A reply without a name, or with one that was never sent, is a corrupted reply to one of the parts in flight.
		// Closing the connection ends them.
		c.config.Counters.Add("upstream_messages_malformed", 1)
		c.log.Log(eventlog.MessageMalformed, c.server, outcome.MalformedResponse,
			"reply does not match any part or health check in flight")
		c.drop(conn, outcome.MalformedResponse)
	default:
		c.config.Counters.Add("upstream_answers_late", 1)
	}
}

func (m *Message) result(at time.Duration) coordinator.Result {
	return coordinator.Result{
		Outcome:         m.Outcome,
		LoadReport:      m.LoadReport,
		Value:           m.Value,
		Score:           m.Score,
		Hits:            m.Hits,
		At:              at,
		ShardMapVersion: m.ShardMapVersion,
		Covers:          m.Covers,
	}
}
