package hostile

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"
)

// Listener is one of a coordinator's listeners.
type Listener uint8

// The listeners that an attack may be aimed at.
const (
	Platform Listener = iota // the front of the platform's clients
	Search                   // the search front
	Admin                    // the platform's admin listener
)

// Attack is one way to misuse a coordinator.
type Attack struct {
	Name     string
	Listener Listener
	Holding  bool // it holds connections open and needs many of them, instead of sending at full speed on a few
	Valid    bool // it sends queries that are served, so that the fleet's capacity is shared with it
	Wide     bool // its queries have Shards parts, so that few of them use the fleet's whole capacity
	Overrun  bool // it sends more behind its queries than is read ahead
	session  session
}

// session is what a client does on one connection. It returns when the connection has ended or cannot be used further.
type session func(c *client)

const (
	dialTimeout      = time.Second
	reconnectDelay   = 5 * time.Millisecond // after a connection that could not be opened
	responseDeadline = 10 * time.Second
)

// client is one hostile client.
type client struct {
	ctx    context.Context
	target string
	number int // of the client among those of the attack
	sent   int // requests so far, over all connections
	rng    *rand.Rand
	conn   net.Conn
}

// All returns all attacks, in a fixed order.
func All() []Attack { return slices.Clone(attacks) }

// Find returns the attack of that name. ok is false if there is none.
func Find(name string) (attack Attack, ok bool) {
	i := slices.IndexFunc(attacks, func(a Attack) bool { return a.Name == name })
	if i < 0 {
		return Attack{}, false
	}
	return attacks[i], true
}

// Run attacks the listener at target, a host and port, on conns connections at a time, until the context ends. A
// connection that ends is replaced.
func (a Attack) Run(ctx context.Context, target string, conns int, seed uint64) {
	var clients sync.WaitGroup
	for number := range conns {
		c := &client{ctx: ctx, target: target, number: number, rng: rand.New(rand.NewPCG(seed, uint64(number)))}
		clients.Go(func() { c.run(a.session) })
	}
	clients.Wait()
}

// run opens one connection after another and runs the session on each.
func (c *client) run(s session) {
	for c.ctx.Err() == nil {
		conn, err := net.DialTimeout("tcp", c.target, dialTimeout)
		if err != nil {
			c.pause(reconnectDelay)
			continue
		}
		c.conn = conn
		stop := context.AfterFunc(c.ctx, func() { _ = conn.Close() })
		s(c)
		stop()
		_ = conn.Close()
	}
}

// pause waits for a duration or until the attack ends.
func (c *client) pause(d time.Duration) {
	select {
	case <-time.After(d):
	case <-c.ctx.Done():
	}
}
