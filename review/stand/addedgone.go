//go:build review

package main

import (
	"fmt"
	"time"
)

// addedGone: before a busy weekend an operator adds a league server, which discovery lists soon after. After the weekend
// discovery tells that it drains, then that it is gone. From then on no coordinator may send it new work.
func addedGone(r *run) (bool, error) {
	const (
		cells = 4
		slabs = 12
		grace = time.Second + 50*time.Millisecond
	)
	fleet, err := r.newFleet(cells)
	if err != nil {
		return false, err
	}
	added, err := r.newLeague("s-77")
	if err != nil {
		return false, err
	}
	cl, err := r.newCluster(clusterConfig{nodes: 3, places: cells, slabs: slabs,
		servers: func(int) []instance { return fleet.entries }})
	if err != nil {
		return false, err
	}
	if err := cl.startAll(); err != nil {
		return false, err
	}
	var all []*clients
	for _, n := range cl.nodes {
		all = append(all, r.startClients(n.name, n.listen, 8, slabs, n.isAdmitted))
	}
	time.Sleep(2 * time.Second)
	if _, err := r.command(cl.leader(cl.nodes...).socket, "servers", "add", added.name, added.addr(),
		"--zone", "ebene", "--kind", "std-2core", "--cell", "0"); err != nil {
		return false, err
	}
	inState := func() bool { return cl.settled(added.name, "spec") }
	if err := await(5*time.Second, "the added server at all coordinators", inState); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	entry := entryOf(added, 0)
	tell := func(state string) {
		entry.State = state
		for _, n := range cl.nodes {
			n.agent.change(entry)
		}
		r.logf("discovery: %s is %s", added.name, state)
	}
	tell("in_service")
	time.Sleep(8 * time.Second)
	before := len(added.after(r.start))
	r.logf("parts received by %s so far: %d", added.name, before)
	if before == 0 {
		return false, fmt.Errorf("%s got no work while it was in service", added.name)
	}
	if !r.trouble {
		time.Sleep(16 * time.Second)
		for _, c := range all {
			c.end()
		}
		return false, nil
	}
	tell("terminating")
	drainTold := time.Now()
	time.Sleep(6 * time.Second)
	draining := added.after(drainTold.Add(grace))
	r.logf("parts received later than %s after the drain was told, while it drains: %d", grace, len(draining))
	tell("terminated")
	goneTold := time.Now()
	time.Sleep(10 * time.Second)
	for _, c := range all {
		c.end()
	}
	late := added.after(goneTold.Add(grace))
	perNode := map[string]int{}
	for _, a := range late {
		perNode[a.part[:2]]++
	}
	r.logf("parts received by %s later than %s after discovery told that it is gone, by coordinator: %v", added.name, grace, perNode)
	return len(draining)+len(late) > 0, nil
}
