package frame

import (
	"bufio"
	"errors"
	"io"
	"reflect"
	"strings"
	"testing"
	"time"

	"linkpass/internal/goldentest"
	"linkpass/internal/outcome"
	"linkpass/internal/upstream"
)

// goldenReportNames are the names of the load report's values in the golden frames, in the order of the settings.
var goldenReportNames = []string{"active", "waiting", "cpu", "avg_ms"}

func TestRequestFrameGolden(t *testing.T) {
	plain, withReport := Codec{MaxStreams: 32}, Codec{MaxStreams: 32, ReportNames: goldenReportNames}
	part := upstream.Part{Name: "9b1f03aa5c7e2d41.3", Collection: "players", Shard: 3, Timeout: 240 * time.Millisecond, Payload: []byte("c41e77d0")}
	other := upstream.Part{Name: "9b1f03aa5c7e2d41.17", Shard: 17, Timeout: 1500*time.Millisecond + 999*time.Microsecond, Payload: []byte("line one\nline \x00\xff two")}
	urgent := upstream.Part{Name: "a.0", Timeout: 999 * time.Microsecond}
	goldentest.CheckEntries(t, "frames_sent.txt", []goldentest.Entry{
		{Name: "call of one part", Data: string(plain.EncodeRequest([]upstream.Part{part}))},
		{Name: "call of two parts", Data: string(plain.EncodeRequest([]upstream.Part{part, other}))},
		{Name: "call without time and text", Data: string(plain.EncodeRequest([]upstream.Part{urgent}))},
		{Name: "head of a call of 100000 bytes", Data: string(plain.EncodeHeader(part, 100000))},
		{Name: "cancel", Data: string(plain.EncodeCancel(part.Name))},
		{Name: "probe", Data: string(plain.EncodeHealthCheck("check-7"))},
		{Name: "probe for load", Data: string(withReport.EncodeHealthCheck("check-7"))},
	})
}

// Read must return the letter and the content of each golden frame that is sent.
func TestRequestFrameGoldenReadBack(t *testing.T) {
	sent := goldentest.ReadEntries(t, "frames_sent.txt")
	for name, want := range map[string]string{
		"call of one part":           "D9b1f03aa5c7e2d41.3 3 d=240 8\nc41e77d0",
		"call of two parts":          "D9b1f03aa5c7e2d41.3 3 d=240 8\nc41e77d09b1f03aa5c7e2d41.17 17 d=1500 20\nline one\nline \x00\xff two",
		"call without time and text": "Da.0 0 d=1 0\n",
		"cancel":                     "K9b1f03aa5c7e2d41.3",
		"probe":                      "I",
		"probe for load":             "U",
	} {
		t.Run(name, func(t *testing.T) {
			r := bufio.NewReader(strings.NewReader(sent[name]))
			letter, content, err := Read(r)
			if got := string(letter) + string(content); err != nil || got != want {
				t.Errorf("frame = %q, error = %v, want %q and no error", got, err, want)
			}
			if _, _, err := Read(r); err != io.EOF {
				t.Errorf("error after the frame = %v, want io.EOF", err)
			}
		})
	}
	t.Run("head of a call of 100000 bytes", func(t *testing.T) {
		stream := sent["head of a call of 100000 bytes"] + strings.Repeat("x", 100000)
		letter, content, err := Read(bufio.NewReader(strings.NewReader(stream)))
		if err != nil || letter != LetterRequest || string(content) != "9b1f03aa5c7e2d41.3 3 d=240 100000\n"+strings.Repeat("x", 100000) {
			t.Errorf("letter = %q, content of %d bytes, error = %v, want %q, the line with 100000 bytes of payload, and no error",
				letter, len(content), err, LetterRequest)
		}
	})
}

