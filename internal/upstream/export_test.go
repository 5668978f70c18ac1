package upstream

import "net"

// PendingConnEvents is how many events of connections wait for the event loop.
func (c *Client) PendingConnEvents() int { return len(c.connEvents) }

// firstConn passes the first open connection to its sender.
type firstConn struct{ reply chan net.Conn }

func (e firstConn) handle(c *Client) { e.reply <- c.conns[0].netConn }

// FirstConn is the first open connection, once all commands before have been carried out.
func (c *Client) FirstConn() net.Conn {
	reply := make(chan net.Conn)
	c.mailbox <- firstConn{reply}
	return <-reply
}
