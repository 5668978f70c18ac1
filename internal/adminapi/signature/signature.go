// Package signature signs calls of the admin API and verifies the signatures: a keyed MAC over the method, target, body,
// time and nonce of a call.
//
// A Verifier owns the key ring and the nonces seen, which protect against replay. The package reads no clock, no file and
// no network: callers pass the time in and load the keys.
package signature

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Scheme is the authentication scheme in the Authorization header.
const Scheme = "linkpass-v1"

// maxHeader bounds the Authorization header, in bytes.
const maxHeader = 512

// Call is what a signature covers.
type Call struct {
	Method, Target string // the target with its query
	Body           []byte
}

// Sign returns the Authorization header of a call that is made at a time with a nonce that is never used again.
func Sign(keyID string, key []byte, c Call, at time.Time, nonce string) string {
	ms := strconv.FormatInt(at.UnixMilli(), 10)
	sum := hex.EncodeToString(mac(key, c, ms, nonce))
	return fmt.Sprintf("%s id=%s,time=%s,once=%s,mac=%s", Scheme, keyID, ms, nonce, sum)
}

// mac returns HMAC-SHA-256 (RFC 2104) of the fields. Each has its length as a prefix, so that no two calls encode alike.
func mac(key []byte, c Call, ms, nonce string) []byte {
	h := hmac.New(sha256.New, key)
	body := sha256.Sum256(c.Body)
	for _, field := range []string{Scheme, c.Method, c.Target, ms, nonce, string(body[:])} {
		fmt.Fprintf(h, "%d:%s", len(field), field)
	}
	return h.Sum(nil)
}

// headerFields are the fields of an Authorization header, in the form in which they were signed.
type headerFields struct {
	keyID, ms, nonce, mac string
}

// parseHeader splits an Authorization header. It accepts each of the four fields once and nothing else.
func parseHeader(header string) (headerFields, bool) {
	rest, ok := strings.CutPrefix(header, Scheme+" ")
	if !ok || len(header) > maxHeader {
		return headerFields{}, false
	}
	values := map[string]string{}
	for _, field := range strings.Split(rest, ",") {
		name, value, ok := strings.Cut(field, "=")
		if _, duplicate := values[name]; !ok || duplicate || value == "" {
			return headerFields{}, false
		}
		values[name] = value
	}
	fields := headerFields{keyID: values["id"], ms: values["time"], nonce: values["once"], mac: values["mac"]}
	complete := fields.keyID != "" && fields.ms != "" && fields.nonce != "" && fields.mac != ""
	return fields, complete && len(values) == 4
}