// goldenReplies has the message, outcome and error with which each golden frame is read.
var goldenReplies = map[string]struct {
	want        upstream.Message
	wantOutcome outcome.Outcome
	wantErr     error // nil: the frame can be read; io.EOF: any error that does not wrap ErrMalformed
}{
	"reply": {want: upstream.Message{Name: "9b1f03aa5c7e2d41.3", Outcome: outcome.Success, Score: 1840277719, Value: []byte("5be2")}},
	"reply with a report": {want: upstream.Message{Name: "9b1f03aa5c7e2d41.3", Outcome: outcome.Success, Score: -0.25,
		LoadReport: []float64{7, 2, 0.61, 12.5}, Value: []byte("line one\nline \x00\xff two")}},
	"reply without score and value": {want: upstream.Message{Name: "a.0", Outcome: outcome.Success, Value: []byte{}}},
	"reply of a failed part":        {want: upstream.Message{Name: "a.0", Outcome: outcome.ServerError, Value: []byte("disk")}},
	"reply of a rejected part": {want: upstream.Message{Name: "a.0", Outcome: outcome.Rejected,
		LoadReport: []float64{8, 3, 1, 40}, Value: []byte{}}},
	"reply with an unknown code":     {want: upstream.Message{Outcome: outcome.Success}, wantOutcome: outcome.MalformedResponse, wantErr: ErrMalformed},
	"reply without a line":           {want: upstream.Message{Outcome: outcome.Success}, wantOutcome: outcome.MalformedResponse, wantErr: ErrMalformed},
	"answer to a probe":              {want: upstream.Message{HealthCheck: true, Outcome: outcome.Success}},
	"answer to a probe, failed":      {want: upstream.Message{HealthCheck: true, Outcome: outcome.ServerError}},
	"answer to a probe for load":     {want: upstream.Message{HealthCheck: true, Outcome: outcome.Success, LoadReport: []float64{7, 2, 0.61, 12.5}}},
	"answer to a probe, load failed": {want: upstream.Message{HealthCheck: true, Outcome: outcome.ServerError}},
	"complaint":                      {want: upstream.Message{Outcome: outcome.Success}, wantOutcome: outcome.BadRequest, wantErr: io.EOF},
	"unknown letter":                 {want: upstream.Message{Outcome: outcome.Success}, wantOutcome: outcome.MalformedResponse, wantErr: ErrMalformed},
	"length of zero":                 {wantOutcome: outcome.MalformedResponse, wantErr: ErrMalformed},
	"length over the limit":          {wantOutcome: outcome.MalformedResponse, wantErr: ErrMalformed},
	"cut in the length":              {wantOutcome: outcome.ConnReset, wantErr: io.EOF},
	"cut in the body":                {wantOutcome: outcome.ConnReset, wantErr: io.EOF},
	"closed between frames":          {wantOutcome: outcome.ConnClosed, wantErr: io.EOF},
}

func TestReplyFrameGolden(t *testing.T) {
	received := goldentest.ReadEntries(t, "frames_received.txt")
	if len(received) != len(goldenReplies) {
		t.Errorf("golden file has %d frames, want %d, one for each case", len(received), len(goldenReplies))
	}
	for name, c := range goldenReplies {
		t.Run(name, func(t *testing.T) {
			stream, ok := received[name]
			if !ok {
				t.Fatal("golden file has no frame of this name")
			}
			got, gotOutcome, err := Codec{ReportNames: goldenReportNames}.NewReader(strings.NewReader(stream)).Next()
			if !reflect.DeepEqual(got, c.want) || gotOutcome != c.wantOutcome {
				t.Errorf("message = %+v, outcome = %v, want %+v, %v", got, gotOutcome, c.want, c.wantOutcome)
			}
			if (err != nil) != (c.wantErr != nil) || errors.Is(err, ErrMalformed) != errors.Is(c.wantErr, ErrMalformed) {
				t.Errorf("error = %v, want %v", err, c.wantErr)
			}
		})
	}
}

func TestParseReplyGolden(t *testing.T) {
	_, content, err := Read(bufio.NewReader(strings.NewReader(goldentest.ReadEntries(t, "frames_received.txt")["reply with a report"])))
	if err != nil {
		t.Fatal(err)
	}
	got, err := ParseReply(content)
	want := Reply{Name: "9b1f03aa5c7e2d41.3", Code: 200, Score: -0.25, LoadReport: "active=7,waiting=2,cpu=0.61,avg_ms=12.5",
		Value: []byte("line one\nline \x00\xff two")}
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("ParseReply = %+v, error = %v, want %+v and no error", got, err, want)
	}
}
