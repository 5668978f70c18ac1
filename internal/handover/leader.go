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
			_, _ = bufio.NewReader(follower).ReadByte() // a follower sends nothing: returns when its connection ends
			g.update(func() { delete(g.followers, follower) })
			_ = follower.Close()
		})
	}
}

// update applies a change of the group and gives each process its share. This process is first, because it may have to
// free a part of the limits for the others.
func (g *Group) update(apply func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	apply()
	own, others := g.shares()
	if !g.closed {
		g.onShare(own)
	}
	for follower := range g.followers {
		_ = others.write(follower) // if this fails, the read in acceptFollowers ends and removes the follower
	}
}

// shares returns the share of this process and that of each follower. The caller must hold the mutex.
func (g *Group) shares() (own, others Share) {
	n := len(g.followers) + 1
	own = Share{Processes: n, MaxOpen: g.maxOpen}
	if g.maxOpen <= 0 {
		return own, own // no limit
	}
	own.MaxOpen = max(1, g.maxOpen/n) // 0 would mean no limit
	others = own
	if g.retiring && n > 1 {
		own.MaxOpen = max(1, g.inFlightAtRetire)
		others.MaxOpen = max(1, (g.maxOpen-g.inFlightAtRetire)/(n-1))
	}
	return own, others
}
