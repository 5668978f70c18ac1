//go:build review

package main

import (
	"fmt"
	"time"
)

// restartDrain: an operator drains a league server, and the store settles the drain at all three coordinators. Later one
// of them dies and comes back. It must not send the drained server new work.
func restartDrain(r *run) (bool, error) {
	const (
		cells    = 4
		slabs    = 12
		quiet    = 12 * time.Second        // from the drain to the crash
		downTime = 6500 * time.Millisecond // the brief: 1 to 7.9 s
		watch    = 9 * time.Second         // after the restart
		grace    = time.Second + 50*time.Millisecond
	)
	fleet, err := r.newFleet(cells)
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
	leader := cl.leader(cl.nodes...)
	v := 2
	if cl.nodes[v] == leader {
		v = 1
	}
	victim, drained := cl.nodes[v], fleet.servers[v]
	var all []*clients
	for _, n := range cl.nodes {
		all = append(all, r.startClients(n.name, n.listen, 8, slabs, n.isAdmitted))
	}
	time.Sleep(3 * time.Second)
	if len(drained.after(r.start)) == 0 {
		return false, fmt.Errorf("%s got no work before the drain", drained.name)
	}
	if _, err := r.command(victim.socket, "servers", "drain", drained.name); err != nil {
		return false, err
	}
	told := time.Now()
	settled := func() bool { return cl.settled(drained.name, "restriction") }
	if err := await(5*time.Second, "the drain settled at all coordinators", settled); err != nil {
		return false, err
	}
	r.logf("the drain of %s, ordered at %s, is settled at all coordinators", drained.name, victim.name)
	time.Sleep(quiet)
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
	time.Sleep(watch)
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
