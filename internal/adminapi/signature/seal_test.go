package signature

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "linkpass/internal/seeded"
)

var began = time.UnixMilli(1_700_000_000_000)

// A call is let in exactly if its key is known, nothing of it was changed, its time lies in the window and it is the
// first of its number: whatever comes in whatever order, against a model that forgets nothing.
func TestOnlyWhatWasSignedAndOnlyOnce(t *testing.T) {
	const window = 30 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		ring := Ring{"a": []byte("aaaaaaaaaaaaaaaa"), "b": []byte("bbbbbbbbbbbbbbbb")}
		v := NewVerifier(ring, window, began)
		now := began.Add(time.Minute)
		type sent struct {
			header string
			call   Call
			key    string
			at     time.Time
		}
		var all []sent
		taken := map[string]bool{}
		t.Repeat(map[string]func(*rapid.T){
			"sign": func(t *rapid.T) {
				c := Call{rapid.SampledFrom([]string{"GET", "PUT"}).Draw(t, "method"), "/v1/" + rapid.StringN(0, 9, 9).Draw(t, "target"), rapid.SliceOfN(rapid.Byte(), 0, 9).Draw(t, "body")}
				id := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "key")
				key := []byte(fmt.Sprintf("%[1]s%[1]s%[1]s%[1]s%[1]s%[1]s%[1]s%[1]s%[1]s%[1]s%[1]s%[1]s%[1]s%[1]s%[1]s%[1]s", id))
				at := now.Add(time.Duration(rapid.IntRange(-70, 70).Draw(t, "off")) * time.Second)
				all = append(all, sent{Sign(id, key, c, at, fmt.Sprint("n", len(all))), c, id, at})
			},
			"send": func(t *rapid.T) {
				if len(all) == 0 {
					t.Skip()
				}
				s := rapid.SampledFrom(all).Draw(t, "call")
				_, known := v.keys[s.key]
				want := known && s.at.Sub(now).Abs() <= window && !taken[s.header]
				id, err := v.Check(now, s.header, s.call)
				if (err == nil) != want || want && id != s.key {
					t.Fatalf("%s: %v, want in: %v", s.header, err, want)
				}
				taken[s.header] = taken[s.header] || want
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
				if id, err := v.Check(now, s.header, s.call); err == nil {
					t.Fatalf("a changed call came in as %s: %q", id, s.header)
				}
			},
			"wait": func(t *rapid.T) { now = now.Add(time.Duration(rapid.IntRange(1, 40).Draw(t, "s")) * time.Second) },
			"keys": func(t *rapid.T) {
				next := Ring{}
				for id, key := range ring {
					if rapid.Bool().Draw(t, id) {
						next[id] = key
					}
				}
				v.Keys(next)
			},
		})
	})
}

// A clock that is off by a minute is told so; what was signed before the start is not taken, as it may be a replay; and
// with no room to remember calls none is let in unremembered, until the old ones have gone.
func TestClocksRestartsAndRoom(t *testing.T) {
	key := []byte("0123456789abcdef")
	v := NewVerifier(Ring{"k": key}, 30*time.Second, began)
	c := Call{"GET", "/v1/status", nil}
	now := began.Add(10 * time.Second)
	for off, want := range map[time.Duration]error{time.Minute: ErrTime, -time.Minute: ErrTime, 30 * time.Second: nil, -11 * time.Second: ErrTime, -10 * time.Second: nil} {
		if _, err := v.Check(now, Sign("k", key, c, now.Add(off), off.String()), c); !errors.Is(err, want) {
			t.Errorf("off by %s: %v", off, err)
		}
	}
	var err error
	n := 0
	for ; err == nil && n < 2*MaxSeen; n++ {
		_, err = v.Check(now, Sign("k", key, c, now, fmt.Sprint(n)), c)
	}
	if !errors.Is(err, ErrCrowded) || len(v.seen) > MaxSeen {
		t.Errorf("%d calls: %v", n, err)
	}
	now = now.Add(2 * time.Minute)
	if _, err := v.Check(now, Sign("k", key, c, now, "later"), c); err != nil {
		t.Error(err)
	}
}

func TestRingsThatCannotBe(t *testing.T) {
	for _, r := range []Ring{nil, {"a b": make([]byte, 32)}, {"a": make([]byte, 15)}, {"a": make([]byte, 65)}, {"": make([]byte, 32)}} {
		if r.Check() == nil {
			t.Errorf("%v was taken", r)
		}
	}
	if err := (Ring{"a": make([]byte, 32)}).Check(); err != nil {
		t.Error(err)
	}
}
