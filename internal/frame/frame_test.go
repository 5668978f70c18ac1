package frame

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "linkpass/internal/testrand"

	"linkpass/internal/loadreport"
	"linkpass/internal/outcome"
)

func TestCallIsWordedAsTheProtocolHasIt(t *testing.T) {
	got := AppendCall(nil, []Part{{ID: "9b1f03aa5c7e2d41.3", Shard: 3, Wait: 240 * time.Millisecond, Text: []byte("c41e77d0")}})
	if want := "\x26\x00\x00\x00D9b1f03aa5c7e2d41.3 3 d=240 8\nc41e77d0"; string(got) != want {
		t.Errorf("%q, want %q", got, want)
	}
}

func TestReplies(t *testing.T) {
	r, err := ParseReply([]byte("9b1f.3 200 1840277719 inflight=7,util=0.61\n5be2"))
	if err != nil || r.ID != "9b1f.3" || r.End != 200 || r.Score != 1840277719 || string(r.Value) != "5be2" {
		t.Fatalf("%+v %v", r, err)
	}
	if got := loadreport.Parse(r.Report, []string{"util", "inflight"}); len(got) != 2 || got[0] != 0.61 || got[1] != 7 {
		t.Errorf("report %v", got)
	}
	for _, bad := range []string{"", "a 200 1 -", "a 200 1\nv", "a 404 1 -\nv", " 200 1 -\nv"} {
		if _, err := ParseReply([]byte(bad)); !errors.Is(err, ErrFrame) {
			t.Errorf("took %q: %v", bad, err)
		}
	}
}

// A stream cut anywhere inside a message is broken, between two it is closed;
// neither is ever taken for an answer.
func TestCutsAndGarbage(t *testing.T) {
	whole := Append(nil, Answer, []byte("a.3 200 5 -\nvalue"))
	rapid.Check(t, func(t *rapid.T) {
		at := rapid.IntRange(0, len(whole)-1).Draw(t, "at")
		stream := append(bytes.Clone(whole), whole[:at]...)
		r := Codec{}.NewReader(bytes.NewReader(stream))
		m, _, err := r.Next()
		if err != nil || m.Name != "a.3" || string(m.Value) != "value" || m.Outcome != outcome.Success {
			t.Fatalf("whole frame came as %+v, %v", m, err)
		}
		_, e, err := r.Next()
		if want := map[bool]outcome.Outcome{true: outcome.ConnClosed, false: outcome.ConnReset}[at == 0]; err == nil || e != want {
			t.Fatalf("cut at %d: %s, %v", at, e, err)
		}

		garbage := rapid.SliceOf(rapid.Byte()).Draw(t, "garbage")
		r = Codec{ReportNames: []string{"active"}}.NewReader(bytes.NewReader(garbage))
		for range len(garbage) + 1 {
			if _, _, err := r.Next(); err != nil {
				return
			}
		}
		t.Fatal("garbage never ends")
	})
}

func TestLongFramesAreRefused(t *testing.T) {
	_, _, err := Read(bufio.NewReader(bytes.NewReader([]byte{0xff, 0xff, 0xff, 0x7f, 'O'})))
	if !errors.Is(err, ErrFrame) || errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("%v", err)
	}
}
