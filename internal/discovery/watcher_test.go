package discovery

import (
	"strings"
	"testing"
	"time"

	"linkpass/internal/routing"
)

// Guards against version 0 taken for none: the complete list was requested again and again.
func TestWatchContinuesFromVersionZero(t *testing.T) {
	targets, answers := make(chan string), make(chan string)
	defer close(answers)
	core := newFakeCore()
	w := newTestWatcher(startAgent(t, targets, answers), core)
	cached := Endpoint{ID: "s-1", Addr: "127.0.0.1:9", State: "in_service"}
	stop := runWatcher(t, w, EndpointList{Version: 0, Full: true, Endpoints: []Endpoint{cached}})
	if update := <-core.updates; update.Mode != routing.UpdateCached || len(update.Endpoints) != 1 {
		t.Fatalf("cached list: got %+v", update)
	}
	next := func(want string) {
		t.Helper()
		if got := <-targets; !strings.HasPrefix(got, want) {
			t.Fatalf("requested %q, want %q", got, want)
		}
	}
	next("/registry/instances?after=0&wait_ms=")
	answers <- `{"version":0,"full":false,"servers":[]}`
	next("/registry/instances?after=0&wait_ms=")
	answers <- `{"version":2,"full":false,"servers":[` + testServer + `]}`
	update := <-core.updates
	e := update.Endpoints[0]
	if update.Mode != routing.UpdateDelta || e.Zone != 1 || e.Cell != 3 || e.StartedAt != 7*time.Millisecond {
		t.Errorf("change: got %+v", update)
	}
	next("/registry/instances?after=2&wait_ms=")
	answers <- `{"version":3,"full":false,"servers":[{"id":"s-2","state":"asleep"}]}`
	next("/registry/instances?") // the complete list replaces an invalid one
	if w.Counters.Get("discovery_bad") != 1 || len(core.updates) != 0 {
		t.Errorf("invalid list: counters %s, %d updates", w.Counters, len(core.updates))
	}
	stop()
}

// Guards against a change of address that waits for the end of the open watch.
func TestSetAddressRequestsCompleteListAtOnce(t *testing.T) {
	targets, answers := make(chan string), make(chan string)
	defer close(answers)
	newTargets, newAnswers := make(chan string), make(chan string)
	defer close(newAnswers)
	core := newFakeCore()
	w := newTestWatcher(startAgent(t, targets, answers), core)
	stop := runWatcher(t, w, cachedNine)
	<-core.updates
	<-targets // the watch at the old address is never answered
	w.SetAddress("127.0.0.1:1")
	w.SetAddress(startAgent(t, newTargets, newAnswers))
	if got := <-newTargets; got != "/registry/instances?" {
		t.Errorf("requested %q at the new address", got)
	}
	newAnswers <- `{"version":3,"full":true,"servers":[` + testServer + `]}`
	if update := <-core.updates; update.Mode != routing.UpdateFull || len(update.Endpoints) != 1 {
		t.Errorf("%+v", update)
	}
	if got := <-newTargets; !strings.HasPrefix(got, "/registry/instances?after=3&") {
		t.Errorf("continued with %q", got)
	}
	stop()
}

// Crossing: an older change after a newer one is dropped; the complete list, indented here, follows.
func TestWatchDropsOlderVersion(t *testing.T) {
	targets, answers := make(chan string), make(chan string)
	defer close(answers)
	core := newFakeCore()
	w := newTestWatcher(startAgent(t, targets, answers), core)
	stop := runWatcher(t, w, cachedNine)
	<-core.updates
	<-targets
	answers <- `{"version":8,"full":false,"servers":[` + testServer + `]}`
	if got := <-targets; got != "/registry/instances?" || len(core.updates) != 0 {
		t.Errorf("requested %q after an older version, %d updates", got, len(core.updates))
	}
	indented := strings.ReplaceAll(testServer, ",", ",\n      ")
	answers <- "{\r\n  \"version\": 4,\n\t\"full\": true,\n  \"servers\": [\n    " + indented + "\n  ]\n}\n"
	if update := <-core.updates; update.Mode != routing.UpdateFull || len(update.Endpoints) != 1 {
		t.Errorf("%+v", update)
	}
	if got := <-targets; !strings.HasPrefix(got, "/registry/instances?after=4&") {
		t.Errorf("continued with %q", got)
	}
	stop()
}

// Without a cached endpoint, or with an invalid cached list, the watcher is ready in time though discovery is silent.
func TestReadyWithoutEndpoints(t *testing.T) {
	for name, cached := range map[string]EndpointList{
		"empty":   {},
		"invalid": {Endpoints: []Endpoint{{ID: "s-1", State: "asleep"}}},
	} {
		t.Run(name, func(t *testing.T) {
			targets, answers := make(chan string, 1), make(chan string)
			defer close(answers)
			core := newFakeCoreWithDeadlines()
			w := newTestWatcher(startAgent(t, targets, answers), core)
			stop := runWatcher(t, w, cached)
			deadline := <-core.armed
			if deadline.at > 9*time.Second {
				t.Errorf("ready after %v", deadline.at)
			}
			deadline.fire()
			<-w.Ready()
			stop()
		})
	}
}
