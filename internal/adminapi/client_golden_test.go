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
	exchangeTimeout = 10 * time.Second // ends a test that hangs; nothing is asserted on it
	maxRequestBytes = 1 << 20
)

// exchange answers one call at a socket with a response, and returns the bytes of the request.
func exchange(t *testing.T, response *http1.Response, call func(*Client) error) (request []byte, err error) {
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
		r := http1.NewReader(recorder{nc, &got}, maxRequestBytes)
		if _, err := r.Request(); err == nil {
			_ = http1.WriteResponse(nc, response)
		}
	}()
	err = call(&Client{Socket: socket, Timeout: exchangeTimeout})
	return <-done, err
}

// recorder records what is read.
type recorder struct {
	net.Conn
	got *[]byte
}

func (r recorder) Read(p []byte) (int, error) {
	n, err := r.Conn.Read(p)
	*r.got = append(*r.got, p[:n]...)
	return n, err
}

// The bytes of each request, and the response as the client decodes it.
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
			request, err := exchange(t, response, func(client *Client) (err error) {
				got, err = c.call(client)
				return err
			})
			if err != nil || !reflect.DeepEqual(got, c.want) {
				t.Errorf("got  %+v, %v\nwant %+v", got, err, c.want)
			}
			goldentest.Bytes(t, c.request, request)
		})
	}
}

// requestServerChange sends the golden request to change a server.
func requestServerChange(c *Client) (any, error) {
	body, err := json.Marshal(goldenServerRequest)
	if err != nil {
		return nil, err
	}
	var out ServerResponse
	return &out, c.Call("PUT", "/servers/order", body, &out)
}

// The client reads the reason of the API's errors, of the search front's and of a follower's redirect.
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
			_, err := exchange(t, &c.res, func(client *Client) error {
				return client.Call("GET", "/status", nil, nil)
			})
			var rejected *ResponseError
			if !errors.As(err, &rejected) || rejected.Status != c.res.Status || rejected.Reason != c.reason {
				t.Errorf("got %#v", err)
			}
		})
	}
}

// A signed call has one Authorization header, which the verifier accepts once for the call's method, target with query
// and body.
func TestClientSignsCalls(t *testing.T) {
	key, at := []byte("0123456789abcdef"), time.UnixMilli(1764652800123)
	c := &Client{Address: "127.0.0.1:1", KeyID: "ops-1", Key: key, Now: func() time.Time { return at }}
	header, err := c.sign("PUT", "/v1/store/document?check=true", []byte("body"))
	if err != nil || len(header) != 1 {
		t.Fatalf("%v, %v", header, err)
	}
	verifier := signature.NewVerifier(signature.KeyRing{"ops-1": key}, time.Minute, at)
	signed := &SignedHandler{
		Handler:  Handler{&fixedCoordinator{store: &store.Store{}}},
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
	if res := signed.Serve(context.Background(), 0, req); res.Status != 400 { // admitted: the body is no backup
		t.Errorf("status %d %s", res.Status, res.Body)
	}
	if res := signed.Serve(context.Background(), 0, req); res.Status != 401 {
		t.Errorf("the same call again: status %d %s", res.Status, res.Body)
	}
	fields := strings.Split(strings.TrimPrefix(header.Get("Authorization"), "linkpass-v1 "), ",")
	const nonceBytes = 16
	if len(fields) != 4 || fields[0] != "id=ops-1" || fields[1] != "time=1764652800123" ||
		len(fields[2]) != len("once=")+hex.EncodedLen(nonceBytes) {
		t.Errorf("fields %q", fields)
	}
}
