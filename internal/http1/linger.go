package http1

import "io"

// shutdown ends a connection gracefully. Nothing that is read from here on is a request.
func (c *conn) shutdown() {
	if c.server.setState(c, stateLingering) {
		c.linger()
	}
}

// linger half-closes and reads on before the close, for at most lingerTimeout and maxLingerBytes. Guards the last
// response: a connection that is closed over unread bytes is reset, and the client may lose what was written.
func (c *conn) linger() {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	disarm := c.armReadTimeout(c.server.Clock.Now() + lingerTimeout)
	defer disarm()
	_, _ = io.CopyN(io.Discard, c.Conn, maxLingerBytes)
}
