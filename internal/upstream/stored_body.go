package upstream

import (
	"io"

	"linkpass/internal/coordinator"
	"linkpass/internal/outcome"
)

// extractBodies takes the parts with a body in the body store out of a request: each becomes a message of its own.
// Where the protocol cannot stream a body, it is read into the part's payload, and the part stays in the request. It
// returns the parts that remain, with their attempts, in the slices that were passed.
func (c *Client) extractBodies(
	conn *connection, parts []Part, attempts []coordinator.Attempt,
) ([]Part, []coordinator.Attempt) {
	kept := 0
	for i, a := range attempts {
		if a.Body != nil && !c.loadBody(conn, &parts[i], a) {
			continue
		}
		parts[kept], attempts[kept] = parts[i], a
		kept++
	}
	if conn.closed {
		c.endAttempts(attempts[:kept], outcome.WriteInterrupted)
		return nil, nil
	}
	if conn.body != nil && kept > 0 { // a body is being written: the others go out on another connection
		c.sendRequest(append([]coordinator.Attempt(nil), attempts[:kept]...))
		return nil, nil
	}
	return parts[:kept], attempts[:kept]
}

// loadBody reads the body of a part into its payload. It returns false where the part is no longer of this request:
// its body is streamed, it is sent on another connection, or its body was evicted.
func (c *Client) loadBody(conn *connection, part *Part, a coordinator.Attempt) bool {
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
