package handover

import (
	"bufio"
	"net"

	"linkpass/internal/eventlog"
)

// follow makes this process a follower of the leader at the other end of a connection. The caller must hold the mutex.
func (g *Group) follow(leader net.Conn) {
	g.leader = leader
	g.onShare(Share{Processes: 2, MaxOpen: g.maxOpen / 2}) // until the leader's first message
	g.wg.Go(func() {
		g.receiveShares(leader)
		_ = leader.Close()
		if err := g.followOrLead(); err != nil {
			eventlog.HandoverFailed.Log(err)
		}
	})
}

// receiveShares applies the leader's messages until the connection ends or a message is invalid.
func (g *Group) receiveShares(leader net.Conn) {
	reader := bufio.NewReader(leader)
	for {
		message, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		share, err := parseShare(message)
		if err != nil {
			eventlog.HandoverMessageInvalid.Log(message)
			return
		}
		g.onShare(share)
	}
}
