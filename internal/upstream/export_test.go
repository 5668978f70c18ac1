package upstream

import "net"

// PendingConnEvents returns the number of connection events that wait for the event loop.
func (c *Client) PendingConnEvents() int { return len(c.connEvents) }

// firstConn is a command that sends the first open connection to reply.
type firstConn struct{ reply chan net.Conn }

func (e firstConn) handle(c *Client) { e.reply <- c.conns[0].netConn }

// FirstConn returns the first open connection, after all earlier commands have been handled.
func (c *Client) FirstConn() net.Conn {
	reply := make(chan net.Conn)
	c.mailbox <- firstConn{reply}
	return <-reply
}
