// Package signature signs calls of the operators' API and checks the signatures: a keyed MAC over method, target, body,
// time and a number used once. It touches no clock and no file, and decides alone whether a call is let in.
package signature

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Scheme begins the value of the header Authorization.
const Scheme = "linkpass-v1"

const (
	// MinKey is the length of the shortest key, in bytes.
	MinKey = 16
	// MaxKey is the length of the longest key, in bytes.
	MaxKey = 64
	// MaxKeys bounds a ring.
	MaxKeys = 64
	// MaxSeen bounds the calls remembered against replay; past it calls are refused, as none may be forgotten.
	MaxSeen = 4096
)

// Ring is keys by their ids.
type Ring map[string][]byte

// Check tells what is wrong with a ring.
func (r Ring) Check() error {
	if len(r) == 0 || len(r) > MaxKeys {
		return fmt.Errorf("%d keys: from 1 to %d are needed", len(r), MaxKeys)
	}
	for _, id := range slices.Sorted(maps.Keys(r)) {
		if id == "" || len(id) > 64 || strings.ContainsAny(id, " ,=\"\r\n\t") {
			return fmt.Errorf("key %.80q: an id has 1 to 64 letters, without blanks, commas, quotes and =", id)
		}
		if n := len(r[id]); n < MinKey || n > MaxKey {
			return fmt.Errorf("key %s has %d bytes: from %d to %d are needed", id, n, MinKey, MaxKey)
		}
	}
	return nil
}

// Call is what a signature covers.
type Call struct {
	Method, Target string // the target with its query
	Body           []byte
}

// Sign is the value of Authorization for a call made at a time under a number that is never used again.
func Sign(id string, key []byte, c Call, at time.Time, once string) string {
	ms := strconv.FormatInt(at.UnixMilli(), 10)
	return fmt.Sprintf("%s id=%s,time=%s,once=%s,mac=%s", Scheme, id, ms, once, hex.EncodeToString(mac(key, c, ms, once)))
}

// mac is HMAC-SHA-256 (RFC 2104) over the fields, each with its length before it, so that no two calls are worded alike.
func mac(key []byte, c Call, ms, once string) []byte {
	h := hmac.New(sha256.New, key)
	body := sha256.Sum256(c.Body)
	for _, field := range []string{Scheme, c.Method, c.Target, ms, once, string(body[:])} {
		fmt.Fprintf(h, "%d:%s", len(field), field)
	}
	return h.Sum(nil)
}

// Why a call is not let in.
var (
	ErrUnsigned = errors.New("the call is not signed")
	ErrForged   = errors.New("the signature is none of a key known here") // or of a call that was changed
	ErrTime     = errors.New("the call's time is off")
	ErrReplayed = errors.New("the call was made before")
	ErrCrowded  = errors.New("too many signed calls at a time")
)

// Verifier checks calls. One goroutine at a time uses it.
type Verifier struct {
	keys   Ring
	window time.Duration
	start  time.Time
	seen   map[string]time.Time // calls by key and number, to the time when they are too old to be taken again
}

// NewVerifier takes calls whose time differs from now by window at most, and none from before its own start, as it does
// not know what was seen then.
func NewVerifier(keys Ring, window time.Duration, start time.Time) *Verifier {
	return &Verifier{keys: keys, window: window, start: start, seen: map[string]time.Time{}}
}

// Keys replaces the keys; what was signed by one that is gone is no longer let in.
func (v *Verifier) Keys(keys Ring) { v.keys = keys }

// Check lets a call in, once, and tells whose key signed it.
func (v *Verifier) Check(now time.Time, header string, c Call) (id string, err error) {
	f, ok := parse(header)
	if !ok {
		return "", ErrUnsigned
	}
	key, known := v.keys[f["id"]]
	got, err := hex.DecodeString(f["mac"])
	// The MAC is made for an unknown key too: how long it takes tells nothing.
	if same := hmac.Equal(got, mac(key, c, f["time"], f["once"])); !same || !known || err != nil {
		return "", ErrForged
	}
	ms, err := strconv.ParseInt(f["time"], 10, 64)
	if err != nil {
		return "", ErrUnsigned
	}
	at := time.UnixMilli(ms)
	if off := at.Sub(now); off.Abs() > v.window {
		return "", fmt.Errorf("%w by %s, %s at most is taken: set the clocks", ErrTime, off.Abs().Round(time.Millisecond), v.window)
	}
	if at.Before(v.start.Truncate(time.Millisecond)) {
		return "", fmt.Errorf("%w: it was signed before this process began", ErrTime)
	}
	return f["id"], v.note(now, f["id"]+" "+f["once"], at)
}

// note remembers a call for as long as its time would let it in.
func (v *Verifier) note(now time.Time, name string, at time.Time) error {
	if _, again := v.seen[name]; again {
		return ErrReplayed
	}
	if len(v.seen) >= MaxSeen {
		maps.DeleteFunc(v.seen, func(_ string, until time.Time) bool { return until.Before(now) })
	}
	if len(v.seen) >= MaxSeen {
		return ErrCrowded
	}
	v.seen[name] = at.Add(v.window)
	return nil
}

// parse takes a header apart: each field once, none missing, none too long.
func parse(header string) (map[string]string, bool) {
	rest, ok := strings.CutPrefix(header, Scheme+" ")
	if !ok || len(header) > 512 {
		return nil, false
	}
	f := map[string]string{}
	for _, field := range strings.Split(rest, ",") {
		name, value, ok := strings.Cut(field, "=")
		if _, twice := f[name]; !ok || twice || value == "" {
			return nil, false
		}
		f[name] = value
	}
	return f, len(f) == 4 && f["id"] != "" && f["time"] != "" && f["once"] != "" && f["mac"] != ""
}
