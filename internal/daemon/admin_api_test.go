package daemon

import (
	"errors"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"linkpass/internal/admin"
	"linkpass/internal/adminapi"
)

// A socket file left by a crash is replaced. One that a process listens at is not, nor is a file of another kind.
func TestListenSocketReplacesStaleFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "deep", "linkpass.sock")
	first, err := listenSocket(path)
	if err != nil {
		t.Fatal(err)
	}
	if info, err := os.Stat(path); err != nil || info.Mode().Perm() != 0o600 {
		t.Errorf("file %v, error %v; want mode 0600", info, err)
	}
	_, err = listenSocket(path)
	if !errors.Is(err, errSocketInUse) || !strings.Contains(err.Error(), "another process listens at "+path) {
		t.Errorf("error %v, want errSocketInUse with the path", err)
	}
	first.(*net.UnixListener).SetUnlinkOnClose(false) // as a crash would
	first.Close()
	second, err := listenSocket(path)
	if err != nil {
		t.Fatal(err)
	}
	second.Close()
	if err := os.MkdirAll(filepath.Join(path, "full"), 0o700); err != nil {
		t.Fatal(err)
	}
	if _, err := listenSocket(path); err == nil {
		t.Error("listening at a directory that is not empty succeeded, want an error")
	}
}

// Slow callers on every connection of the admin listener block neither the admin API nor, for long, the listener.
func TestStatusWhileAdminListenerIsFlooded(t *testing.T) {
	socket := filepath.Join(t.TempDir(), "api.sock")
	b := newTestbed(t, 3, func(c *Config) { c.adminListen, c.Search.Operator.Socket = "127.0.0.1:0", socket })
	b.awaitReady()
	for range 3 * admin.MaxConns {
		nc, err := net.Dial("tcp", b.p.admin.bound.listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer nc.Close()
		_, _ = io.WriteString(nc, "GET /v1/rea") // fails on those that were evicted already
	}
	if s, err := (&adminapi.Client{Socket: socket, Timeout: 10 * time.Second}).Status(); err != nil || s.State != "serving" {
		t.Errorf("status %+v, error %v; want state serving", s, err)
	}
	// A caller that has begun a request keeps its connection for a second; then it is evicted.
	for connect(t, b.p.admin.bound.listener.Addr().String()).do("GET", "/v1/readyz", "", nil).Status != 200 {
		time.Sleep(10 * time.Millisecond)
	}
}
