package discovery

import (
	"strings"
	"testing"
	"time"

	"linkpass/internal/routing"
)

// After a list of version 0, changes are requested from version 0. A watcher that took it for no version requested the
// complete list again and again.
func TestWatchContinuesFromVersionZero(t *testing.T) {
	targets, answers := make(chan string), make(chan string)
	defer close(answers)
	core := newFakeCore()
	w := newTestWatcher(startTestAgent(t, targets, answers), core)
	cached := Endpoint{ID: "s-1", Addr: "127.0.0.1:9", State: "in_service"}
	stop := runWatcher(t, w, EndpointList{Version: 0, Full: true, Endpoints: []Endpoint{cached}})
	if update := <-core.updates; update.Mode != routing.UpdateCached || len(update.Endpoints) != 1 {
		t.Fatalf("update of the cached list = %+v, want a cached one with 1 endpoint", update)
	}
	next := func(want string) {
		t.Helper()
		if got := <-targets; !strings.HasPrefix(got, want) {
			t.Fatalf("request target = %q, want prefix %q", got, want)
		}
	}
	next("/registry/instances?after=0&wait_ms=")
	answers <- `{"version":0,"full":false,"servers":[]}`
	next("/registry/instances?after=0&wait_ms=")
	answers <- `{"version":2,"full":false,"servers":[` + testEndpointJSON + `]}`
	update := <-core.updates
	e := update.Endpoints[0]
	if update.Mode != routing.UpdateDelta || e.Zone != 1 || e.Cell != 3 || e.StartedAt != 7*time.Millisecond {
		t.Errorf("update = %+v, want a delta whose endpoint has zone 1, cell 3 and start 7ms", update)
	}
	next("/registry/instances?after=2&wait_ms=")
	answers <- `{"version":3,"full":false,"servers":[{"id":"s-2","state":"asleep"}]}`
	next("/registry/instances?") // the complete list replaces an invalid one
	if w.Counters.Get("discovery_bad") != 1 || len(core.updates) != 0 {
		t.Errorf("invalid list: counters %s, want discovery_bad = 1; %d updates, want 0", w.Counters, len(core.updates))
	}
	stop()
}

// A change of address takes effect at once and does not wait for the end of the open long poll.
func TestSetAddressRequestsCompleteListAtOnce(t *testing.T) {
	targets, answers := make(chan string), make(chan string)
	defer close(answers)
	newTargets, newAnswers := make(chan string), make(chan string)
	defer close(newAnswers)
	core := newFakeCore()
	w := newTestWatcher(startTestAgent(t, targets, answers), core)
	stop := runWatcher(t, w, cachedAtVersion9)
	<-core.updates
	<-targets // the call to the old address is never answered
	w.SetAddress("127.0.0.1:1")
	w.SetAddress(startTestAgent(t, newTargets, newAnswers))
	if got := <-newTargets; got != "/registry/instances?" {
		t.Errorf("request target at the new address = %q, want the complete list", got)
	}
	newAnswers <- `{"version":3,"full":true,"servers":[` + testEndpointJSON + `]}`
	if update := <-core.updates; update.Mode != routing.UpdateFull || len(update.Endpoints) != 1 {
		t.Errorf("update = %+v, want a full one with 1 endpoint", update)
	}
	if got := <-newTargets; !strings.HasPrefix(got, "/registry/instances?after=3&") {
		t.Errorf("next request target = %q, want after=3", got)
	}
	stop()
}

// Crossing: a change that is older than the version applied is dropped, and the complete list is requested. That list
// is indented here.
func TestWatchDropsOlderVersion(t *testing.T) {
	targets, answers := make(chan string), make(chan string)
	defer close(answers)
	core := newFakeCore()
	w := newTestWatcher(startTestAgent(t, targets, answers), core)
	stop := runWatcher(t, w, cachedAtVersion9)
	<-core.updates
	<-targets
	answers <- `{"version":8,"full":false,"servers":[` + testEndpointJSON + `]}`
	if got := <-targets; got != "/registry/instances?" || len(core.updates) != 0 {
		t.Errorf("request target after an older version = %q, want the complete list; %d updates, want 0",
			got, len(core.updates))
	}
	indented := strings.ReplaceAll(testEndpointJSON, ",", ",\n      ")
	answers <- "{\r\n  \"version\": 4,\n\t\"full\": true,\n  \"servers\": [\n    " + indented + "\n  ]\n}\n"
	if update := <-core.updates; update.Mode != routing.UpdateFull || len(update.Endpoints) != 1 {
		t.Errorf("update = %+v, want a full one with 1 endpoint", update)
	}
	if got := <-targets; !strings.HasPrefix(got, "/registry/instances?after=4&") {
		t.Errorf("next request target = %q, want after=4", got)
	}
	stop()
}

// If no endpoint is cached or the cached list is invalid, the watcher is ready in time even if discovery does not
// answer.
func TestReadyWithoutEndpoints(t *testing.T) {
	for name, cached := range map[string]EndpointList{
		"empty":   {},
		"invalid": {Endpoints: []Endpoint{{ID: "s-1", State: "asleep"}}},
	} {
		t.Run(name, func(t *testing.T) {
			targets, answers := make(chan string, 1), make(chan string)
			defer close(answers)
			core := newFakeCoreWithDeadlines()
			w := newTestWatcher(startTestAgent(t, targets, answers), core)
			stop := runWatcher(t, w, cached)
			deadline := <-core.armed
			if deadline.at > 9*time.Second {
				t.Errorf("ready after %v, want at most %v", deadline.at, 9*time.Second)
			}
			deadline.fire()
			<-w.Ready()
			stop()
		})
	}
}
