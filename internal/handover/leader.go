package handover

import (
	"bufio"
	"net"
)

// acceptFollowers accepts followers until the listener is closed.
func (g *Group) acceptFollowers(listener net.Listener) {
	for {
		follower, err := listener.Accept()
		if err != nil {
			return
		}
		g.update(func() { g.followers[follower] = true })
		g.wg.Go(func() {
			_, _ = bufio.NewReader(follower).ReadByte() // a follower sends nothing: this returns when it ends
			g.update(func() { delete(g.followers, follower) })
			_ = follower.Close()
		})
	}
}

// update applies a change of the group and notifies all of their shares: this process first, which may have to make room
// for the others.
func (g *Group) update(apply func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	apply()
	own, others := g.shares()
	if !g.closed {
		g.onShare(own)
	}
	for follower := range g.followers {
		_ = others.write(follower) // acceptFollowers' reader sees that a follower has ended
	}
}

// shares returns the share of this process and that of each follower; mu is locked.
func (g *Group) shares() (own, others Share) {
	n := len(g.followers) + 1
	own = Share{Processes: n, MaxOpen: g.maxOpen / n}
	others = own
	unlimited := g.maxOpen <= 0
	if g.retiring && n > 1 && !unlimited {
		// A limit of 0 would be none at all.
		own.MaxOpen = max(1, g.retained)
		others.MaxOpen = max(1, (g.maxOpen-g.retained)/(n-1))
	}
	return own, others
}
