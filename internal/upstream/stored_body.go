package upstream

import (
	"io"

	"linkpass/internal/coordinator"
	"linkpass/internal/outcome"
)

// extractBodies removes the parts whose body is in the body store from a request, because each of them is sent as a
// separate message. If the protocol cannot stream a body, the body is read into the part's payload instead, and the
// part stays in the request. extractBodies returns the remaining parts with their attempts, in the slices that were
// passed.
func (c *Client) extractBodies(
	conn *connection, parts []Part, attempts []coordinator.Attempt,
) ([]Part, []coordinator.Attempt) {
	kept := 0
	for i, a := range attempts {
		if a.Body != nil && !c.sendOrLoadBody(conn, &parts[i], a) {
			continue
		}
		parts[kept], attempts[kept] = parts[i], a
		kept++
	}
	if conn.closed {
		c.endAttempts(attempts[:kept], outcome.WriteInterrupted)
		return nil, nil
	}
	if conn.body != nil && kept > 0 { // a body is being written: send the others on another connection
		c.sendRequest(append([]coordinator.Attempt(nil), attempts[:kept]...))
		return nil, nil
	}
	return parts[:kept], attempts[:kept]
}

// sendOrLoadBody reads the body of a part into its payload and returns true if the protocol cannot stream a body. It
// returns false if the part no longer belongs to this request: its body is streamed, the part is sent on another
// connection, or its body was evicted.
func (c *Client) sendOrLoadBody(conn *connection, part *Part, a coordinator.Attempt) bool {
	if conn.closed || conn.body != nil {
		c.sendRequest([]coordinator.Attempt{a})
		return false
	}
	if header := c.codec.EncodeHeader(*part, a.Body.Size()); header != nil {
		c.startBodyWrite(conn, a, part.Name, header)
		return false
	}
	payload, err := readBody(a.Body)
	if err != nil {
		c.endAttempts([]coordinator.Attempt{a}, outcome.BodyEvicted)
		return false
	}
	part.Payload = payload
	c.config.Sink.BodySent(a.ID)
	return true
}

func readBody(b coordinator.Body) ([]byte, error) {
	r, err := b.Open()
	if err != nil {
		return nil, err
	}
	defer r.Close()
	return io.ReadAll(r)
}
