package reshardexec

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"linkpass/internal/goldentest"
	"linkpass/internal/http1"
)

// pollServer answers polls; nameOf returns the name that the response to a poll repeats, "" for none.
func pollServer(t *testing.T, nameOf func(name string) string) (addr string, accepted chan net.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	body := goldentest.Read(t, "reply.json")
	accepted = make(chan net.Conn, 8)
	go func() {
		for {
			netConn, err := ln.Accept()
			if err != nil {
				return
			}
			accepted <- netConn
			go func() {
				defer netConn.Close()
				r := http1.NewReader(netConn, 1<<20)
				for {
					req, err := r.Request()
					if err != nil {
						return
					}
					res := &http1.Response{Status: 200, Body: body}
					if name := nameOf(req.Header.Get(headerPollName)); name != "" {
						res.Header = map[string][]string{headerPollName: {name}}
					}
					if http1.WriteResponse(netConn, res) != nil {
						return
					}
				}
			}()
		}
	}()
	return ln.Addr().String(), accepted
}

// Guards against a second copy of a report that is taken for the report of the next poll: a connection is reused only if
// the response repeats the name of its poll, and a response to another poll is an error.
func TestPollIsTiedToItsResponse(t *testing.T) {
	for name, c := range map[string]struct {
		nameOf func(string) string
		conns  int // that two polls need
		err    error
	}{
		"named":      {func(name string) string { return name }, 1, nil},
		"not named":  {func(string) string { return "" }, 2, nil},
		"other name": {func(string) string { return "7" }, 2, errForeignResponse},
	} {
		t.Run(name, func(t *testing.T) {
			addr, accepted := pollServer(t, c.nameOf)
			e := New(Config{Timeout: 10 * time.Second})
			var conn *serverConn
			for range 2 {
				var err error
				conn, _, err = e.poller.poll(context.Background(), heldLease(), conn, addr, goldenRequest)
				if !errors.Is(err, c.err) {
					t.Errorf("error = %v, want %v", err, c.err)
				}
			}
			conn.close()
			if n := len(accepted); n != c.conns {
				t.Errorf("two polls took %d connections, want %d", n, c.conns)
			}
		})
	}
}
