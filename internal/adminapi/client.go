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
	// maxResponseBytes is the maximum size of a response, in bytes.
	maxResponseBytes = 64 << 20
	// retryInterval is the time between two attempts of a call. The server evicts a client that has not completed its
	// request after a second, so that a few attempts find a free connection.
	retryInterval = 100 * time.Millisecond
	// nonceBytes is the length of the random nonce that makes a signed call unique, in bytes.
	nonceBytes = 16
)

// Client calls a coordinator's API through its Unix socket or, with signed calls, over TCP. Each attempt of a call uses
// a connection of its own. A Client is safe for concurrent use.
type Client struct {
	Socket  string           // path of the Unix socket; unused if Address is set
	Address string           // TCP address, host:port; "": use Socket
	KeyID   string           // id of Key in the coordinator's key ring; for TCP
	Key     []byte           // signs the calls over TCP
	Timeout time.Duration    // limits one call, including its retries
	Now     func() time.Time // clock for signatures; nil: time.Now
}

// Status returns the coordinator's state.
func (c *Client) Status() (s Status, err error) {
	err = c.Call("GET", "/status", nil, &s)
	return s, err
}

// Servers returns the league servers as the coordinator sees them. If its event loop does not answer in time, the
// error is a ResponseError with status 503.
func (c *Client) Servers() (list []Server, err error) {
	err = c.Call("GET", "/servers", nil, &list)
	return list, err
}

// ShardMaps returns the shard maps of the indices that have one, each with at most MaxShards shards and plans.
func (c *Client) ShardMaps() (list []IndexShardMap, err error) {
	err = c.Call("GET", "/layouts", nil, &list)
	return list, err
}

// Call makes one call and decodes the JSON of the response into the value that into points to. If into is nil, the body
// is ignored. The path starts with a slash and does not include Version. For errors see Raw.
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

// Raw makes one call and returns the body of the response. Within Timeout, it retries a call that was certainly not
// processed, and an idempotent call whose connection was reset. The error wraps ErrUnreachable if no coordinator
// answers, or is a ResponseError if the status is not 2xx.
func (c *Client) Raw(method, path string, body []byte) ([]byte, error) {
	deadline := time.Now().Add(c.Timeout)
	for {
		data, err := c.attempt(method, path, body)
		if !retryable(method, err) || time.Now().Add(retryInterval).After(deadline) {
			return data, err
		}
		time.Sleep(retryInterval)
	}
}

// retryable reports whether a call may be repeated after an error. Only GET calls are treated as idempotent.
func retryable(method string, err error) bool {
	var rejected *ResponseError
	if errors.As(err, &rejected) && rejected.notProcessed {
		return true
	}
	reset := errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ECONNRESET)
	return method == "GET" && reset
}

// attempt makes one attempt of a call on a new connection.
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
	res, err := http1.NewReader(nc, maxResponseBytes).Response()
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

// sign returns the Authorization header of a call over TCP. A call through the socket has none, as the file mode of the
// socket controls access.
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
