//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"
)

// answerCount counts the answers to searches of one coordinator.
type answerCount struct {
	whole, half, other  int
	firstHalf, lastHalf time.Time
}

// restartPartial: three coordinators replicate the settings. An index grows from two slices to four through the store.
// Later one coordinator dies and comes back. No search may get an answer from two slices that is marked whole.
func restartPartial(r *run) (bool, error) {
	const (
		cells    = 4
		slabs    = 12
		quiet    = 10 * time.Second        // from the change to the crash
		downTime = 6500 * time.Millisecond // the brief: 1 to 7.9 s
		watch    = 8 * time.Second         // after the restart
	)
	fleet, err := r.newFleet(cells)
	if err != nil {
		return false, err
	}
	cl, err := r.newCluster(clusterConfig{nodes: 3, places: cells, slabs: slabs,
		extra:   "[indices.players]\nclass = \"team-lookup\"\nslices = [0, 1]\n",
		servers: func(int) []instance { return fleet.entries }})
	if err != nil {
		return false, err
	}
	if err := cl.startAll(); err != nil {
		return false, err
	}
	leader := cl.leader(cl.nodes...)
	const change = `{"persistent":{"indices":{"players":{"slices":[0,1,2,3]}}}}`
	status, body, err := call("PUT", "http://"+leader.search+"/_cluster/settings", change)
	r.logf("operator: PUT /_cluster/settings %s -> %d %s %v", change, status, body, err)
	if err != nil || status != 200 {
		return false, fmt.Errorf("the change was not accepted")
	}
	everywhere := func() bool {
		for _, n := range cl.nodes {
			if total, ok := r.searchPlayers(n); !ok || total != 4 {
				return false
			}
		}
		return true
	}
	if err := await(5*time.Second, "answers from four slices at all coordinators", everywhere); err != nil {
		return false, err
	}
	r.logf("searches at all coordinators are answered from four slices")
	victim := cl.nodes[2]
	if victim == leader {
		victim = cl.nodes[1]
	}
	var counts [3]answerCount
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i, n := range cl.nodes {
		clients.Go(func() { r.searchSteadily(n, stop, &counts[i]) })
	}
	time.Sleep(quiet)
	if r.trouble {
		r.logf("%s dies (the leader is %s)", victim.name, leader.name)
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
	close(stop)
	clients.Wait()
	broken := false
	for i, n := range cl.nodes {
		c := counts[i]
		r.logf("%s: %d answers from four slices marked whole, %d from two slices marked whole, %d others", n.name, c.whole, c.half, c.other)
		if c.half > 0 {
			broken = true
			r.logf("those from two slices came from %.3f to %.3f s after the start of %s",
				c.firstHalf.Sub(restarted).Seconds(), c.lastHalf.Sub(restarted).Seconds(), victim.name)
		}
	}
	return broken, nil
}

// searchSteadily searches the index ten times a second, once the coordinator takes clients.
func (r *run) searchSteadily(n *node, stop <-chan struct{}, count *answerCount) {
	ticker := time.NewTicker(100 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		if !n.isAdmitted() {
			continue
		}
		switch total, ok := r.searchPlayers(n); {
		case ok && total == 4:
			count.whole++
		case ok && total == 2:
			count.half++
			count.lastHalf = time.Now()
			if count.half == 1 {
				count.firstHalf = time.Now()
			}
		default:
			count.other++
		}
	}
}

// searchPlayers searches the index. It returns from how many slices the answer is, if it is marked whole.
func (r *run) searchPlayers(n *node) (total int, whole bool) {
	status, body, err := call("POST", "http://"+n.search+"/players/_search", `{"size":100}`)
	r.notef("search at %s: %d %s %v", n.name, status, body, err)
	var answer struct {
		TimedOut bool                                    `json:"timed_out"`
		Shards   struct{ Total, Successful, Failed int } `json:"_shards"`
		Hits     struct{ Hits []json.RawMessage }        `json:"hits"`
	}
	if err != nil || status != 200 || json.Unmarshal(body, &answer) != nil {
		return 0, false
	}
	whole = !answer.TimedOut && answer.Shards.Failed == 0 && answer.Shards.Successful == answer.Shards.Total
	return len(answer.Hits.Hits), whole // a plain league server's value is one hit
}
