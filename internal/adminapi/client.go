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

	"lukechampine.com/blake3"

	"linkpass/internal/adminapi/signature"
	"linkpass/internal/http1"
)

func sum(data []byte) string {
	h := blake3.Sum256(data)
	return hex.EncodeToString(h[:])
}

// Client asks a coordinator's API, at its socket or, with signed calls, over TCP.
type Client struct {
	Socket  string
	Address string // for TCP; "": the socket
	KeyID   string
	Key     []byte
	Limit   time.Duration    // of one call
	Now     func() time.Time // nil: time.Now
}

// where names what the client calls.
func (c *Client) where() (network, addr string) {
	if c.Address != "" {
		return "tcp", c.Address
	}
	return "unix", c.Socket
}

// sign words the header of a call over TCP; it has none at the socket, whose file says who may call.
func (c *Client) sign(method, target string, body []byte) (textproto.MIMEHeader, error) {
	if c.Address == "" {
		return nil, nil
	}
	var once [16]byte
	if _, err := rand.Read(once[:]); err != nil {
		return nil, fmt.Errorf("a number used once: %w", err)
	}
	now := time.Now
	if c.Now != nil {
		now = c.Now
	}
	return textproto.MIMEHeader{"Authorization": {signature.Sign(c.KeyID, c.Key, signature.Call{Method: method, Target: target, Body: body},
		now(), hex.EncodeToString(once[:]))}}, nil
}

// ErrUnreachable says that no coordinator answers at the socket.
var ErrUnreachable = errors.New("no coordinator answers")

// ResponseError is an answer that says no.
type ResponseError struct {
	Status  int
	Reason  string
	unheard bool // before the call was read
}

// Error is the reason.
func (r *ResponseError) Error() string { return r.Reason }

const maxAnswer = 64 << 20

// Call makes one call; what is not nil takes the answer's JSON.
func (c *Client) Call(method, path string, body []byte, into any) error {
	data, err := c.Raw(method, path, body)
	if err != nil || into == nil {
		return err
	}
	if err := json.Unmarshal(data, into); err != nil {
		return fmt.Errorf("%s %s: the answer: %w", method, path, err)
	}
	return nil
}

// Status asks how the coordinator stands.
func (c *Client) Status() (s Status, err error) {
	err = c.Call("GET", "/status", nil, &s)
	return s, err
}

// Servers asks what the module believes of the servers.
func (c *Client) Servers() (list []Server, err error) {
	err = c.Call("GET", "/servers", nil, &list)
	return list, err
}

// ShardMaps asks for the layouts that can move.
func (c *Client) ShardMaps() (list []IndexShardMap, err error) {
	err = c.Call("GET", "/layouts", nil, &list)
	return list, err
}

// crowdedPause is between two tries where every place of the API is taken: callers that do not
// come to an end give way after a second.
const crowdedPause = 100 * time.Millisecond

// Raw makes one call and gives the answer's body. A call that finds every place taken was never
// heard, whatever it is: it is made again within the limit.
func (c *Client) Raw(method, path string, body []byte) ([]byte, error) {
	for end := time.Now().Add(c.Limit); ; time.Sleep(crowdedPause) {
		data, err := c.once(method, path, body)
		var no *ResponseError
		unheard := errors.As(err, &no) && no.unheard
		// A connection that was closed before its call came is made again where asking twice does no harm.
		unheard = unheard || method == "GET" && (errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ECONNRESET))
		if !unheard || time.Now().Add(crowdedPause).After(end) {
			return data, err
		}
	}
}

func (c *Client) once(method, path string, body []byte) ([]byte, error) {
	header, err := c.sign(method, Version+path, body)
	if err != nil {
		return nil, err
	}
	network, addr := c.where()
	nc, err := net.DialTimeout(network, addr, c.Limit)
	if err != nil {
		return nil, fmt.Errorf("%w at %s: %w", ErrUnreachable, addr, err)
	}
	defer nc.Close()
	if err := nc.SetDeadline(time.Now().Add(c.Limit)); err != nil {
		return nil, fmt.Errorf("%s: %w", addr, err)
	}
	if err := http1.WriteRequest(nc, method, Version+path, "linkpass", header, body); err != nil {
		return nil, fmt.Errorf("%w at %s: %w", ErrUnreachable, addr, err)
	}
	res, err := http1.NewReader(nc, maxAnswer).Response()
	if err != nil {
		return nil, fmt.Errorf("%w at %s within %s: %w", ErrUnreachable, addr, c.Limit, err)
	}
	if res.Status/100 != 2 {
		crowded := res.Status == 503 && len(res.Body) == 0 // the API's own answers say why
		if crowded {
			return nil, &ResponseError{res.Status, "every place of the operators' API is taken", true}
		}
		return nil, &ResponseError{Status: res.Status, Reason: reasonOf(res)}
	}
	return res.Body, nil
}

// reasonOf reads why an answer says no, in the API's words or in the search front's.
func reasonOf(res *http1.Response) string {
	var ours failure
	if json.Unmarshal(res.Body, &ours) == nil && ours.Error != "" {
		return ours.Error
	}
	var front struct {
		Error struct {
			Type, Reason string
		}
	}
	if json.Unmarshal(res.Body, &front) == nil && front.Error.Reason != "" {
		return front.Error.Reason
	}
	if to := res.Header.Get("Location"); to != "" {
		return "another instance leads the store: " + to
	}
	return fmt.Sprintf("status %d: %.200s", res.Status, res.Body)
}
