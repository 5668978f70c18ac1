package daemon

import (
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"linkpass/internal/http1"
)

// SIGHUP does not end the program but reloads the configuration. A new address of discovery takes effect at once. A
// configuration that can't be read changes nothing.
func TestReloadFollowsDiscoveryAddress(t *testing.T) {
	signals := NotifySignals()
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	if sig := <-signals; sig != syscall.SIGHUP {
		t.Errorf("signal %v, want SIGHUP", sig)
	}
	b := newTestbed(t, 3)
	path := filepath.Join(t.TempDir(), "config.json")
	t.Setenv("ROUTER_CONFIG", path)
	t.Setenv("ROUTER_DISCOVERY", b.addr) // the same as at the start
	queries := make(chan string)
	newAddr := listenLocal(t, func(nc net.Conn) {
		r := http1.NewReader(nc, 0)
		for {
			req, err := r.Request()
			if err != nil {
				return
			}
			queries <- req.Query
			_ = http1.WriteResponse(nc, &http1.Response{Status: 200, Body: []byte(`{"version":7,"full":false,"servers":[]}`)})
		}
	})
	write := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		b.signals <- syscall.SIGHUP
	}
	write("{")
	for b.p.counters.Get("config_invalid") == 0 { // the file is read before the next one is written
		time.Sleep(time.Millisecond)
	}
	write(`{"name":"n0","listen":"127.0.0.1:1","discovery":"` + newAddr + `","seed":"8c1f","known":{"servers":[]},"settings":` + settingsText + `}`)
	if got := <-queries; got != "" {
		t.Errorf("first query at the new address %q, want none, for the whole list", got)
	}
	if got := <-queries; !strings.HasPrefix(got, "after=7&") {
		t.Errorf("second query at the new address %q, want a watch after version 7", got)
	}
	go func() {
		for range queries {
		}
	}()
	if status, _ := b.query(b.platform, "whole", 15*time.Second, 0, 1, 2); status != 200 {
		t.Errorf("query after the reload: status = %d, want 200", status)
	}
	if b.p.counters.Get("config_invalid") != 1 || b.p.counters.Get("config_reloaded") != 1 {
		t.Errorf("counters %s; want config_invalid = 1 and config_reloaded = 1", b.p.counters)
	}
	b.checkInvariants()
}

// SIGHUP during the shutdown reloads a configuration with another address of discovery. Requests in flight are still
// routed by the endpoint list, so the watch continues at the new address. A file that can't be used changes nothing.
func TestReloadDuringShutdown(t *testing.T) {
	b := newTestbed(t, 3)
	path := filepath.Join(t.TempDir(), "config.json")
	t.Setenv("ROUTER_CONFIG", path)
	b.servers["s-0a"].setMode("wait")
	b.servers["s-0b"].setMode("wait")
	answered := make(chan int)
	go func() { status, _ := b.query(b.platform, "whole", 15*time.Second, 0); answered <- status }()
	for n := 0; n == 0; _, n = b.partsSince(0) {
		time.Sleep(time.Millisecond)
	}
	stopped := make(chan struct{})
	go func() { defer close(stopped); b.stop() }()
	for b.p.readiness.Ready() {
		time.Sleep(time.Millisecond)
	}
	watched := make(chan struct{}, 1)
	newAddr := listenLocal(t, func(nc net.Conn) {
		for r := http1.NewReader(nc, 0); ; {
			if _, err := r.Request(); err != nil {
				return
			}
			select {
			case watched <- struct{}{}:
			default:
			}
			_ = http1.WriteResponse(nc, &http1.Response{Status: 200, Body: []byte(`{"version":7,"full":false,"servers":[]}`), Close: true})
		}
	})
	for _, text := range []string{"{", `{"name":"n0","listen":"127.0.0.1:1","discovery":"` + newAddr + `","seed":"8c1f","known":{"servers":[]},"settings":` + settingsText + `}`} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		select {
		case b.signals <- syscall.SIGHUP:
		case <-time.After(10 * time.Second):
			t.Fatal("SIGHUP was not received within 10 s")
		}
		for b.p.counters.Get("config_invalid") == 0 {
			time.Sleep(time.Millisecond)
		}
	}
	<-watched
	b.servers["s-0a"].setMode("go")
	b.servers["s-0b"].setMode("go")
	if status := <-answered; status != 200 {
		t.Errorf("query in flight at the shutdown: status = %d, want 200", status)
	}
	<-stopped
	if n := b.p.counters.Get("discovery_moved"); n != 1 {
		t.Errorf("discovery_moved = %d, want 1", n)
	}
}
