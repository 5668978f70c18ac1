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

func TestAppendRequestFormat(t *testing.T) {
	got := AppendRequest(nil, []Part{{
		Name:    "9b1f03aa5c7e2d41.3",
		Shard:   3,
		Timeout: 240 * time.Millisecond,
		Payload: []byte("c41e77d0"),
	}})
	if want := "\x26\x00\x00\x00D9b1f03aa5c7e2d41.3 3 d=240 8\nc41e77d0"; string(got) != want {
		t.Errorf("AppendRequest = %q, want %q", got, want)
	}
}

func TestParseReply(t *testing.T) {
	r, err := ParseReply([]byte("9b1f.3 200 1840277719 inflight=7,util=0.61\n5be2"))
	if err != nil || r.Name != "9b1f.3" || r.Code != 200 || r.Score != 1840277719 || string(r.Value) != "5be2" {
		t.Fatalf("ParseReply = %+v, %v, want name 9b1f.3, code 200, score 1840277719, value 5be2 and no error", r, err)
	}
	got := loadreport.Parse(r.LoadReport, []string{"util", "inflight"})
	if len(got) != 2 || got[0] != 0.61 || got[1] != 7 {
		t.Errorf("values of the load report = %v, want [0.61 7]", got)
	}
	for _, bad := range []string{"", "a 200 1 -", "a 200 1\nv", "a 404 1 -\nv", " 200 1 -\nv"} {
		if _, err := ParseReply([]byte(bad)); !errors.Is(err, ErrMalformed) {
			t.Errorf("ParseReply(%q): error = %v, want ErrMalformed", bad, err)
		}
	}
}

// Guards against a truncated stream that is read as a reply or with the wrong outcome: a stream that ends inside a
// message counts as reset, one that ends between two messages as closed. Reading random bytes must end with an error.
func TestReaderRejectsTruncatedAndRandomInput(t *testing.T) {
	complete := Append(nil, LetterReply, []byte("a.3 200 5 -\nvalue"))
	rapid.Check(t, func(t *rapid.T) {
		at := rapid.IntRange(0, len(complete)-1).Draw(t, "at")
		stream := append(bytes.Clone(complete), complete[:at]...)
		r := Codec{}.NewReader(bytes.NewReader(stream))
		m, _, err := r.Next()
		if err != nil || m.Name != "a.3" || string(m.Value) != "value" || m.Outcome != outcome.Success {
			t.Fatalf("complete frame: message = %+v, error = %v, want name a.3, value \"value\" and no error", m, err)
		}
		_, got, err := r.Next()
		want := map[bool]outcome.Outcome{true: outcome.ConnClosed, false: outcome.ConnReset}[at == 0]
		if err == nil || got != want {
			t.Fatalf("truncated at byte %d: outcome = %s, error = %v, want %s and an error", at, got, err, want)
		}

		garbage := rapid.SliceOf(rapid.Byte()).Draw(t, "garbage")
		r = Codec{ReportNames: []string{"active"}}.NewReader(bytes.NewReader(garbage))
		for range len(garbage) + 1 {
			if _, _, err := r.Next(); err != nil {
				return
			}
		}
		t.Fatal("reading random bytes gave more messages than bytes, and no error")
	})
}

func TestReadRejectsLongFrame(t *testing.T) {
	_, _, err := Read(bufio.NewReader(bytes.NewReader([]byte{0xff, 0xff, 0xff, 0x7f, 'O'})))
	if !errors.Is(err, ErrMalformed) || errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("error = %v, want ErrMalformed, and not io.ErrUnexpectedEOF", err)
	}
}
