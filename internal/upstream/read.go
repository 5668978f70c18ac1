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
	if c.limits.Exclusive {
		m.identifyReply(conn)
	}
	c.handleReply(conn, &m, at)
	idleOverLimit := c.config.ConnLimiter.exceeded() && len(conn.inFlight)+len(conn.healthChecks)+conn.reserved == 0
	if m.ConnCloses || idleOverLimit {
		c.drop(conn, outcome.ConnClosed)
	}
}

// identifyReply marks the message as the reply to the part or health check in flight. It is for exclusive connections:
// their messages carry no name, and only one part or health check is in flight.
func (m *Message) identifyReply(conn *connection) {
	m.HealthCheck = m.HealthCheck || len(conn.healthChecks) > 0
	for name := range conn.inFlight {
		m.Name = name
	}
}

// handleReply reports the result of the health check or attempt that a message is the reply to. It counts a late reply,
// and closes the connection if the message is not a reply to anything that was sent.
func (c *Client) handleReply(conn *connection, m *Message, at time.Duration) {
	id, inFlight := conn.inFlight[m.Name]
	switch {
	case m.HealthCheck && len(conn.healthChecks) > 0:
		number := conn.healthChecks[0]
		conn.healthChecks = conn.healthChecks[1:]
		c.config.Sink.HealthCheckEnded(number, m.result(at))
	case !m.HealthCheck && inFlight:
		conn.recordEnded(m.Name)
		c.config.Sink.AttemptEnded(id, m.result(at))
	case m.HealthCheck || c.limits.Exclusive || !slices.Contains(conn.endedNames, m.Name):
		// A reply with a name that was never sent is a corrupted reply to one of the parts in flight. Closing the
		// connection ends them.
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
