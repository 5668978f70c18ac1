package adminapi

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"errors"
	"net"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"linkpass/internal/adminapi/signature"
	"linkpass/internal/goldentest"
	"linkpass/internal/http1"
	"linkpass/internal/metrics"
	"linkpass/internal/store"
)

const (
	exchangeTimeout = 10 * time.Second // ends a test that hangs; no check depends on it
	maxRequestBytes = 1 << 20
)

// serveOnce serves one call on a Unix socket with the given response. It returns the bytes of the request and the
// error of the call.
func serveOnce(t *testing.T, response *http1.Response, call func(*Client) error) (request []byte, err error) {
	t.Helper()
	socket := filepath.Join(t.TempDir(), "s")
	ln, err := net.Listen("unix", socket)
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	done := make(chan []byte, 1)
	go func() {
		var got []byte
		defer func() { done <- got }()
		nc, err := ln.Accept()
		if err != nil {
			return
		}
		defer nc.Close()
		_ = nc.SetDeadline(time.Now().Add(exchangeTimeout))
		r := http1.NewReader(recordingConn{nc, &got}, maxRequestBytes)
		if _, err := r.Request(); err == nil {
			_ = http1.WriteResponse(nc, response)
		}
	}()
	err = call(&Client{Socket: socket, Timeout: exchangeTimeout})
	return <-done, err
}

// recordingConn is a connection that appends all bytes read from it to got.
type recordingConn struct {
	net.Conn
	got *[]byte
}

func (r recordingConn) Read(p []byte) (int, error) {
	n, err := r.Conn.Read(p)
	*r.got = append(*r.got, p[:n]...)
	return n, err
}

// The client sends the bytes of the golden request and decodes the golden response.
func TestClientRequestsGolden(t *testing.T) {
	for _, c := range []struct {
		name, request, response string
		call                    func(*Client) (any, error)
		want                    any
	}{
		{"status", "client_status.http", "status_response.json",
			func(c *Client) (any, error) { return c.Status() }, goldenStatus},
		{"servers", "client_servers.http", "servers_response.json",
			func(c *Client) (any, error) { return c.Servers() }, goldenServers},
		{"layouts", "client_layouts.http", "layouts_response.json",
			func(c *Client) (any, error) { return c.ShardMaps() }, goldenShardMaps},
		{"server order", "client_server_order.http", "server_order_response.json",
			requestServerChange, &goldenServerResponse},
	} {
		t.Run(c.name, func(t *testing.T) {
			response := &http1.Response{Status: 200, Body: goldentest.Read(t, c.response)}
			var got any
			request, err := serveOnce(t, response, func(client *Client) (err error) {
				got, err = c.call(client)
				return err
			})
			if err != nil || !reflect.DeepEqual(got, c.want) {
				t.Errorf("got  %+v, %v\nwant %+v, <nil>", got, err, c.want)
			}
			goldentest.Bytes(t, c.request, request)
		})
	}
}

// requestServerChange sends the golden request for a server change and returns the decoded response.
func requestServerChange(c *Client) (any, error) {
	body, err := json.Marshal(goldenServerRequest)
	if err != nil {
		return nil, err
	}
	var out ServerResponse
	return &out, c.Call("PUT", "/servers/order", body, &out)
}

// The client returns the reason in an error of the API, in an error of the search front and in a follower's redirect.
func TestClientReadsErrorBodies(t *testing.T) {
	for _, c := range []struct {
		name   string
		res    http1.Response
		reason string
	}{
		{
			"error of the API",
			http1.Response{Status: 409, Body: goldentest.Read(t, "error_response.json")},
			"no such server",
		},
		{
			"error of the search front",
			http1.Response{Status: 400, Body: goldentest.Read(t, "search_error_response.json")},
			"no settings to update",
		},
		{
			"redirect",
			http1.Response{
				Status: 307,
				Header: map[string][]string{"Location": {"http://127.0.0.1:9200/_cluster/settings"}},
			},
			"another instance leads the store: http://127.0.0.1:9200/_cluster/settings",
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := serveOnce(t, &c.res, func(client *Client) error {
				return client.Call("GET", "/status", nil, nil)
			})
			var rejected *ResponseError
			if !errors.As(err, &rejected) || rejected.Status != c.res.Status || rejected.Reason != c.reason {
				t.Errorf("error = %#v, want status %d and reason %q", err, c.res.Status, c.reason)
			}
		})
	}
}

// A signed call has one header, Authorization. The verifier accepts it once, for the method, the target with its query
// and the body of the call.
func TestClientSignsCalls(t *testing.T) {
	key, at := []byte("0123456789abcdef"), time.UnixMilli(1764652800123)
	c := &Client{Address: "127.0.0.1:1", KeyID: "ops-1", Key: key, Now: func() time.Time { return at }}
	header, err := c.sign("PUT", "/v1/store/document?check=true", []byte("body"))
	if err != nil || len(header) != 1 {
		t.Fatalf("sign = %v, %v; want one header", header, err)
	}
	verifier := signature.NewVerifier(signature.KeyRing{"ops-1": key}, time.Minute, at)
	signed := &SignedHandler{
		Handler:  Handler{&fakeCoordinator{store: &store.Store{}}},
		Counters: metrics.NewCounters(),
		Verify: func(header string, call signature.Call) error {
			_, err := verifier.Verify(at, header, call)
			return err
		},
	}
	req := &http1.Request{
		Method: "PUT",
		Path:   "/v1/store/document",
		Query:  "check=true",
		Header: header,
		Body:   []byte("body"),
	}
	if res := signed.Serve(context.Background(), 0, req); res.Status != 400 { // accepted, but the body is not a backup
		t.Errorf("first call: status = %d %s, want 400", res.Status, res.Body)
	}
	if res := signed.Serve(context.Background(), 0, req); res.Status != 401 {
		t.Errorf("repeated call: status = %d %s, want 401", res.Status, res.Body)
	}
	fields := strings.Split(strings.TrimPrefix(header.Get("Authorization"), "linkpass-v1 "), ",")
	const nonceBytes = 16
	if len(fields) != 4 || fields[0] != "id=ops-1" || fields[1] != "time=1764652800123" ||
		len(fields[2]) != len("once=")+hex.EncodedLen(nonceBytes) {
		t.Errorf("fields = %q, want id=ops-1, time=1764652800123, a nonce of %d bytes and a MAC", fields, nonceBytes)
	}
}
