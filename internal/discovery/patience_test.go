package discovery

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"linkpass/internal/coordinator"
	"linkpass/internal/metrics"
)

// An agent that was silent, for however long, is heard again by 0.6 of the time in which sends by the old
// list have to end: what it has counts as told from the moment on at which it speaks.
func TestAnAgentThatSpeaksAgainIsHeardInTime(t *testing.T) {
	const grace = time.Second
	p := LocalAgentTimeouts(grace)
	for seed := range uint64(200) {
		chance := rand.New(rand.NewPCG(seed, 0))
		back := time.Duration(chance.Float64() * float64(10*time.Second))
		at, rest := time.Duration(0), p.rest
		for at < back { // this call is never answered
			var now time.Duration
			now, rest = p.rested(rest, chance.Float64())
			at += max(p.begin, p.dial) + now
		}
		if late := at - back; late > grace*6/10 {
			t.Errorf("seed %d: asked %v after the agent spoke again", seed, late)
		}
	}
}

// Calls to an agent are given up as its patience says, those on a watch that goes on too.
func TestASilentAgentIsAskedAnew(t *testing.T) {
	paths, answers := make(chan string), make(chan string)
	defer close(answers)
	core := &fakeCore{lists: make(chan coordinator.EndpointUpdate, 4), armed: make(chan limit, 8)}
	ctx, cancel := context.WithCancel(t.Context())
	w := NewWatcher(agent(t, paths, answers), reader(), core, metrics.NewCounters())
	w.Timeouts = LocalAgentTimeouts(time.Second)
	done := make(chan struct{})
	go func() { defer close(done); w.Run(ctx, EndpointList{Version: 9, Full: true}) }()
	<-core.armed  // of a start that knows no server
	for range 3 { // silence meets each with nothing
		dial, call := <-core.armed, <-core.armed
		if dial.at > w.Timeouts.dial || call.at > w.Timeouts.begin {
			t.Errorf("a dial is given up after %v, a call after %v", dial.at, call.at)
		}
		<-paths
		call.fire()
	}
	<-core.armed
	<-core.armed
	<-paths
	for range 3 { // what the agent says on the connections given up is not heard
		answers <- "503"
	}
	answers <- `{"version":12,"full":true,"servers":[` + server + `]}`
	<-core.lists // the list last known
	if l := <-core.lists; len(l.Endpoints) != 1 {
		t.Errorf("heard %+v", l)
	}
	cancel()
	<-done
}
