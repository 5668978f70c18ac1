//go:build review2

package main

import (
	"context"
	"fmt"
	"syscall"
	"time"
)

const (
	// readyLimit is the time in which a new process must say yes; after that the old one gets SIGTERM.
	readyLimit = 6 * time.Second
	// newsGrace is how long after the yes of a new process news from discovery counts as told. A drain in the store is
	// given the same here.
	newsGrace = 2 * time.Second
	// newClientRate is how many clients a second come new to the coordinator meanwhile, beside those that stay.
	newClientRate = 6
)

// upgradeForgetsDrain drains a league server in the store and then brings up a new version of a coordinator beside the
// old one, as the platform does.
func upgradeForgetsDrain(r *record, trouble bool) (held bool, err error) {
	f, err := newFleet(r, true)
	if err != nil {
		return false, err
	}
	n1, drained := f.nodes[0], f.servers[0]
	time.Sleep(2 * time.Second)
	if err := n1.order("servers", "drain", drained.name); err != nil {
		return false, err
	}
	told := time.Now()
	time.Sleep(4 * time.Second)
	r.say("parts at %s from %s to 4 s after the drain: %d", drained.name, drainGrace+socketSlack,
		len(drained.arrivalsAfter(told.Add(drainGrace+socketSlack))))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go n1.client.newOnes().run(ctx, newClientRate)
	if trouble {
		if told, err = f.upgrade(r, n1); err != nil {
			return false, err
		}
	} else {
		time.Sleep(readyLimit + 4*time.Second)
	}
	time.Sleep(3 * time.Second)
	_ = n1.order("servers", "list")
	f.stop()
	late := drained.arrivalsAfter(told.Add(drainGrace + socketSlack))
	r.say("parts at %s later than %s after the coordinators count as told: %d", drained.name, drainGrace+socketSlack, len(late))
	for _, a := range late {
		r.note("broken: part %s at %s %.3f s after that", a.part, drained.name, a.at.Sub(told).Seconds())
	}
	return len(late) == 0, nil
}

// upgrade starts a second process of a coordinator and ends the first one once the time for that has come. It returns
// when the drain counts as told to the second one.
func (f *storeFleet) upgrade(r *record, node *coordinator) (told time.Time, err error) {
	old, began, operator := node.process, time.Now(), freeAddr()
	r.say("a new process of %s is started beside the old one", node.name)
	if _, err := node.start(len(f.nodes), node.agent.known(), operator, f.socket); err != nil {
		return told, err
	}
	if err := awaitReady("http://"+operator+"/v1/readyz", readyLimit); err != nil {
		return told, err
	}
	told = time.Now().Add(newsGrace)
	r.say("the new process says yes after %.3f s", time.Since(began).Seconds())
	time.Sleep(readyLimit - time.Since(began))
	r.say("SIGTERM to the old process")
	old.signal(syscall.SIGTERM)
	select {
	case <-old.ended:
	case <-time.After(3700 * time.Millisecond): // the longest deadline, taken as 3 s, and 0.7 s
		old.kill()
		return told, fmt.Errorf("the old process did not end in time")
	}
	return told, nil
}
