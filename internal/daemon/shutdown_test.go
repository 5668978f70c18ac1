package daemon

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"linkpass/internal/http1"
	"linkpass/internal/settings"
)

func TestClientDisconnectAndGracefulShutdown(t *testing.T) {
	b := newTestbed(t, 3)
	b.servers["s-0a"].setMode("silent")
	b.servers["s-0b"].setMode("silent")
	first := connect(t, b.p.fronts.listeners[1].Addr().String())
	_, n := b.partsSince(0)
	if err := first.nc.Close(); err != nil {
		t.Fatal(err)
	}
	second := connect(t, b.p.fronts.listeners[1].Addr().String())
	body := "POST /players/_search HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"
	if _, err := second.nc.Write([]byte(body)); err != nil {
		t.Fatal(err)
	}
	for sent := 0; sent < 3; { // until its parts are sent
		var list []receivedPart
		list, _ = b.partsSince(n)
		sent = len(list)
		time.Sleep(time.Millisecond)
	}
	second.nc.Close()
	for b.p.counters.Get("clients_disconnected") == 0 {
		time.Sleep(time.Millisecond)
	}
	if status, _ := b.query(b.platform, "whole", 15*time.Second, 1, 2); status != 200 {
		t.Errorf("query after a client has disconnected: status = %d, want 200", status)
	}
	slow := connect(t, b.p.admin.bound.listener.Addr().String()) // a caller that never completes its call
	if _, err := slow.nc.Write([]byte("GET /v1")); err != nil {
		t.Fatal(err)
	}
	for b.p.counters.Get("operator_conns") == 0 {
		time.Sleep(time.Millisecond)
	}
	b.stop() // ends although servers and callers are silent; every query is answered
	b.checkInvariants()
	if _, err := b.platform.r.Response(); err == nil {
		t.Error("an idle connection is still open after the program has ended")
	}
}

// The program is stopped while it reads the configuration from a disk that does not answer. The shutdown does not wait
// for the disk, and what is read later changes nothing.
func TestShutdownDoesNotWaitForReload(t *testing.T) {
	b := newTestbed(t, 3)
	path := filepath.Join(t.TempDir(), "config.json")
	t.Setenv("ROUTER_CONFIG", path)
	if err := syscall.Mkfifo(path, 0o600); err != nil {
		t.Fatal(err)
	}
	b.signals <- syscall.SIGHUP
	disk, err := os.OpenFile(path, os.O_WRONLY, 0) // opens once it is being read
	if err != nil {
		t.Fatal(err)
	}
	b.stop()
	if _, err := disk.WriteString("{"); err != nil {
		t.Fatal(err)
	}
	disk.Close()
	b.p.reloader.reloading.Lock() // the reload has ended
	defer b.p.reloader.reloading.Unlock()
	if n := b.p.counters.Get("config_reloaded"); n != 0 {
		t.Errorf("config_reloaded = %d, want 0", n)
	}
}

// Repeated SIGTERM, at each step of the start and of the shutdown, ends the program with exit code 0.
func TestRepeatedSIGTERM(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(`{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"8c1f","known":{"servers":[]},"settings":`+settingsText+`}`), 0o600); err != nil {
		t.Fatal(err)
	}
	t.Setenv("ROUTER_CONFIG", path)
	guard := make(chan os.Signal, 9) // without it a signal that comes before Main listens would end the tests
	signal.Notify(guard, syscall.SIGTERM)
	defer signal.Stop(guard)
	code := make(chan int, 1)
	go func() { code <- Main("../../" + DefaultSearchFile) }()
	for ended := false; !ended; {
		if err := syscall.Kill(os.Getpid(), syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
		<-guard
		select {
		case got := <-code:
			if ended = true; got != 0 {
				t.Errorf("exit code = %d, want 0", got)
			}
		case <-time.After(100 * time.Millisecond): // send it again, at each step of the start and the shutdown
		}
	}
}

// blockedListener is a listener whose connections wait in the backlog until the test releases them.
type blockedListener struct {
	*net.TCPListener
	release chan struct{}
}

func (l blockedListener) Accept() (net.Conn, error) { <-l.release; return l.TCPListener.Accept() }

// Clients have connected and sent a request, but are not accepted yet when the listener is to be closed. They are still
// accepted and answered. If the listener were closed at once, their connections would be reset.
func TestShutdownAcceptsListenBacklog(t *testing.T) {
	b := newTestbed(t, 3)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	blocked := blockedListener{ln.(*net.TCPListener), make(chan struct{})}
	server := &http1.Server{Name: "late", Clock: b.p.core.core, Counters: b.p.counters, MaxConns: 9,
		Handler: http1.HandlerFunc(func(context.Context, time.Duration, *http1.Request) *http1.Response {
			return &http1.Response{Status: 200}
		})}
	done := make(chan struct{})
	go func() { defer close(done); (&boundServer{server, blocked}).run(t.Context()) }()
	var clients []*client
	for range 3 {
		c := connect(t, ln.Addr().String())
		if err := http1.WriteRequest(c.nc, "POST", "/", "x", nil, nil); err != nil {
			t.Fatal(err)
		}
		clients = append(clients, c)
	}
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		closeListeners([]net.Listener{blocked.TCPListener}, nil, func() { close(blocked.release); <-done })
	}()
	<-closed
	for _, c := range clients {
		if res, err := c.r.Response(); err != nil || res.Status != 200 {
			t.Errorf("response %+v, error %v; want status 200", res, err)
		}
	}
	if _, err := net.Dial("tcp", ln.Addr().String()); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("connect after the listener is closed: error %v, want ECONNREFUSED", err)
	}
	server.Stop()
}

// A stop before there is any endpoint list, repeated, ends the program without an error.
func TestShutdownBeforeFirstList(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	cfg := Config{name: fmt.Sprint("n", os.Getpid()), listen: "127.0.0.1:0", discovery: "127.0.0.1:1", seed: 5, memoryMB: 64, sockets: 256}
	var err error
	if cfg.routingSettings, cfg.programSettings, err = settings.ParseJSON([]byte(settingsText)); err != nil {
		t.Fatal(err)
	}
	p, err := Start(cfg)
	if err != nil {
		t.Fatal(err)
	}
	term, stop := context.WithCancel(t.Context())
	stop()
	stop()
	if err := p.Serve(term, nil); err != nil {
		t.Error(err)
	}
	if p.readiness.Ready() {
		t.Error("the program is ready after its end")
	}
}
