package store

import (
	"net"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
)

const maxPooledConns = 3 // idle connections kept per member

// newNetworkTransport returns a transport that carries Raft's messages over TCP. Closing it closes the listener.
func newNetworkTransport(listener net.Listener, logger hclog.Logger) *raft.NetworkTransport {
	return raft.NewNetworkTransportWithLogger(streamLayer{listener}, maxPooledConns, quorumTimeout, logger)
}

// streamLayer implements raft.StreamLayer with a listener.
type streamLayer struct{ net.Listener }

// Dial connects to another member over TCP.
func (streamLayer) Dial(address raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	return net.DialTimeout("tcp", string(address), timeout)
}
