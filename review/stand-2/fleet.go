//go:build review2

package main

import (
	"context"
	"fmt"
	"os"
	"slices"
	"sync"
	"time"
)

// storeFleet is a deployment of three coordinators with a store, one in each data centre, and six league servers.
type storeFleet struct {
	servers []*leagueServer
	nodes   []*coordinator
	network network  // between rose-hill and the others
	socket  *os.File // of n1's clients, where the platform holds it; nil if it does not
	cancel  context.CancelFunc
	asking  sync.WaitGroup
}

// newFleet starts the deployment. What the data centre rose-hill shares with the others goes over links that can be cut.
// If the platform holds the socket of n1's clients, n1 takes them there.
func newFleet(r *record, platformHoldsSocket bool) (*storeFleet, error) {
	f := &storeFleet{}
	for cell := range cellCount {
		for _, zone := range zones {
			f.servers = append(f.servers, newLeagueServer(r, fmt.Sprintf("s-%d%s", cell, zone[:1]), zone, cell, 60*time.Millisecond))
		}
	}
	for zone := range zones {
		name := fmt.Sprintf("n%d", zone+1)
		node, err := newCoordinator(r, name, zone, newAgent(r, name, f.listFor(zone)))
		if err != nil {
			return nil, err
		}
		f.nodes = append(f.nodes, node)
	}
	if err := f.start(platformHoldsSocket); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	for _, node := range f.nodes {
		f.asking.Go(func() { node.client.run(ctx, 8) })
	}
	return f, nil
}

// start starts the coordinators, which list each other as the members of the store.
func (f *storeFleet) start(platformHoldsSocket bool) (err error) {
	for i, node := range f.nodes {
		var members []member
		for _, other := range f.nodes {
			members = append(members, member{other.name, f.reach(node.zone, other.zone, other.raft),
				f.reach(node.zone, other.zone, other.search)})
		}
		node.operatorsFile = node.storeFile(members)
		var socket *os.File
		if i == 0 && platformHoldsSocket {
			if socket, err = node.platformSocket(); err != nil {
				return err
			}
			f.socket = socket
		}
		if _, err := node.start(len(f.nodes), node.agent.known(), node.operator, socket); err != nil {
			return err
		}
	}
	for _, node := range f.nodes {
		if err := awaitReady("http://"+node.listen+"/health/ready", 15*time.Second); err != nil {
			return err
		}
	}
	return f.nodes[0].awaitOrder(15*time.Second, "store", "leader")
}

// reach returns the address of something in zone to, as zone from reaches it.
func (f *storeFleet) reach(from, to int, addr string) string {
	const cutOff = 2 // rose-hill
	if from == to || from != cutOff && to != cutOff {
		return addr
	}
	return f.network.link(addr)
}

// listFor returns discovery's list for the coordinator of a zone.
func (f *storeFleet) listFor(zone int) (out []listed) {
	for _, s := range f.servers {
		out = append(out, listed{ID: s.name, Addr: f.reach(zone, slices.Index(zones, s.zone), s.addr()), Zone: s.zone,
			Kind: "std-2core", Cell: s.cell, State: "in_service", Weight: 1})
	}
	return out
}

func (f *storeFleet) stop() {
	f.cancel()
	f.asking.Wait()
	for _, node := range f.nodes {
		node.client.summary()
		node.keepLog()
	}
}
