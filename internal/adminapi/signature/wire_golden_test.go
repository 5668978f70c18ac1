package signature

import (
	"errors"
	"strings"
	"testing"
	"time"

	"linkpass/internal/goldentest"
)

const (
	goldenKeyID = "ops-1"
	goldenNonce = "00112233445566778899aabbccddeeff"
)

var (
	goldenKey  = []byte("0123456789abcdef0123456789abcdef")
	goldenTime = time.UnixMilli(1764652800123)
)

// goldenCalls are the signed calls. Each file holds the value of the call's Authorization header.
var goldenCalls = []struct {
	file string
	call Call
}{
	{"get.txt", Call{Method: "GET", Target: "/v1/status"}},
	{"get_query.txt", Call{Method: "GET", Target: "/v1/store/document?read=stale&max_age=2s"}},
	{"put_body.txt", Call{Method: "PUT", Target: "/v1/servers/order", Body: []byte(`{"server":"s-1","verb":"drain"}`)}},
}

func TestSignatureGolden(t *testing.T) {
	for _, c := range goldenCalls {
		t.Run(c.file, func(t *testing.T) {
			goldentest.Bytes(t, c.file, []byte(Sign(goldenKeyID, goldenKey, c.call, goldenTime, goldenNonce)))
		})
	}
}

func TestVerifierAcceptsGoldenSignature(t *testing.T) {
	for _, c := range goldenCalls {
		t.Run(c.file, func(t *testing.T) {
			header := string(goldentest.Read(t, c.file))
			v := NewVerifier(KeyRing{goldenKeyID: goldenKey}, time.Minute, goldenTime)
			id, err := v.Verify(goldenTime.Add(time.Second), header, c.call)
			if err != nil || id != goldenKeyID {
				t.Fatalf("key id = %q, error %v; want %q", id, err, goldenKeyID)
			}
			if _, err := v.Verify(goldenTime.Add(time.Second), header, c.call); !errors.Is(err, ErrReplayed) {
				t.Errorf("second use: error %v, want %v", err, ErrReplayed)
			}
		})
	}
}

func TestVerifierRejectsChangedGoldenSignature(t *testing.T) {
	const file = "put_body.txt"
	header := string(goldentest.Read(t, file))
	call := goldenCalls[2].call
	for _, c := range []struct {
		name   string
		header string
		call   Call
		want   error
	}{
		{"other method", header, Call{"POST", call.Target, call.Body}, ErrInvalidSignature},
		{"other target", header, Call{call.Method, call.Target + "?", call.Body}, ErrInvalidSignature},
		{"other body", header, Call{call.Method, call.Target, append([]byte(" "), call.Body...)}, ErrInvalidSignature},
		{"other time", strings.Replace(header, "123,", "124,", 1), call, ErrInvalidSignature},
		{"other nonce", strings.Replace(header, "once=00", "once=01", 1), call, ErrInvalidSignature},
		{"other key id", strings.Replace(header, "id=ops-1", "id=ops-2", 1), call, ErrInvalidSignature},
		{"other scheme", strings.Replace(header, "linkpass-v1", "linkpass-v2", 1), call, ErrUnsigned},
		{"no nonce", strings.Replace(header, ",once="+goldenNonce, "", 1), call, ErrUnsigned},
		{"renamed field", strings.Replace(header, "once=", "nonce=", 1), call, ErrUnsigned},
	} {
		t.Run(c.name, func(t *testing.T) {
			v := NewVerifier(KeyRing{goldenKeyID: goldenKey}, time.Minute, goldenTime)
			if _, err := v.Verify(goldenTime, c.header, c.call); !errors.Is(err, c.want) {
				t.Errorf("error = %v, want %v", err, c.want)
			}
		})
	}
}
