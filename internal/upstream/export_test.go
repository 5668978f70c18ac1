package upstream

import "net"

// News is how many messages and ends of connections wait for the actor.
func (p *Client) News() int { return len(p.news) }

// First is the first connection that is up, once all orders before have been carried out.
func (p *Client) First() net.Conn {
	got := make(chan net.Conn)
	p.mailbox <- func() { got <- p.conns[0].nc }
	return <-got
}
