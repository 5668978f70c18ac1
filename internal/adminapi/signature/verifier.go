package signature

import (
	"crypto/hmac"
	"encoding/hex"
	"errors"
	"fmt"
	"maps"
	"strconv"
	"time"
)

// MaxNonces is the maximum number of nonces that a Verifier keeps against replay. Beyond it, calls are rejected, as a
// nonce that is dropped early would allow a replay.
const MaxNonces = 4096

// The reasons why a call is rejected.
var (
	// ErrUnsigned is returned for a missing or malformed Authorization header.
	ErrUnsigned = errors.New("the call has no valid Authorization header")
	// ErrInvalidSignature is returned if no known key made the signature, or if the call was changed after it was
	// signed.
	ErrInvalidSignature = errors.New("the signature was not made with a known key, or the call was changed")
	// ErrClockSkew is returned for a call whose time is outside the window or before the verifier's start. The event
	// registry names this text in the action for rejected calls.
	ErrClockSkew = errors.New("the call's time is off")
	// ErrReplayed is returned for a call whose nonce was already used with the same key.
	ErrReplayed = errors.New("the call was made before: its nonce is already used")
	// ErrTooManyCalls is returned while MaxNonces nonces are kept.
	ErrTooManyCalls = errors.New("too many signed calls within the accepted time window")
)

// Verifier verifies the signatures of calls. It is not safe for concurrent use.
type Verifier struct {
	keys   KeyRing
	window time.Duration        // maximum difference between a call's time and the current time
	start  time.Time            // calls signed before it are rejected
	nonces map[string]time.Time // by key id and nonce: when the time of the call leaves the window
}

// NewVerifier returns a verifier that accepts calls whose time differs from the current time by at most window. It
// rejects calls signed before start, as it does not know which nonces were used then.
func NewVerifier(keys KeyRing, window time.Duration, start time.Time) *Verifier {
	return &Verifier{keys: keys, window: window, start: start, nonces: map[string]time.Time{}}
}

// SetKeys replaces the key ring. Calls signed with a key that is not in the new ring are rejected from now on.
func (v *Verifier) SetKeys(keys KeyRing) { v.keys = keys }

// Verify verifies a call and returns the id of the key that signed it. It accepts each call once. The error wraps one
// of the errors above.
func (v *Verifier) Verify(now time.Time, header string, c Call) (keyID string, err error) {
	fields, ok := parseHeader(header)
	if !ok {
		return "", ErrUnsigned
	}
	if !v.hasValidMAC(fields, c) {
		return "", ErrInvalidSignature
	}
	unixMillis, err := strconv.ParseInt(fields.unixMillis, 10, 64)
	if err != nil {
		return "", ErrUnsigned
	}
	at := time.UnixMilli(unixMillis)
	if err := v.checkTime(now, at); err != nil {
		return "", err
	}
	return fields.keyID, v.recordNonce(now, fields.keyID+" "+fields.nonce, at)
}

// hasValidMAC reports whether the MAC matches the call and a known key. It also computes the MAC for an unknown key, so
// that the time taken does not reveal which key ids exist.
func (v *Verifier) hasValidMAC(fields headerFields, c Call) bool {
	key, known := v.keys[fields.keyID]
	got, err := hex.DecodeString(fields.mac)
	equal := hmac.Equal(got, mac(key, c, fields.unixMillis, fields.nonce))
	return equal && known && err == nil
}

// checkTime checks that the time of a call lies in the window and is not before the start.
func (v *Verifier) checkTime(now, at time.Time) error {
	skew := at.Sub(now).Abs()
	if skew > v.window {
		return fmt.Errorf("%w by %s, %s at most is accepted: set the clocks",
			ErrClockSkew, skew.Round(time.Millisecond), v.window)
	}
	if at.Before(v.start.Truncate(time.Millisecond)) {
		return fmt.Errorf("%w: it was signed before this process started", ErrClockSkew)
	}
	return nil
}

// recordNonce records the nonce of a call for as long as the time of the call would be accepted.
func (v *Verifier) recordNonce(now time.Time, nonce string, at time.Time) error {
	if _, used := v.nonces[nonce]; used {
		return ErrReplayed
	}
	if len(v.nonces) >= MaxNonces {
		maps.DeleteFunc(v.nonces, func(_ string, until time.Time) bool { return until.Before(now) })
	}
	if len(v.nonces) >= MaxNonces {
		return ErrTooManyCalls
	}
	v.nonces[nonce] = at.Add(v.window)
	return nil
}
