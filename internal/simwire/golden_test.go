package simwire

import (
	"bytes"
	"encoding/hex"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"linkpass/internal/routing"
)

var update = flag.Bool("update", false, "rewrite the golden reply")

// readHex decodes a golden file of hexadecimal lines. Lines that begin with # are comments.
func readHex(t *testing.T, file string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", file))
	if err != nil {
		t.Fatal(err)
	}
	var out []byte
	for line := range strings.Lines(string(text)) {
		if strings.HasPrefix(line, "#") {
			continue
		}
		b, err := hex.DecodeString(strings.TrimSpace(line))
		if err != nil {
			t.Fatalf("%s: %v", file, err)
		}
		out = append(out, b...)
	}
	return out
}

const (
	goldenServer      = routing.ServerID(0x0a124a07_1f93)
	goldenOtherServer = routing.ServerID(0x0a9011f2_bc1f)
	goldenQuery       = routing.RequestID(0xd95c5d3a91c4)
	goldenPart        = routing.RequestID(0xd95c5d3a91c5)
)

// goldenMessages returns the messages of the golden batch.
func goldenMessages() []Message {
	entries := []routing.Endpoint{
		{Server: goldenServer, Zone: 1, Kind: 2, Cell: 3, State: routing.Ready, Weight: 1.5, StartedAt: 6100250 * time.Microsecond},
		{Server: goldenOtherServer, Zone: 4, Kind: 5, Cell: 6, State: routing.Draining, Weight: 0.5},
		{Server: 0xc0a800ff_ffff, Zone: 7, Kind: 8, Cell: 9, State: routing.Removed, Weight: 2.25, StartedAt: 7 * time.Millisecond},
	}
	received := func(e routing.Event) Message { return Message{Kind: EventReceived, Instance: 3, Event: e} }
	out := []Message{
		{Kind: InstanceStarted, Instance: 258, Seed: 0x1122334455667788, Settings: routing.Settings{Coordinators: 1, Shards: 6, Cells: 3, ReplicasPerShard: 2}},
		received(routing.EndpointUpdate{Mode: routing.UpdateDelta, Endpoints: entries}),
		received(routing.EndpointUpdate{Mode: routing.UpdateFull, Endpoints: entries}),
		received(routing.EndpointUpdate{Mode: routing.UpdateCached, Endpoints: entries}),
		received(routing.EndpointUpdate{Mode: routing.UpdateFailed}),
		received(routing.Arrival{ID: goldenQuery, Shard: -1, Timeout: 240500 * time.Microsecond, Class: 513, IsRetry: true, Weight: 8,
			QueryNumber: 214, Tenant: 770}),
		received(routing.Arrival{ID: goldenPart, Shard: 5, Timeout: 240 * time.Millisecond, Class: 1, ExpectedWork: 12250 * time.Microsecond,
			Key: 0x91f03b7c55d20a64, Weight: 0.125, QueryNumber: 214, Tenant: 2}),
		received(routing.StreamStarted{ID: goldenPart, Attempt: 6}),
	}
	out = append(out, goldenAttempts()...)
	return append(out,
		Message{Kind: EventReceived, Instance: 5, Event: routing.ClientDisconnected{ID: 0x279440e6f2b19}},
		received(routing.TimerFired{Token: 0x8877665544332211}),
		received(routing.HealthCheckResult{Server: goldenOtherServer, Code: routing.OK, Latency: 1400 * time.Microsecond, LoadReport: []float64{0.625, 7, 3}}),
		received(routing.GossipMessage{From: 0x01020304, Data: []byte("hi 7\x00\xff")}),
		Message{Kind: InstanceStopped, Instance: 65535})
}

// goldenAttempts returns an attempt result of each outcome.
func goldenAttempts() []Message {
	var out []Message
	for _, c := range []struct {
		code   routing.Code
		final  bool
		report []float64
	}{
		{routing.OK, false, []float64{0.5, 7, 3.25, -1}}, {routing.ServerError, false, nil}, {routing.Overloaded, true, nil},
		{routing.TimedOut, false, nil}, {routing.ConnectFailed, true, nil}, {routing.ConnReset, false, nil},
		{routing.Canceled, false, nil}, {routing.NotSent, true, nil},
	} {
		out = append(out, Message{Kind: EventReceived, Instance: 3, Event: routing.AttemptResult{ID: goldenPart, Attempt: 7, Server: goldenServer, Code: c.code,
			Latency: 18500 * time.Microsecond, Final: c.final, LoadReport: c.report}})
	}
	return out
}

func TestDecoderMatchesGoldenBatch(t *testing.T) {
	d := NewDecoder(bytes.NewReader(readHex(t, "batch.hex")))
	now, got, err := d.Next()
	if err != nil || now != 8412250*time.Microsecond {
		t.Fatalf("clock = %v, error = %v, want 8.41225s without an error", now, err)
	}
	want := goldenMessages()
	if len(got) != len(want) {
		t.Fatalf("messages = %d, want %d", len(got), len(want))
	}
	for i := range want {
		t.Run(fmt.Sprintf("%d %T", i, want[i].Event), func(t *testing.T) {
			if !reflect.DeepEqual(got[i], want[i]) {
				t.Errorf("message:\ngot  %+v\nwant %+v", got[i], want[i])
			}
		})
	}
	if _, _, err := d.Next(); !errors.Is(err, io.EOF) {
		t.Errorf("error after the batch = %v, want io.EOF", err)
	}
}

func TestEncoderMatchesGoldenReply(t *testing.T) {
	var e Encoder
	e.Add(9, routing.Fail{ID: 1}) // an earlier reply, of which Reset must leave nothing
	e.Reset()
	e.Add(3, routing.Send{ID: goldenPart, Server: goldenServer, Timeout: 80500 * time.Microsecond, WriteBefore: time.Hour})
	e.Add(3, routing.Send{ID: goldenPart, Server: goldenOtherServer})
	e.Add(3, routing.Reject{ID: 0x279440e6f2b19, RetryAfter: 250 * time.Millisecond})
	e.Add(3, routing.Fail{ID: 0x279440e6f2b1a})
	e.Add(3, routing.Cancel{ID: goldenPart, Attempt: 5})
	e.Add(3, routing.SetTimer{After: 500125 * time.Microsecond, Token: 0x8877665544332211})
	e.Add(3, routing.HealthCheck{Server: goldenOtherServer})
	e.Add(258, routing.Subscribe{})
	e.Add(3, routing.Answer{ID: goldenQuery, Complete: true})
	e.Add(65535, routing.Answer{ID: goldenQuery})
	e.AddPanic(4, "index out of range")
	e.AddPanic(5, "nil")
	var out bytes.Buffer
	if err := e.Flush(&out); err != nil {
		t.Fatal(err)
	}
	if *update {
		writeReply(t, out.Bytes())
	}
	if want := readHex(t, "reply.hex"); !bytes.Equal(out.Bytes(), want) {
		t.Errorf("reply:\ngot  %x\nwant %x", out.Bytes(), want)
	}
}

// writeReply writes the golden reply: one line for the header, one for each action, and the tail in lines of at most
// the size of an action.
func writeReply(t *testing.T, reply []byte) {
	t.Helper()
	text := "# header, twelve actions, texts\n"
	for rest := reply; len(rest) > 0; {
		n := min(len(rest), actionSize)
		if len(rest) == len(reply) {
			n = replyHeaderSize
		}
		text += hex.EncodeToString(rest[:n]) + "\n"
		rest = rest[n:]
	}
	if err := os.WriteFile("testdata/reply.hex", []byte(text), 0o644); err != nil {
		t.Fatal(err)
	}
}
