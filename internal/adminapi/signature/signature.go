// Package signature signs calls of the admin API and verifies the signatures. A signature is a keyed MAC over the
// method, target, body, time and nonce of a call.
//
// A Verifier owns the key ring and the nonces of accepted calls, which protect against replay. The package does not
// read the clock, files or the network: callers load the keys and pass the time.
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

// maxHeaderBytes is the maximum length of the Authorization header, in bytes.
const maxHeaderBytes = 512

// Call is the part of a request that a signature covers.
type Call struct {
	Method, Target string // Target is the path with the query
	Body           []byte
}

// Sign returns the value of the Authorization header for a call at time at, which is rounded down to milliseconds. The
// caller must never use a nonce twice with the same key.
func Sign(keyID string, key []byte, c Call, at time.Time, nonce string) string {
	unixMillis := strconv.FormatInt(at.UnixMilli(), 10)
	sum := hex.EncodeToString(mac(key, c, unixMillis, nonce))
	return fmt.Sprintf("%s id=%s,time=%s,once=%s,mac=%s", Scheme, keyID, unixMillis, nonce, sum)
}

// mac returns the HMAC-SHA-256 (RFC 2104) of the signed fields. Each field is prefixed with its length, so that
// different calls never have the same encoding.
func mac(key []byte, c Call, unixMillis, nonce string) []byte {
	h := hmac.New(sha256.New, key)
	body := sha256.Sum256(c.Body)
	for _, field := range []string{Scheme, c.Method, c.Target, unixMillis, nonce, string(body[:])} {
		fmt.Fprintf(h, "%d:%s", len(field), field)
	}
	return h.Sum(nil)
}

// headerFields holds the fields of an Authorization header as text, as they were signed.
type headerFields struct {
	keyID, unixMillis, nonce, mac string
}

// parseHeader splits an Authorization header into its fields. It requires each of the four fields exactly once and
// accepts no other fields.
func parseHeader(header string) (headerFields, bool) {
	rest, ok := strings.CutPrefix(header, Scheme+" ")
	if !ok || len(header) > maxHeaderBytes {
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
	fields := headerFields{keyID: values["id"], unixMillis: values["time"], nonce: values["once"], mac: values["mac"]}
	complete := fields.keyID != "" && fields.unixMillis != "" && fields.nonce != "" && fields.mac != ""
	return fields, complete && len(values) == 4
}
