package emulator_test

import (
	"fmt"
	"testing"
	"time"

	"linkpass/internal/discovery"
	"linkpass/internal/emulator"
)

func startDiscovery(t *testing.T) *emulator.Discovery {
	t.Helper()
	d, err := emulator.NewDiscovery("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	return d
}

func readList(t *testing.T, d *emulator.Discovery, query string) discovery.EndpointList {
	t.Helper()
	got := sendRequest(t, "GET", "http://"+d.Addr()+"/registry/instances"+query, "")
	list, err := discovery.Parse([]byte(got.body))
	if err != nil || got.status != 200 {
		t.Fatalf("response = %+v, parse error = %v, want status 200 and an endpoint list", got, err)
	}
	return list
}

// addEndpoints lists n endpoints, each with an update and thus a version of its own.
func addEndpoints(d *emulator.Discovery, n int) {
	for i := range n {
		d.Update(discovery.Endpoint{ID: fmt.Sprint("s-", i), State: discovery.StateInService})
	}
}

func TestDiscoveryListsChangesSinceVersion(t *testing.T) {
	d := startDiscovery(t)
	addEndpoints(d, 300)
	d.Update(discovery.Endpoint{ID: "s-0", State: discovery.StateTerminated})
	cases := map[string]struct {
		query     string
		full      bool
		endpoints int
	}{
		"full list":                      {"", true, 299},
		"last two versions":              {"?after=300", false, 2},
		"latest version":                 {"?after=302&wait_ms=1", false, 0},
		"version that is still retained": {"?after=46", false, 256},
		"version before the retained":    {"?after=44", true, 299},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			list := readList(t, d, c.query)
			if list.Version != 302 || list.Full != c.full || len(list.Endpoints) != c.endpoints {
				t.Errorf("version = %d, full = %v, endpoints = %d, want version 302, full %v and %d endpoints",
					list.Version, list.Full, len(list.Endpoints), c.full, c.endpoints)
			}
		})
	}
	if got := sendRequest(t, "GET", "http://"+d.Addr()+"/other", ""); got.status != 404 {
		t.Errorf("status of another path = %d, want 404", got.status)
	}
}

func TestWatchReturnsWithNextChange(t *testing.T) {
	d := startDiscovery(t)
	began := time.Now()
	change := time.AfterFunc(50*time.Millisecond, func() { addEndpoints(d, 1) })
	defer change.Stop()
	list := readList(t, d, "?after=1&wait_ms=60000")
	if list.Version != 2 || list.Full || len(list.Endpoints) != 1 || time.Since(began) < 50*time.Millisecond {
		t.Errorf("list = %+v after %s, want one change in version 2 after at least 50ms", list, time.Since(began))
	}
}

func TestFleetListsStates(t *testing.T) {
	fleet, _ := startFleet(t, 2)
	fleet.SetState(fleet.Servers[0], discovery.StateTerminating)
	fleet.SetState(fleet.Servers[1], discovery.StateTerminated)
	fleet.Servers[2].Kill(false)
	if names := fmt.Sprint(fleet.InService()); names != "[s-04]" {
		t.Errorf("servers in service = %s, want [s-04]", names)
	}
	if n := len(fleet.Discovery.EndpointList().Endpoints); n != 3 {
		t.Errorf("endpoints = %d, want 3", n)
	}
}
