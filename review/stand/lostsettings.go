//go:build review

package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"
)

const (
	deployments     = 4                       // that are tried side by side
	restartDownTime = 1200 * time.Millisecond // the brief: 1 to 7.9 s
	restartLimit    = 92 * time.Second        // no restart begins later
)

// lostSettings tries four small deployments side by side, each independent of the others.
func lostSettings(r *run) (bool, error) {
	stop := make(chan struct{})
	results := make(chan error, deployments)
	errLost := errors.New("lost")
	for i := range deployments {
		go func() {
			lost, err := r.restartRepeatedly(string(rune('a'+i)), stop)
			if lost {
				err = errLost
			}
			results <- err
		}()
	}
	var first error
	for range deployments {
		if err := <-results; err != nil && first == nil {
			first = err
			close(stop)
		}
	}
	if first == errLost {
		return true, nil
	}
	return false, first
}

// restartRepeatedly runs a deployment: one of three coordinators has a store of one member. Operators have changed an
// index through the store and added another one. The coordinator dies and comes back, several times. Each time, an
// operator drains the league servers of one data centre, one after the other, and puts them back later. What was
// committed before has to stay.
func (r *run) restartRepeatedly(name string, stop <-chan struct{}) (lost bool, err error) {
	const cells, slabs = 4, 12
	fleet, err := r.newFleet(cells)
	if err != nil {
		return false, err
	}
	config := clusterConfig{prefix: name, nodes: 1, coordinators: 3, places: cells, slabs: slabs,
		extra:   "[indices.players]\nclass = \"team-lookup\"\nslices = [0, 1]\n",
		servers: func(int) []instance { return fleet.entries }}
	cl, err := r.newCluster(config)
	if err != nil {
		return false, err
	}
	if err := cl.startAll(); err != nil {
		return false, err
	}
	n := cl.nodes[0]
	for _, other := range []string{"n2", "n3"} { // without a store, with the deploy file's command alone
		if err := r.startPlain(name+other, config, fleet.entries); err != nil {
			return false, err
		}
	}
	const change = `{"persistent":{"indices":{"players":{"slices":[0,1,2,3]},"scores":{"class":"league-table","slices":[4,5,6,7]}}}}`
	status, body, err := call("PUT", "http://"+n.search+"/_cluster/settings", change)
	r.logf("%s: operator: PUT /_cluster/settings %s -> %d %s %v", n.name, change, status, body, err)
	if err != nil || status != 200 {
		return false, fmt.Errorf("the change was not accepted")
	}
	if !cl.hasSettings(n) {
		return false, fmt.Errorf("the change is not in force")
	}
	for round := 1; time.Since(r.start) < restartLimit; round++ {
		select {
		case <-stop:
			return false, nil
		default:
		}
		if r.trouble {
			n.proc.kill()
			time.Sleep(restartDownTime)
			if err := cl.start(n); err != nil {
				return false, err
			}
		}
		began := time.Now()
		if err := r.each(n, "drain", 0.4); err != nil {
			return false, err
		}
		settled := func() bool {
			state, ok := cl.agreed(n)
			return ok && len(state.Unsettled) == 0 && len(state.Servers) > 0
		}
		if err := await(10*time.Second, "the drains settled", settled); err != nil {
			return false, err
		}
		r.logf("%s: round %d: four servers are drained after %.2f s", n.name, round, time.Since(began).Seconds())
		if !cl.hasSettings(n) {
			r.reportLoss(n, round)
			return true, nil
		}
		if err := r.each(n, "undrain", 0); err != nil {
			return false, err
		}
	}
	return false, nil
}

// reportLoss records what the coordinator says after the loss.
func (r *run) reportLoss(n *node, round int) {
	_, body, err := call("GET", "http://"+n.search+"/_cluster/settings", "")
	r.logf("%s: after round %d a linearizable read tells: %s %v", n.name, round, body, err)
	status, body, err := call("POST", "http://"+n.search+"/scores/_search", `{}`)
	r.logf("%s: a search of scores: %d %s %v", n.name, status, body, err)
	status, body, err = call("POST", "http://"+n.search+"/players/_search", `{"size":0}`)
	r.logf("%s: a search of players: %d %s %v", n.name, status, body, err)
}

// hasSettings asks for the settings with a linearizable read and reports whether the committed change is in them.
func (cl *cluster) hasSettings(n *node) bool {
	var answer struct {
		Persistent struct {
			Indices map[string]struct {
				Slices []int `json:"slices"`
			} `json:"indices"`
		} `json:"persistent"`
	}
	for range 50 {
		status, body, err := call("GET", "http://"+n.search+"/_cluster/settings", "")
		if err == nil && status == 200 && json.Unmarshal(body, &answer) == nil {
			cl.r.notef("%s: GET /_cluster/settings -> %s", n.name, body)
			indices := answer.Persistent.Indices
			return len(indices["players"].Slices) == 4 && len(indices["scores"].Slices) == 4
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// each runs an operator's script: one command for each league server of a data centre, one after the other. A command
// that fails, as no coordinator answers yet, is made again after 0.1 s.
func (r *run) each(n *node, command string, pause float64) error {
	script := fmt.Sprintf("for s in s-01 s-04 s-07 s-10; do until bin/linkpass servers %s $s --socket %s; do sleep 0.1; done; sleep %.1f; done",
		command, n.socket, pause)
	out, err := r.shell(script, 15*time.Second)
	r.notef("operator: %s\n%s", script, out)
	return err
}
