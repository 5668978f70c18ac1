package daemon

import (
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"linkpass/internal/http1"
)

// sharedSocket returns a change of the configuration that makes a program listen at a socket of the platform's, with
// its files in one directory, as the processes of an upgrade do.
func sharedSocket(t *testing.T) (change func(*Config), addr string) {
	t.Helper()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { socket.Close() })
	dir := t.TempDir()
	return func(c *Config) {
		t.Setenv("TMPDIR", dir)
		f, err := socket.(*net.TCPListener).File()
		if err != nil {
			t.Fatal(err)
		}
		defer f.Close()
		if c.listenFD, err = syscall.Dup(int(f.Fd())); err != nil {
			t.Fatal(err)
		}
	}, socket.Addr().String()
}

// Guards against a new process that hangs if it cannot start beside the old one, which has sent it its share of the
// limits meanwhile: its start must fail.
func TestFailedStartBesideOtherProcessEnds(t *testing.T) {
	same, _ := sharedSocket(t)
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	b := newTestbed(t, 1, same)
	for range 20 {
		cfg := b.p.cfg
		cfg.adminListen = taken.Addr().String()
		same(&cfg)
		failed := make(chan error, 1)
		go func() {
			_, err := Start(cfg)
			failed <- err
		}()
		select {
		case err := <-failed:
			if err == nil {
				t.Fatal("a start with an address in use succeeded")
			}
		case <-time.After(10 * time.Second):
			t.Fatal("a start that cannot succeed hangs")
		}
	}
}

// namedQuery returns a request with the given name, as it is written.
func namedQuery(name string) string {
	const body = `{"parts":[{"id":0,"w":1}],"expr":"c41e"}`
	var b strings.Builder
	_ = http1.WriteRequest(&b, "POST", "/whole", "test",
		map[string][]string{"X-Request-Id": {name}, "X-Timeout-Ms": {"15000"}}, []byte(body))
	return b.String()
}

// partsNamed returns how many parts of the query of that name the servers have received.
func (f *fleet) partsNamed(name string) (n int) {
	parts, _ := f.partsSince(0)
	for _, p := range parts {
		if strings.HasPrefix(p.name, name+".") {
			n++
		}
	}
	return n
}

// Guards against an id that runs twice (report 9bf5e0): it comes again after its client has left, at the same process
// and at the other process of an upgrade. Neither sends it to a server again.
func TestNameOfClientThatLeftRunsAtNoProcess(t *testing.T) {
	same, addr := sharedSocket(t)
	b := newTestbed(t, 3, same)
	b.awaitReady()
	b.servers["s-0a"].setMode("wait")
	b.servers["s-0b"].setMode("wait")
	first := connect(t, addr)
	_, _ = io.WriteString(first.nc, namedQuery("left"))
	for b.partsNamed("left") == 0 {
		time.Sleep(time.Millisecond)
	}
	_ = first.nc.Close()
	for b.p.counters.Get("clients_disconnected") == 0 {
		time.Sleep(time.Millisecond)
	}
	sent := b.partsNamed("left")
	successor := newTestbed(t, 3, same)
	successor.awaitReady()
	for name, p := range map[string]*Program{"the same process": b.p, "the other process": successor.p} {
		handler := p.fronts.handler("platform")
		req, err := http1.NewReader(strings.NewReader(namedQuery("left")), 0).Request()
		if err != nil {
			t.Fatal(err)
		}
		if res := handler.Serve(t.Context(), p.core.core.Now(), req); res.Status != 409 {
			t.Errorf("%s: status = %d, want 409", name, res.Status)
		}
	}
	if again := b.partsNamed("left") + successor.partsNamed("left"); again != sent {
		t.Errorf("%d parts were sent, %d of them after the client had left", again, again-sent)
	}
	b.servers["s-0a"].setMode("")
	b.servers["s-0b"].setMode("")
}

// Guards against requests that are sent on for a client that has left with much still unread (report 9bf5e0): it sends
// many queries at once and closes; none of those behind the first one reaches a server.
func TestNothingIsSentForClientThatLeftWithMuchUnread(t *testing.T) {
	b := newTestbed(t, 3)
	b.awaitReady()
	b.servers["s-0a"].setMode("wait")
	b.servers["s-0b"].setMode("wait")
	c := connect(t, b.p.fronts.addrs()[0].String())
	_, _ = io.WriteString(c.nc, namedQuery("first"))
	for b.partsNamed("first") == 0 {
		time.Sleep(time.Millisecond)
	}
	var behind strings.Builder
	for i := 0; behind.Len() < 300<<10; i++ { // more than is read ahead and than the socket's buffer holds
		behind.WriteString(namedQuery(fmt.Sprint("behind", i)))
	}
	_, _ = io.WriteString(c.nc, behind.String())
	_ = c.nc.Close()
	time.Sleep(200 * time.Millisecond) // of which nothing may be sent for the client in the last 100 ms
	b.servers["s-0a"].setMode("")
	b.servers["s-0b"].setMode("")
	ended := func() int64 {
		return b.p.counters.Get("platform_unread") + b.p.counters.Get("platform_closed_before_service") + b.p.counters.Get("platform_closed_by_client")
	}
	for ended() == 0 && b.partsNamed("behind0") == 0 {
		time.Sleep(time.Millisecond)
	}
	if status, _ := b.query(b.platform, "whole", 15*time.Second, 0); status != 200 {
		t.Errorf("query of another client: status = %d, want 200", status)
	}
	parts, _ := b.partsSince(0)
	for _, p := range parts {
		if strings.HasPrefix(p.name, "behind") {
			t.Fatalf("part %s was sent for a client that had left", p.name)
		}
	}
}
