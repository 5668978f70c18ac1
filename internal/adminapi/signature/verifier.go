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

// MaxNonces bounds the nonces kept against replay. Beyond it calls are rejected, as none may be forgotten early.
const MaxNonces = 4096

// Why a call is rejected.
var (
	ErrUnsigned         = errors.New("the call is not signed")
	ErrInvalidSignature = errors.New("the signature is none of a key known here") // or of a call that was changed
	ErrClockSkew        = errors.New("the call's time is off")
	ErrReplayed         = errors.New("the call was made before")
	ErrTooManyCalls     = errors.New("too many signed calls at a time")
)

// Verifier verifies signatures. One goroutine at a time uses it.
type Verifier struct {
	keys   KeyRing
	window time.Duration
	start  time.Time
	nonces map[string]time.Time // by key id and nonce, when the call's time will have left the window
}

// NewVerifier returns a verifier that accepts calls whose time differs from its own by window at most. It accepts none
// from before start, as it does not know which nonces were seen then.
func NewVerifier(keys KeyRing, window time.Duration, start time.Time) *Verifier {
	return &Verifier{keys: keys, window: window, start: start, nonces: map[string]time.Time{}}
}

// SetKeys replaces the keys; calls signed with a key that is not among them are rejected from now on.
func (v *Verifier) SetKeys(keys KeyRing) { v.keys = keys }

// Verify verifies a call, which it accepts once, and returns the id of the key that signed it.
func (v *Verifier) Verify(now time.Time, header string, c Call) (keyID string, err error) {
	fields, ok := parseHeader(header)
	if !ok {
		return "", ErrUnsigned
	}
	if !v.authentic(fields, c) {
		return "", ErrInvalidSignature
	}
	ms, err := strconv.ParseInt(fields.ms, 10, 64)
	if err != nil {
		return "", ErrUnsigned
	}
	at := time.UnixMilli(ms)
	if err := v.checkTime(now, at); err != nil {
		return "", err
	}
	return fields.keyID, v.useNonce(now, fields.keyID+" "+fields.nonce, at)
}

// authentic tells whether the MAC is that of the call with a known key. It computes the MAC for an unknown key too, so
// that the time taken does not reveal which key ids exist.
func (v *Verifier) authentic(fields headerFields, c Call) bool {
	key, known := v.keys[fields.keyID]
	got, err := hex.DecodeString(fields.mac)
	equal := hmac.Equal(got, mac(key, c, fields.ms, fields.nonce))
	return equal && known && err == nil
}

// checkTime checks that a call's time lies in the window and not before the start.
func (v *Verifier) checkTime(now, at time.Time) error {
	skew := at.Sub(now).Abs()
	if skew > v.window {
		return fmt.Errorf("%w by %s, %s at most is accepted: set the clocks",
			ErrClockSkew, skew.Round(time.Millisecond), v.window)
	}
	if at.Before(v.start.Truncate(time.Millisecond)) {
		return fmt.Errorf("%w: it was signed before this process began", ErrClockSkew)
	}
	return nil
}

// useNonce records a nonce for as long as the call's time would be accepted.
func (v *Verifier) useNonce(now time.Time, nonce string, at time.Time) error {
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
