package simwire

import (
	"bytes"
	"encoding/hex"
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"linkpass/internal/routing"
)

// decodeHex decodes hexadecimal text with optional spaces.
func decodeHex(t *testing.T, text string) []byte {
	t.Helper()
	b, err := hex.DecodeString(strings.ReplaceAll(text, " ", ""))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// eventRecord pads the beginning of an event record, given as in the protocol page's examples, with zeros to the full
// size.
func eventRecord(t *testing.T, head string) []byte {
	t.Helper()
	b := make([]byte, eventSize)
	copy(b, decodeHex(t, head))
	return b
}

// encodeBatch encodes a batch of records at a clock of 8412.25 ms.
func encodeBatch(records [][]byte, tail []byte) []byte {
	body := append(bytes.Join(records, nil), tail...)
	out := make([]byte, 8, headerSize+len(body))
	out[0], out[1], out[2] = byte(len(body)), byte(len(body)>>8), byte(len(body)>>16)
	out[4] = byte(len(records))
	out = append(out, 0, 0, 0, 0, 0x20, 0x6e, 0xc0, 0x40)
	return append(out, body...)
}

const (
	exampleRequest = routing.RequestID(0xd95c5d3a91c4)
	exampleFirst   = routing.ServerID(0x0a124a07_1f93)
	exampleSecond  = routing.ServerID(0x0a9011f2_1fbc)
)

// decodeExamples decodes a batch of the protocol page's examples: an endpoint list, then records of one message each.
func decodeExamples(t *testing.T) (time.Duration, []Message) {
	t.Helper()
	rows := decodeHex(t, "0a124a07931f 0000 0000 0000 01 0000803f 0000000000000000"+
		"0a9011f2bc1f 0100 0000 0000 01 0000c03f 0000000000d4b740")
	in := encodeBatch([][]byte{
		eventRecord(t, "4c04 00000000 00000000 02000000"),
		eventRecord(t, "f203 0300 02 29000000 00000000"),
		eventRecord(t, "fc03 0300 c4913a5d5cd90000 00000000 0000000000006e40 0000 01 0000000000002840"+
			"640ad2557c3bf091 0000003e 00005643 0000"),
		eventRecord(t, "2404 0300 4d00000000000000"),
		eventRecord(t, "1a04 0500 192b6f0e44790200"),
		eventRecord(t, "0604 0300 c4913a5d5cd90000 00 0a124a07931f 0000000000802240"),
		eventRecord(t, "1004 0300 c4913a5d5cd90000 00 0a124a07931f c800 0000000000803240 01 00"),
		eventRecord(t, "2e04 0300 0a9011f2bc1f c800 666666666666f63f 03 52b81e3f 0000e040 00004040 00000000"),
		eventRecord(t, "3804 0300 02000000 32000000 04000000"),
		eventRecord(t, "4204 0300"),
	}, append(rows, "hi 7"...))
	now, messages, err := NewDecoder(bytes.NewReader(in)).Next()
	if err != nil {
		t.Fatal(err)
	}
	return now, messages
}

func TestDecoderReadsProtocolExamples(t *testing.T) {
	now, got := decodeExamples(t)
	if now != 8412250*time.Microsecond {
		t.Errorf("clock = %v, want 8.41225s", now)
	}
	if len(got) != 9 {
		t.Fatalf("messages = %d, want 9", len(got))
	}
	for i, want := range []routing.Event{
		1: routing.Arrival{ID: exampleRequest, Timeout: 240 * time.Millisecond, ExpectedWork: 12 * time.Millisecond,
			Key: 0x91f03b7c55d20a64, Weight: 0.125, QueryNumber: 214},
		2: routing.TimerFired{Token: 77},
		3: routing.ClientDisconnected{ID: 0x279440e6f2b19},
		4: routing.StreamStarted{ID: exampleRequest},
	} {
		if want != nil && got[i].Event != want {
			t.Errorf("event %d = %+v, want %+v", i, got[i].Event, want)
		}
	}
	if got[3].Instance != 5 {
		t.Errorf("disconnect = %+v, want instance 5", got[3])
	}
	if m := got[7].Event.(routing.GossipMessage); m.From != 2 || string(m.Data) != "hi 7" {
		t.Errorf("gossip message = %+v, want %q from 2", m, "hi 7")
	}
	if got[8].Kind != InstanceStopped {
		t.Errorf("message 8 = %+v, want kind InstanceStopped (%d)", got[8], InstanceStopped)
	}
}

func TestDecoderReadsEndpointListExample(t *testing.T) {
	_, got := decodeExamples(t)
	update := got[0].Event.(routing.EndpointUpdate)
	if update.Mode != routing.UpdateCached || len(update.Endpoints) != 2 {
		t.Fatalf("update = %+v, want mode UpdateCached (%d) and 2 endpoints", update, routing.UpdateCached)
	}
	want := routing.Endpoint{Server: exampleSecond, Zone: 1, State: routing.Ready, Weight: 1.5, StartedAt: 6100 * time.Millisecond}
	if update.Endpoints[1] != want || update.Endpoints[0].Server != exampleFirst {
		t.Errorf("endpoints = %+v, want server %v and %+v", update.Endpoints, exampleFirst, want)
	}
}

func TestDecoderReadsOutcomeExamples(t *testing.T) {
	_, got := decodeExamples(t)
	r := got[5].Event.(routing.AttemptResult)
	if r.ID != exampleRequest || r.Server != exampleFirst || r.Code != routing.OK || r.Latency != 18500*time.Microsecond || !r.Final ||
		r.LoadReport != nil {
		t.Errorf("attempt = %+v, want a final OK of request %v from server %v after 18.5ms without a load report",
			r, exampleRequest, exampleFirst)
	}
	h := got[6].Event.(routing.HealthCheckResult)
	if h.Server != exampleSecond || h.Latency != 1400*time.Microsecond || len(h.LoadReport) != 3 || h.LoadReport[1] != 7 {
		t.Errorf("health check = %+v, want server %v after 1.4ms with a load report of 3 values, the second one 7",
			h, exampleSecond)
	}
}

func TestDecoderRejectsMalformedBatch(t *testing.T) {
	good := encodeBatch([][]byte{eventRecord(t, "2404 0300 4d00000000000000")}, nil)
	overlong := append([]byte(nil), good...)
	overlong[3] = 0xff
	tooMany := append([]byte(nil), good...)
	tooMany[4] = 9
	for name, in := range map[string][]byte{
		"truncated header":      good[:7],
		"truncated body":        good[:40],
		"length over the limit": overlong,
		"too many records":      tooMany,
		"unknown event":         encodeBatch([][]byte{eventRecord(t, "0f27 0300")}, nil),
		"unknown outcome":       encodeBatch([][]byte{eventRecord(t, "1004 0300 c4913a5d5cd90000 00 0a124a07931f 0100")}, nil),
		"offset out of tail":    encodeBatch([][]byte{eventRecord(t, "4c04 00000000 00010000 02000000")}, nil),
		"unknown list":          encodeBatch([][]byte{eventRecord(t, "f203 0300 01 29000000 05000000")}, nil),
	} {
		t.Run(name, func(t *testing.T) {
			_, _, err := NewDecoder(bytes.NewReader(in)).Next()
			if err == nil || err == io.EOF || strings.Contains(err.Error(), "\n") {
				t.Errorf("error = %v, want an error of one line that is not io.EOF", err)
			}
		})
	}
}

func TestDecoderReturnsEOFBetweenBatches(t *testing.T) {
	d := NewDecoder(bytes.NewReader(encodeBatch([][]byte{eventRecord(t, "2404 0300 4d00000000000000")}, nil)))
	if _, _, err := d.Next(); err != nil {
		t.Error(err)
	}
	if _, _, err := d.Next(); !errors.Is(err, io.EOF) {
		t.Errorf("error at the end of the input = %v, want io.EOF", err)
	}
}

func FuzzDecoder(f *testing.F) {
	f.Add(encodeBatch([][]byte{make([]byte, eventSize)}, []byte("tail")))
	f.Add([]byte{0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0x20, 0x6e, 0xc0, 0x40})
	f.Fuzz(func(t *testing.T, in []byte) {
		d := NewDecoder(bytes.NewReader(in))
		for {
			_, messages, err := d.Next()
			if err != nil {
				return
			}
			if len(messages)*eventSize > len(in) {
				t.Fatalf("messages = %d from %d bytes, want at most one per %d bytes", len(messages), len(in), eventSize)
			}
		}
	})
}
