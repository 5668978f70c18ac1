//go:build review

package main

import (
	"fmt"
	"time"
)

// forgottenDrain: a data centre is cut off. An operator drains a league server at its coordinator, which accepts the
// drain. The coordinator dies and comes back while the cut lasts. It must not send the drained server new work.
func forgottenDrain(r *run) (bool, error) {
	const (
		cells    = 4
		slabs    = 12
		cutTime  = 15 * time.Second // the brief: 6.1 to 20 s
		crashAt  = 2 * time.Second  // after the drain
		downTime = 2 * time.Second  // the brief: 1 to 7.9 s
		after    = 12 * time.Second // after the cut
		grace    = time.Second + 50*time.Millisecond
	)
	// Three league servers in each cell, one in each zone.
	fleet, err := r.newFleet(cells)
	if err != nil {
		return false, err
	}
	network := r.newNetwork()
	var linkErr error
	link := func(from, to, target string) string {
		addr, err := network.link(from, to, target, nil)
		if err != nil {
			linkErr = err
		}
		return addr
	}
	cl, err := r.newCluster(clusterConfig{nodes: 3, places: cells, slabs: slabs,
		servers: func(i int) (list []instance) {
			for k, entry := range fleet.entries {
				entry.Zone = zones[k%perCell]
				entry.Addr = link(zones[i], entry.Zone, entry.Addr)
				list = append(list, entry)
			}
			return list
		},
		peer: func(i, k int, addr string) string { return link(zones[i], zones[k], addr) },
	})
	if err != nil || linkErr != nil {
		return false, fmt.Errorf("set up: %v %v", err, linkErr)
	}
	if err := cl.startAll(); err != nil {
		return false, err
	}
	leader := cl.leader(cl.nodes...)
	v := 2
	if cl.nodes[v] == leader {
		v = 1
	}
	victim, drained := cl.nodes[v], fleet.servers[v] // in one zone
	var all []*clients
	for _, n := range cl.nodes {
		all = append(all, r.startClients(n.name, n.listen, 8, slabs, n.isAdmitted))
	}
	time.Sleep(3 * time.Second)
	if len(drained.after(r.start)) == 0 {
		return false, fmt.Errorf("%s got no work before the drain", drained.name)
	}
	network.cutOff(zones[v])
	time.Sleep(time.Second)
	if _, err := r.command(victim.socket, "servers", "drain", drained.name); err != nil {
		return false, err
	}
	told := time.Now()
	time.Sleep(crashAt)
	if r.trouble {
		r.logf("%s dies", victim.name)
		victim.proc.kill()
	}
	time.Sleep(downTime)
	restarted := time.Now()
	if r.trouble {
		if err := cl.start(victim); err != nil {
			return false, err
		}
	}
	time.Sleep(cutTime - crashAt - downTime)
	if state, ok := cl.agreed(victim); ok {
		r.logf("%s says of %s, before the end of the cut: %v", victim.name, drained.name, state.Servers[drained.name])
	}
	network.heal()
	time.Sleep(after)
	if state, ok := cl.agreed(victim); ok {
		r.logf("%s says of %s, after the cut: %v", victim.name, drained.name, state.Servers[drained.name])
	}
	for _, c := range all {
		c.end()
	}
	// A new process counts as told from its first moment on, so that its grace counts from its start.
	broken := 0
	perNode := map[string]int{}
	late := drained.after(told.Add(grace))
	for _, a := range late {
		perNode[a.part[:2]]++
		if a.part[:2] != victim.name || a.at.Before(restarted) || a.at.After(restarted.Add(grace)) {
			broken++
		}
	}
	r.logf("parts received by %s later than %s after the drain was ordered, by coordinator: %v", drained.name, grace, perNode)
	r.logf("without those in the first %s of the restarted %s: %d", grace, victim.name, broken)
	if len(late) > 0 {
		r.logf("from %.3f to %.3f s after that start", late[0].at.Sub(restarted).Seconds(), late[len(late)-1].at.Sub(restarted).Seconds())
	}
	return broken > 0, nil
}
