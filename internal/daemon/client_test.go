package daemon

import (
	"net"
	"testing"

	"linkpass/internal/http1"
)

// client is an HTTP client with one connection to a front.
type client struct {
	t  *testing.T
	nc net.Conn
	r  *http1.Reader
}

func connect(t *testing.T, addr string) *client {
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	return &client{t, nc, http1.NewReader(nc, 1<<20)}
}

func (c *client) do(method, path, body string, header map[string][]string) *http1.Response {
	c.t.Helper()
	if err := http1.WriteRequest(c.nc, method, path, "test", header, []byte(body)); err != nil {
		c.t.Fatal(err)
	}
	res, err := c.r.Response()
	if err != nil {
		c.t.Fatalf("%s %s: %v", method, path, err)
	}
	return res
}
