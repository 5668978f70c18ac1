//go:build review2

package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"time"
)

const (
	watchFor      = 20 * time.Second
	platformDelay = 3 * time.Second // until the platform starts a dead coordinator again; the pages: 1 to 7.9 s
)

// layout is a settings document with a new index, whose layout is written by hand. The plan names no slices: it can't be
// used.
const (
	soundLayout = `{"persistent":{"indices":{"archive":{"class":"team-lookup","layout":{"version":1,"next_slice":1048577,` +
		`"next_plan":2,"slices":[{"id":1048576,"range":"0000000000000000-ffffffffffffffff","epoch":1,"holders":["s-0e"]}]%s}}}}}`
	emptyPlan = `,"plans":[{"id":1,"kind":"move","step":"planned","from":[],"to":[],"at":1}]`
)

// unusableLayout lets a client of the search front send one settings document whose layout has a plan without slices.
func unusableLayout(r *record, trouble bool) (held bool, err error) {
	f, err := newFleet(r, false)
	if err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	plan := ""
	if trouble {
		plan = emptyPlan
	}
	what, err := f.putSettings(fmt.Sprintf(soundLayout, plan))
	r.say("PUT /_cluster/settings is answered: %s (%v)", what, err)
	deaths := 0
	for end := time.Now().Add(watchFor); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for _, node := range f.nodes {
			select {
			case <-node.process.ended:
			default:
				continue
			}
			deaths++
			r.say("broken: %s has ended by itself", node.name)
			time.Sleep(platformDelay)
			if _, err := node.start(len(f.nodes), node.agent.known(), node.operator, nil); err != nil {
				return false, err
			}
		}
	}
	f.stop()
	r.say("coordinators that ended by themselves: %d", deaths)
	return deaths == 0, nil
}

// putSettings sends a document to the search front of n1, and follows where it leads.
func (f *storeFleet) putSettings(document string) (string, error) {
	req, err := http.NewRequest("PUT", "http://"+f.nodes[0].search+"/_cluster/settings", bytes.NewReader([]byte(document)))
	if err != nil {
		return "", err
	}
	res, err := (&http.Client{Timeout: 5 * time.Second}).Do(req)
	if err != nil {
		return "", err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	return fmt.Sprintf("%d %.400s", res.StatusCode, body), err
}
