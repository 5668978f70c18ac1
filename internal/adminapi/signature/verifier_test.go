package signature

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "linkpass/internal/testrand"
)

var verifierStart = time.UnixMilli(1_700_000_000_000)

// A call is accepted if and only if its key is known, no part of it was changed, its time lies in the window and its
// nonce is new. Random sequences of operations are compared with a model that keeps all nonces.
func TestVerifierAcceptsSignedCallsOnce(t *testing.T) {
	const window = 30 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		ring := KeyRing{"a": []byte("aaaaaaaaaaaaaaaa"), "b": []byte("bbbbbbbbbbbbbbbb")}
		v := NewVerifier(ring, window, verifierStart)
		now := verifierStart.Add(time.Minute)
		type signedCall struct {
			header string
			call   Call
			key    string
			at     time.Time
		}
		var all []signedCall
		accepted := map[string]bool{}
		t.Repeat(map[string]func(*rapid.T){
			"sign": func(t *rapid.T) {
				c := Call{
					Method: rapid.SampledFrom([]string{"GET", "PUT"}).Draw(t, "method"),
					Target: "/v1/" + rapid.StringN(0, 9, 9).Draw(t, "target"),
					Body:   rapid.SliceOfN(rapid.Byte(), 0, 9).Draw(t, "body"),
				}
				id := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "key")
				key := []byte(fmt.Sprintf("%[1]s%[1]s%[1]s%[1]s%[1]s%[1]s%[1]s%[1]s%[1]s%[1]s%[1]s%[1]s%[1]s%[1]s%[1]s%[1]s", id))
				at := now.Add(time.Duration(rapid.IntRange(-70, 70).Draw(t, "off")) * time.Second)
				all = append(all, signedCall{Sign(id, key, c, at, fmt.Sprint("n", len(all))), c, id, at})
			},
			"send": func(t *rapid.T) {
				if len(all) == 0 {
					t.Skip()
				}
				s := rapid.SampledFrom(all).Draw(t, "call")
				_, known := v.keys[s.key]
				want := known && s.at.Sub(now).Abs() <= window && !accepted[s.header]
				id, err := v.Verify(now, s.header, s.call)
				if (err == nil) != want || want && id != s.key {
					t.Fatalf("%s: key id %q, error %v; want accepted = %t from key id %q",
						s.header, id, err, want, s.key)
				}
				accepted[s.header] = accepted[s.header] || want
			},
			"change": func(t *rapid.T) {
				if len(all) == 0 {
					t.Skip()
				}
				s := rapid.SampledFrom(all).Draw(t, "call")
				switch rapid.IntRange(0, 3).Draw(t, "what") {
				case 0:
					s.call.Body = append([]byte("x"), s.call.Body...)
				case 1:
					s.call.Target += "x"
				case 2:
					s.call.Method += "x"
				case 3:
					i := rapid.IntRange(0, len(s.header)-1).Draw(t, "at")
					s.header = s.header[:i] + "~" + s.header[i+1:]
				}
				if id, err := v.Verify(now, s.header, s.call); err == nil {
					t.Fatalf("changed call accepted from key id %s: %q", id, s.header)
				}
			},
			"wait": func(t *rapid.T) { now = now.Add(time.Duration(rapid.IntRange(1, 40).Draw(t, "s")) * time.Second) },
			"keys": func(t *rapid.T) {
				next := KeyRing{}
				for id, key := range ring {
					if rapid.Bool().Draw(t, id) {
						next[id] = key
					}
				}
				v.SetKeys(next)
			},
		})
	})
}

// A call outside the window is rejected with ErrClockSkew, and so is a call signed before the verifier's start, which
// may be a replay. While the verifier keeps the maximum number of nonces, it accepts no call; it accepts calls again
// when the old nonces have expired.
func TestVerifierRejectsClockSkewAndFullNonceCache(t *testing.T) {
	key := []byte("0123456789abcdef")
	v := NewVerifier(KeyRing{"k": key}, 30*time.Second, verifierStart)
	c := Call{"GET", "/v1/status", nil}
	now := verifierStart.Add(10 * time.Second)
	for off, want := range map[time.Duration]error{
		time.Minute:       ErrClockSkew,
		-time.Minute:      ErrClockSkew,
		30 * time.Second:  nil,
		-11 * time.Second: ErrClockSkew,
		-10 * time.Second: nil,
	} {
		if _, err := v.Verify(now, Sign("k", key, c, now.Add(off), off.String()), c); !errors.Is(err, want) {
			t.Errorf("time off by %s: error %v, want %v", off, err, want)
		}
	}
	var err error
	n := 0
	for ; err == nil && n < 2*MaxNonces; n++ {
		_, err = v.Verify(now, Sign("k", key, c, now, fmt.Sprint(n)), c)
	}
	if !errors.Is(err, ErrTooManyCalls) || len(v.nonces) > MaxNonces {
		t.Errorf("after %d calls: error %v, want %v; %d nonces kept, want at most %d",
			n, err, ErrTooManyCalls, len(v.nonces), MaxNonces)
	}
	now = now.Add(2 * time.Minute)
	if _, err := v.Verify(now, Sign("k", key, c, now, "later"), c); err != nil {
		t.Errorf("call after the nonces have expired: %v", err)
	}
}

func TestKeyRingValidateRejectsInvalidRings(t *testing.T) {
	for _, r := range []KeyRing{
		nil,
		{"a b": make([]byte, 32)},
		{"a": make([]byte, 15)},
		{"a": make([]byte, 65)},
		{"": make([]byte, 32)},
	} {
		if r.Validate() == nil {
			t.Errorf("Validate accepts the ring %v", r)
		}
	}
	if err := (KeyRing{"a": make([]byte, 32)}).Validate(); err != nil {
		t.Errorf("valid ring: %v", err)
	}
}
