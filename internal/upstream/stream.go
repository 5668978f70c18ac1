package upstream

import (
	"errors"
	"io"
	"sync/atomic"

	"linkpass/internal/coordinator"
	"linkpass/internal/outcome"
)

// chunk is how much of a body is read and written at a time.
const chunk = 16 << 10

// stream is one part whose body is being written, by a goroutine of its own: neither the actor
// nor another connection waits for it.
type stream struct {
	attempt coordinator.Attempt
	name    string
	last    atomic.Bool // the write that ends the message has begun
	after   []string    // parts given up meanwhile
}

// how is what an attempt ends of when its connection goes while a body is written. Before
// the last write the server has never had that one whole. What ends the writing says nothing
// of the others that are out on the connection: they may run.
func (s *stream) how(id coordinator.AttemptID, e outcome.Outcome) outcome.Outcome {
	own := e == outcome.Canceled || e == outcome.BodyEvicted || e == outcome.NotSent
	switch {
	case s.attempt.ID != id && own:
		return outcome.ConnClosed
	case s.attempt.ID != id, s.last.Load(), own:
		return e
	}
	return outcome.WriteInterrupted
}

var (
	errOver  = errors.New("peer: the query is over")
	errUnfit = errors.New("peer: the server wants no more work")
	errBody  = errors.New("peer: the body cannot be read")
)

// split takes the parts with bodies kept elsewhere out of a call: each is a message of its own. What
// the dialect words whole joins the others with its text.
func (p *Client) split(c *conn, parts []Part, sent []coordinator.Attempt) ([]Part, []coordinator.Attempt) {
	kept := 0
	for i, a := range sent {
		switch {
		case a.Body == nil:
		case c.dead || c.stream != nil:
			p.call([]coordinator.Attempt{a}) // on another connection
			continue
		default:
			if head := p.dialect.EncodeHeader(parts[i], a.Body.Size()); head != nil {
				p.stream(c, a, parts[i].Name, head)
				continue
			}
			text, err := readWhole(a.Body)
			if err != nil {
				p.endAll([]coordinator.Attempt{a}, outcome.BodyEvicted)
				continue
			}
			parts[i].Payload = text
			p.cfg.Sink.BodySent(a.ID) // its bytes are here now
		}
		parts[kept], sent[kept] = parts[i], a
		kept++
	}
	if c.dead {
		p.endAll(sent[:kept], outcome.WriteInterrupted)
		return nil, nil
	}
	if c.stream != nil && kept > 0 { // these wait for the body's end no more than for another connection
		p.call(append([]coordinator.Attempt(nil), sent[:kept]...))
		return nil, nil
	}
	return parts[:kept], sent[:kept]
}

func readWhole(b coordinator.Body) ([]byte, error) {
	r, err := b.Open()
	if err != nil {
		return nil, err
	}
	defer r.Close()
	return io.ReadAll(r)
}

// stream begins to write a part.
func (p *Client) stream(c *conn, a coordinator.Attempt, name string, head []byte) {
	body, err := a.Body.Open()
	if err != nil {
		p.endAll([]coordinator.Attempt{a}, outcome.BodyEvicted)
		return
	}
	s := &stream{attempt: a, name: name}
	c.stream = s
	c.parts[name] = a.ID
	p.wg.Go(func() {
		err := p.copyBody(c, s, head, body)
		_ = body.Close()
		p.tell(func() { p.streamed(c, s, err) })
	})
}

// copyBody writes head and body. Before each write it looks again at whether the query is open and
// the server wants work; each must end within the time that a connection may take to come up.
func (p *Client) copyBody(c *conn, s *stream, head []byte, body io.Reader) error {
	left := s.attempt.Body.Size()
	buf := append(make([]byte, 0, len(head)+chunk), head...)
	for {
		n := int64(chunk)
		if left < n {
			n = left
		}
		at := len(buf)
		buf = append(buf, make([]byte, n)...)
		if _, err := io.ReadFull(body, buf[at:]); err != nil {
			return errors.Join(errBody, err)
		}
		left -= n
		now := p.cfg.Sink.Now()
		if s.attempt.Expired(now) || s.attempt.Canceled() {
			return errOver
		}
		if !p.fit.Load() || s.attempt.ShardMoved() {
			return errUnfit
		}
		if left == 0 {
			s.last.Store(true)
		}
		disarm := p.cfg.Sink.Arm(now+p.cfg.ConnectTimeout, func() { _ = c.nc.Close() })
		_, err := c.nc.Write(buf)
		disarm()
		if err != nil {
			return err
		}
		if left == 0 {
			return nil
		}
		buf = buf[:0]
	}
}

// streamed books the end of a write. A message that was cut short leaves a connection of no use.
func (p *Client) streamed(c *conn, s *stream, err error) {
	if c.dead {
		return
	}
	switch {
	case err == nil:
		c.stream, c.used = nil, p.cfg.Sink.Now()
		p.cfg.Counters.Add("peer_parts_written", 1)
		p.cfg.Totals.Attempts.Add(1)
		p.cfg.Sink.BodySent(s.attempt.ID)
		for _, name := range s.after {
			if !c.dead {
				p.put(c, p.dialect.EncodeCancel(name))
			}
		}
	case errors.Is(err, errBody):
		p.drop(c, outcome.BodyEvicted)
	case errors.Is(err, errOver), errors.Is(err, errUnfit):
		p.drop(c, outcome.NotSent)
	default:
		p.drop(c, outcome.ConnReset)
	}
}
