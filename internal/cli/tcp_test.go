package cli

import (
	"errors"
	"net"
	"net/textproto"
	"strings"
	"sync"
	"testing"
	"time"

	"linkpass/internal/adminapi"
	"linkpass/internal/adminapi/signature"
	"linkpass/internal/daemon"
	"linkpass/internal/experiment"
	"linkpass/internal/http1"
)

// newTCPClient returns a client that calls the admin API over TCP and signs its calls with the demo's key.
func newTCPClient(t *testing.T, d *experiment.Demo) *adminapi.Client {
	t.Helper()
	ring, err := daemon.ReadKeyRing(d.KeyFile)
	if err != nil {
		t.Fatal(err)
	}
	return &adminapi.Client{Address: d.AdminAPIAddr, KeyID: "demo", Key: ring["demo"], Timeout: 5 * time.Second}
}

func TestSignedCallRejectedWithWrongClock(t *testing.T) {
	c := newTCPClient(t, startDemo(t, 4))
	for _, offset := range []time.Duration{time.Minute, -time.Minute} {
		t.Run(offset.String(), func(t *testing.T) {
			c.Now = func() time.Time { return time.Now().Add(offset) }
			var rejected *adminapi.ResponseError
			err := c.Call("PUT", "/drain", nil, nil)
			if !errors.As(err, &rejected) || rejected.Status != 401 || !strings.Contains(rejected.Reason, "set the clocks") {
				t.Errorf("error = %v, want status 401 with the advice to set the clocks", err)
			}
		})
	}
}

func TestSignedCallRejectedWhenReplayed(t *testing.T) {
	d := startDemo(t, 4)
	key := newTCPClient(t, d).Key
	signed := signature.Sign("demo", key, signature.Call{Method: "PUT", Target: "/v1/drain"}, time.Now(), "once")
	for i, want := range []int{200, 401} {
		nc, err := net.Dial("tcp", d.AdminAPIAddr)
		if err != nil {
			t.Fatal(err)
		}
		defer nc.Close()
		_ = http1.WriteRequest(nc, "PUT", "/v1/drain", "x", textproto.MIMEHeader{"Authorization": {signed}}, nil)
		if res, err := http1.NewReader(nc, 0).Response(); err != nil || res.Status != want {
			t.Errorf("call %d: response %+v, error %v; want status %d", i, res, err, want)
		}
	}
}

// Two clients, one at the socket and one over TCP, drain and activate the coordinator concurrently. Each call returns
// the state that it led to, and the last call determines the final state.
func TestConcurrentDrainAndActivate(t *testing.T) {
	d := startDemo(t, 3)
	clients := []*adminapi.Client{{Socket: d.Socket, Timeout: 5 * time.Second}, newTCPClient(t, d)}
	var wg sync.WaitGroup
	for i, c := range clients {
		wg.Go(func() {
			for n := range 20 {
				path, want := "/drain", "drained"
				if (n+i)%2 == 0 {
					path, want = "/activate", "serving"
				}
				var now map[string]string
				if err := c.Call("PUT", path, nil, &now); err != nil || now["state"] != want {
					t.Errorf("%s: response %v, error %v; want state %s", path, now, err, want)
				}
			}
		})
	}
	wg.Wait()
	for _, path := range []string{"/drain", "/activate"} {
		if err := clients[1].Call("PUT", path, nil, nil); err != nil {
			t.Fatal(err)
		}
	}
	var s adminapi.Status
	if err := clients[0].Call("GET", "/status", nil, &s); err != nil || s.State != "serving" {
		t.Errorf("state after the last activate = %q, error %v; want serving", s.State, err)
	}
}
