package upstream

import (
	"errors"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"linkpass/internal/coordinator"
	"linkpass/internal/outcome"
)

// bodyChunkSize is the number of bytes of a body that are read and written at a time.
const bodyChunkSize = 16 << 10

// Reasons other than a connection error for which a body was not written completely.
var (
	// errQueryEnded is returned if the attempt or its query has ended, or if the deadline or the idempotency window of
	// the attempt has passed.
	errQueryEnded = errors.New("the query has ended")
	// errWorkDeclined is returned if the server has begun to drain, or no longer has the shard of the part.
	errWorkDeclined   = errors.New("the server accepts no more work")
	errBodyUnreadable = errors.New("the body cannot be read")
)

// bodyWrite is the write of one part whose body is in the body store. A separate goroutine writes it, so that neither
// the event loop nor another connection waits for it. The goroutine sets lastChunk and reads attempt and name, which
// do not change; only the event loop uses cancelAfter.
type bodyWrite struct {
	attempt     coordinator.Attempt
	name        string      // of the part
	lastChunk   atomic.Bool // set just before the last chunk is written
	cancelAfter []string    // names of other parts on the connection, to cancel once this message is complete
}

// outcomeOf returns the outcome of an attempt that was in flight on the connection when it was closed with outcome o
// during this write. Before the last chunk is written, the server cannot have run the part that the body belongs to.
// The other parts in flight may have run, whatever ended the write.
func (b *bodyWrite) outcomeOf(id coordinator.AttemptID, o outcome.Outcome) outcome.Outcome {
	isOutcomeOfBody := o == outcome.Canceled || o == outcome.BodyEvicted || o == outcome.NotSent
	switch {
	case b.attempt.ID != id && isOutcomeOfBody:
		return outcome.ConnClosed
	case b.attempt.ID != id, b.lastChunk.Load(), isOutcomeOfBody:
		return o
	}
	return outcome.WriteInterrupted
}

// startBodyWrite starts a goroutine that writes the message of a part: header, then the body.
func (c *Client) startBodyWrite(conn *connection, a coordinator.Attempt, name string, header []byte) {
	body, err := a.Body.Open()
	if err != nil {
		c.endAttempts([]coordinator.Attempt{a}, outcome.BodyEvicted)
		return
	}
	b := &bodyWrite{attempt: a, name: name}
	conn.body = b
	conn.inFlight[name] = a.ID
	c.goroutines.Go(func() {
		err := c.copyBody(conn, b, header, body)
		_ = body.Close()
		c.postConnEvent(bodyWritten{conn, b, err})
	})
}

// copyBody writes header and body in chunks. A slow server does not fail the write as long as each chunk is written
// within ConnectTimeout.
func (c *Client) copyBody(conn *connection, b *bodyWrite, header []byte, body io.Reader) error {
	remaining := b.attempt.Body.Size()
	buf := append(make([]byte, 0, len(header)+bodyChunkSize), header...)
	for {
		size := min(remaining, bodyChunkSize)
		start := len(buf)
		buf = append(buf, make([]byte, size)...)
		if _, err := io.ReadFull(body, buf[start:]); err != nil {
			return fmt.Errorf("%w: part %s: %w", errBodyUnreadable, b.name, err)
		}
		remaining -= size
		now := c.config.Sink.Now()
		if err := c.checkBodyWrite(b, now); err != nil {
			return fmt.Errorf("write part %s: %w", b.name, err)
		}
		if remaining == 0 {
			b.lastChunk.Store(true)
		}
		if err := c.writeWithTimeout(conn.netConn, now, buf); err != nil {
			return fmt.Errorf("write part %s: %w", b.name, err)
		}
		if remaining == 0 {
			return nil
		}
		buf = buf[:0]
	}
}

// checkBodyWrite is called before each chunk. It returns errQueryEnded or errWorkDeclined if no more of the body may be
// written.
func (c *Client) checkBodyWrite(b *bodyWrite, now time.Duration) error {
	if b.attempt.Expired(now) || b.attempt.Canceled() {
		return errQueryEnded
	}
	if !c.acceptsWork.Load() || b.attempt.ShardMoved() {
		return errWorkDeclined
	}
	return nil
}

// handleBodyWritten handles the end of a body write. After an error the message is truncated, so the connection is
// dropped.
func (c *Client) handleBodyWritten(conn *connection, b *bodyWrite, err error) {
	if conn.closed {
		return
	}
	switch {
	case err == nil:
		c.bodyCompleted(conn, b)
	case errors.Is(err, errBodyUnreadable):
		c.drop(conn, outcome.BodyEvicted)
	case errors.Is(err, errQueryEnded), errors.Is(err, errWorkDeclined):
		c.drop(conn, outcome.NotSent)
	default:
		c.drop(conn, outcome.ConnReset)
	}
}

func (c *Client) bodyCompleted(conn *connection, b *bodyWrite) {
	conn.body, conn.lastUsed = nil, c.config.Sink.Now()
	c.config.Counters.Add("upstream_parts_sent", 1)
	c.config.Totals.Attempts.Add(1)
	c.config.Sink.BodySent(b.attempt.ID)
	for _, name := range b.cancelAfter {
		if !conn.closed {
			c.write(conn, c.codec.EncodeCancel(name))
		}
	}
}
