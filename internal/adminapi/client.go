package adminapi

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/textproto"
	"syscall"
	"time"

	"linkpass/internal/adminapi/signature"
	"linkpass/internal/http1"
)

const (
	// maxResponse bounds a response, in bytes.
	maxResponse = 64 << 20
	// retryPause is the time between two attempts. A caller that does not finish loses its connection after a second, so
	// that a few attempts find a free one.
	retryPause = 100 * time.Millisecond
	// nonceBytes is the length of the number that makes a signed call unique.
	nonceBytes = 16
)

// Client calls a coordinator's API: at its Unix socket or, with signed calls, over TCP. It keeps no connection and may
// be used by many goroutines at a time.
type Client struct {
	Socket  string
	Address string // for TCP; "": the socket
	KeyID   string
	Key     []byte
	Timeout time.Duration    // of one call, its retries included
	Now     func() time.Time // nil: time.Now
}

// Status returns the coordinator's state.
func (c *Client) Status() (s Status, err error) {
	err = c.Call("GET", "/status", nil, &s)
	return s, err
}

// Servers returns the league servers as the coordinator sees them.
func (c *Client) Servers() (list []Server, err error) {
	err = c.Call("GET", "/servers", nil, &list)
	return list, err
}

// ShardMaps returns the shard maps of the indices that have one.
func (c *Client) ShardMaps() (list []IndexShardMap, err error) {
	err = c.Call("GET", "/layouts", nil, &list)
	return list, err
}

// Call makes one call and decodes the response's JSON into a value, unless that is nil.
func (c *Client) Call(method, path string, body []byte, into any) error {
	data, err := c.Raw(method, path, body)
	if err != nil || into == nil {
		return err
	}
	if err := json.Unmarshal(data, into); err != nil {
		return fmt.Errorf("%s %s: decode response: %w", method, path, err)
	}
	return nil
}

// Raw makes one call and returns the response's body. Until the client's limit it retries a call that was certainly not
// processed, and an idempotent one whose connection was reset.
func (c *Client) Raw(method, path string, body []byte) ([]byte, error) {
	deadline := time.Now().Add(c.Timeout)
	for {
		data, err := c.attempt(method, path, body)
		if !retryable(method, err) || time.Now().Add(retryPause).After(deadline) {
			return data, err
		}
		time.Sleep(retryPause)
	}
}

// retryable tells whether a call may be made again after an error.
func retryable(method string, err error) bool {
	var rejected *ResponseError
	if errors.As(err, &rejected) && rejected.notProcessed {
		return true
	}
	reset := errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ECONNRESET)
	return method == "GET" && reset
}

// attempt makes one attempt of a call on a connection of its own.
func (c *Client) attempt(method, path string, body []byte) ([]byte, error) {
	target := Version + path
	header, err := c.sign(method, target, body)
	if err != nil {
		return nil, err
	}
	network, addr := c.endpoint()
	nc, err := net.DialTimeout(network, addr, c.Timeout)
	if err != nil {
		return nil, fmt.Errorf("%w at %s: %w", ErrUnreachable, addr, err)
	}
	defer nc.Close()
	if err := nc.SetDeadline(time.Now().Add(c.Timeout)); err != nil {
		return nil, fmt.Errorf("%s: set deadline: %w", addr, err)
	}
	if err := http1.WriteRequest(nc, method, target, "linkpass", header, body); err != nil {
		return nil, fmt.Errorf("%w at %s: %w", ErrUnreachable, addr, err)
	}
	res, err := http1.NewReader(nc, maxResponse).Response()
	if err != nil {
		return nil, fmt.Errorf("%w at %s within %s: %w", ErrUnreachable, addr, c.Timeout, err)
	}
	if res.Status/100 != 2 {
		return nil, newResponseError(res)
	}
	return res.Body, nil
}

// endpoint returns the network and the address to dial.
func (c *Client) endpoint() (network, addr string) {
	if c.Address != "" {
		return "tcp", c.Address
	}
	return "unix", c.Socket
}

// sign returns the header of a call over TCP. A call at the socket has none: the socket's file mode controls access.
func (c *Client) sign(method, target string, body []byte) (textproto.MIMEHeader, error) {
	if c.Address == "" {
		return nil, nil
	}
	var nonce [nonceBytes]byte
	if _, err := rand.Read(nonce[:]); err != nil {
		return nil, fmt.Errorf("sign %s %s: nonce: %w", method, target, err)
	}
	now := time.Now
	if c.Now != nil {
		now = c.Now
	}
	call := signature.Call{Method: method, Target: target, Body: body}
	value := signature.Sign(c.KeyID, c.Key, call, now(), hex.EncodeToString(nonce[:]))
	return textproto.MIMEHeader{"Authorization": {value}}, nil
}
