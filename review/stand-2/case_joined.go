//go:build review2

package main

import (
	"fmt"
	"time"
)

// settleTime is how long an order may take to reach all coordinators that nothing cuts off.
const settleTime = 10 * time.Second

// drainAtJoined lets a fourth coordinator join the store while it runs, as on the busiest days, and drains a league
// server there.
func drainAtJoined(r *record, trouble bool) (held bool, err error) {
	f, err := newFleet(r, fleetOptions{fourth: true, joins: trouble})
	if err != nil {
		return false, err
	}
	n4, drained := f.nodes[3], f.servers[3]
	time.Sleep(3 * time.Second)
	_ = n4.order("store", "members")
	if err := n4.order("servers", "drain", drained.name); err != nil {
		return false, err
	}
	ordered := time.Now()
	time.Sleep(settleTime + 8*time.Second)
	for _, node := range f.nodes {
		_ = node.order("servers", "list")
		_ = node.order("servers", "agreed")
	}
	f.stop()
	late := drained.arrivalsAfter(ordered.Add(settleTime + drainGrace + socketSlack))
	r.say("parts at %s later than %s after the order was accepted: %d", drained.name, settleTime+drainGrace+socketSlack, len(late))
	for _, a := range late {
		r.note("broken: part %s at %s %.3f s after the order", a.part, drained.name, a.at.Sub(ordered).Seconds())
	}
	return len(late) == 0, nil
}

// join starts the fourth coordinator and takes it into the store.
func (f *storeFleet) join(node *coordinator) error {
	if _, err := node.start(len(f.nodes), node.agent.known(), node.operator, nil); err != nil {
		return err
	}
	if err := awaitReady("http://"+node.listen+"/health/ready", 15*time.Second); err != nil {
		return err
	}
	leader, err := f.leader()
	if err != nil {
		return err
	}
	if err := leader.order("store", "join", node.name, node.raft, node.search); err != nil {
		return err
	}
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(500 * time.Millisecond) {
		if leader.order("store", "promote", node.name) == nil {
			return nil
		}
	}
	return fmt.Errorf("%s was not promoted", node.name)
}
