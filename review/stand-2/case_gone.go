//go:build review2

package main

import (
	"fmt"
	"slices"
	"strconv"
	"time"
)

// downFor is how long the coordinator is down. The pages: coordinators die and come back after 1 to 7.9 s.
const downFor = 3 * time.Second

// goneAfterRestart lets the operators add a league server, which discovery lists like any other, until it drains: then
// whole lists leave it out, while it still answers. After that a coordinator dies and comes back.
func goneAfterRestart(r *record, trouble bool) (held bool, err error) {
	f, err := newFleet(r, false)
	if err != nil {
		return false, err
	}
	n1 := f.nodes[0]
	added := newLeagueServer(r, "s-77", zones[0], 0, 60*time.Millisecond)
	leader, err := f.leader()
	if err != nil {
		return false, err
	}
	if err := leader.order("servers", "add", added.name, added.addr(), "--zone", added.zone, "--kind", "std-2core", "--cell",
		strconv.Itoa(added.cell)); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	before := f.lists()
	f.servers = append(f.servers, added)
	f.setLists(f.lists())
	r.say("discovery lists %s", added.name)
	time.Sleep(4 * time.Second)
	r.say("parts at %s so far: %d", added.name, len(added.arrivalsAfter(r.began)))
	f.setLists(before)
	told := time.Now()
	r.say("%s drains: the watches end with the whole list, which leaves it out", added.name)
	time.Sleep(4 * time.Second)
	r.say("parts at %s later than %s after that: %d", added.name, drainGrace+socketSlack,
		len(added.arrivalsAfter(told.Add(drainGrace+socketSlack))))
	if trouble {
		n1.process.kill()
		r.say("n1 has died")
		time.Sleep(downFor)
		if _, err := n1.start(len(f.nodes), n1.agent.known(), n1.operator, nil); err != nil {
			return false, err
		}
		if err := awaitReady("http://"+n1.listen+"/health/ready", 10*time.Second); err != nil {
			return false, err
		}
		told = time.Now()
		r.say("n1 is back and ready; its agent's list does not name %s", added.name)
	} else {
		time.Sleep(downFor)
	}
	time.Sleep(10 * time.Second)
	_ = n1.order("servers", "list")
	f.stop()
	late := added.arrivalsAfter(told.Add(drainGrace + socketSlack))
	r.say("parts at %s later than %s after n1 was told: %d", added.name, drainGrace+socketSlack, len(late))
	for _, a := range late {
		r.note("broken: part %s at %s %.3f s after that", a.part, added.name, a.at.Sub(told).Seconds())
	}
	return len(late) == 0, nil
}

// leader returns the coordinator that leads the store.
func (f *storeFleet) leader() (*coordinator, error) {
	id, err := f.nodes[0].command("store", "leader")
	i := slices.IndexFunc(f.nodes, func(c *coordinator) bool { return c.name == id })
	if err != nil || i < 0 {
		return nil, fmt.Errorf("no leader: %q, %w", id, err)
	}
	return f.nodes[i], nil
}

// lists returns discovery's list for each coordinator.
func (f *storeFleet) lists() (out [][]listed) {
	for zone := range f.nodes {
		out = append(out, f.listFor(zone))
	}
	return out
}

func (f *storeFleet) setLists(lists [][]listed) {
	for i, node := range f.nodes {
		node.agent.set(lists[i])
	}
}
