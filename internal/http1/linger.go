package http1

import "io"

// shutdown stops serving requests on the connection and lingers, so that the last response is delivered. Bytes that
// still arrive are discarded. The caller closes the connection.
func (c *conn) shutdown() {
	if c.server.setState(c, stateLingering) {
		c.linger()
	}
}

// linger closes the writing side of the connection and discards what the client still sends, until the client closes
// its side, for at most lingerTimeout and maxLingerBytes. Closing a socket with unread bytes resets the connection, and
// the client may then lose the last response.
func (c *conn) linger() {
	halfCloser, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || halfCloser.CloseWrite() != nil {
		return
	}
	disarm := c.armReadTimeout(c.server.Clock.Now() + lingerTimeout)
	defer disarm()
	_, _ = io.CopyN(io.Discard, lingerReader{c}, maxLingerBytes)
}

// lingerReader reads what a lingering connection discards. The connection pays for each read in its next turn.
type lingerReader struct{ *conn }

// Read reads from the connection.
func (r lingerReader) Read(p []byte) (int, error) {
	n, err := r.Conn.Read(p)
	if n > 0 {
		r.readAhead.flow.Pass()
	}
	return n, err
}
