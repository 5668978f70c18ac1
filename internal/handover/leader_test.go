package handover

import (
	"net"
	"testing"
)

func TestLeaderShares(t *testing.T) {
	for _, c := range []struct {
		name             string
		maxOpen          int
		followers        int
		retiring         bool
		inFlightAtRetire int
		own, others      Share
	}{
		{name: "alone", maxOpen: 160, own: Share{1, 160}, others: Share{1, 160}},
		{name: "one follower", maxOpen: 160, followers: 1, own: Share{2, 80}, others: Share{2, 80}},
		{name: "two followers", maxOpen: 160, followers: 2, own: Share{3, 53}, others: Share{3, 53}},
		{name: "more processes than queries", maxOpen: 2, followers: 3, own: Share{4, 1}, others: Share{4, 1}},
		{name: "unlimited", followers: 3, own: Share{4, 0}, others: Share{4, 0}},
		{name: "retiring alone", maxOpen: 160, retiring: true, inFlightAtRetire: 30, own: Share{1, 160}, others: Share{1, 160}},
		{name: "retiring", maxOpen: 160, followers: 2, retiring: true, inFlightAtRetire: 30, own: Share{3, 30}, others: Share{3, 65}},
		{name: "retiring idle", maxOpen: 160, followers: 1, retiring: true, own: Share{2, 1}, others: Share{2, 160}},
		{name: "retiring full", maxOpen: 160, followers: 1, retiring: true, inFlightAtRetire: 160, own: Share{2, 160}, others: Share{2, 1}},
		{name: "retiring unlimited", followers: 1, retiring: true, inFlightAtRetire: 30, own: Share{2, 0}, others: Share{2, 0}},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := &Group{maxOpen: c.maxOpen, retiring: c.retiring, inFlightAtRetire: c.inFlightAtRetire, followers: map[net.Conn]bool{}}
			for range c.followers {
				g.followers[&net.UnixConn{}] = true
			}
			if own, others := g.shares(); own != c.own || others != c.others {
				t.Errorf("shares() = %+v, %+v, want %+v, %+v", own, others, c.own, c.others)
			}
		})
	}
}
