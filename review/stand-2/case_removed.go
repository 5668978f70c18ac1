//go:build review2

package main

import (
	"fmt"
	"slices"
	"time"
)

const (
	drainGrace  = time.Second           // of the rule on drains
	socketSlack = 50 * time.Millisecond // by which every time limit on sockets is longer

	cutFor = 15 * time.Second // the pages: one data centre is cut off from the others for 6.1 to 20 s
)

// removedBehindCut removes a league server at n1 while the data centre of n3 is cut off from the others, and looks at
// what the server gets once n3 has been told.
func removedBehindCut(r *record, trouble bool) (held bool, err error) {
	f, err := newFleet(r, false)
	if err != nil {
		return false, err
	}
	n1, n3 := f.nodes[0], f.nodes[2]
	removed := f.servers[2] // of rose-hill
	time.Sleep(3 * time.Second)
	if trouble {
		f.network.cut()
		r.say("rose-hill is cut off from the other data centres")
	}
	cutAt := time.Now()
	time.Sleep(3 * time.Second) // the rest elects a leader, if it was n3
	if err := n1.order("servers", "remove", removed.name); err != nil {
		return false, err
	}
	time.Sleep(cutFor - time.Since(cutAt))
	if trouble {
		f.network.heal()
		r.say("rose-hill is back after %.1f s", time.Since(cutAt).Seconds())
	}
	told, err := awaitRemoval(n3, removed.name, 15*time.Second)
	if err != nil {
		return false, err
	}
	r.say("n3 shows %s as removed: it has been told", removed.name)
	_ = n3.order("servers", "list")
	time.Sleep(8 * time.Second)
	late := removed.arrivalsAfter(told.Add(drainGrace + socketSlack))
	f.stop()
	r.say("parts at %s later than %s after that: %d", removed.name, drainGrace+socketSlack, len(late))
	for _, a := range late {
		r.note("broken: part %s at %s %.3f s after n3 was told", a.part, removed.name, a.at.Sub(told).Seconds())
	}
	return len(late) == 0, nil
}

// awaitRemoval waits until a coordinator shows a server as removed, and returns when it did.
func awaitRemoval(node *coordinator, server string, limit time.Duration) (time.Time, error) {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		state, err := node.agreed()
		if err == nil && slices.Contains(state.Removed, server) {
			return time.Now(), nil
		}
	}
	return time.Time{}, fmt.Errorf("%s does not show %s as removed within %s", node.name, server, limit)
}
