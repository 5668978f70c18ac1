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
	"linkpass/internal/settings"
)

const settingsText = `az=1
bounds.cancel=true
bounds.max_attempts=4
bounds.probes=true
bounds.second_copies=true
extra.class_fetch=0,3
extra.class_need=1.0,0.9
extra.in_a_row=3
extra.least_share=1.0,0.5
extra.places=12
extra.slabs=24
membership_mode=subscribe
peers_total=3
report.fields=cpu,active,novelty
request_classes.count=2
request_classes.0.aim=2500.0
request_classes.0.hard_limit=7500.0
request_classes.0.idempotency=free
request_classes.1.aim=2000.0
request_classes.1.hard_limit=6000.0
request_classes.1.idempotency=guarded
some.new.key=7
tenants.count=1
tenants.0.quota_per_s=12.5
tick=5.0
weight_source=rough
`

func bytesOf(t *testing.T, text string) []byte {
	t.Helper()
	b, err := hex.DecodeString(strings.ReplaceAll(text, " ", ""))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// event pads the head of a record, as the protocol page prints it, to full size.
func event(t *testing.T, head string) []byte {
	t.Helper()
	b := make([]byte, eventSize)
	copy(b, bytesOf(t, head))
	return b
}

func batch(records [][]byte, tail []byte) []byte {
	body := append(bytes.Join(records, nil), tail...)
	out := make([]byte, 8, headerSize+len(body))
	out[0], out[1], out[2] = byte(len(body)), byte(len(body)>>8), byte(len(body)>>16)
	out[4] = byte(len(records))
	out = append(out, 0, 0, 0, 0, 0x20, 0x6e, 0xc0, 0x40)
	return append(out, body...)
}

func TestWorkedExamples(t *testing.T) {
	rows := bytesOf(t, "0a124a07931f 0000 0000 0000 01 0000803f 0000000000000000"+
		"0a9011f2bc1f 0100 0000 0000 01 0000c03f 0000000000d4b740")
	in := batch([][]byte{
		event(t, "4c04 00000000 00000000 02000000"),
		event(t, "f203 0300 02 29000000 00000000"),
		event(t, "fc03 0300 c4913a5d5cd90000 00000000 0000000000006e40 0000 01 0000000000002840"+
			"640ad2557c3bf091 0000003e 00005643 0000"),
		event(t, "2404 0300 4d00000000000000"),
		event(t, "1a04 0500 192b6f0e44790200"),
		event(t, "0604 0300 c4913a5d5cd90000 00 0a124a07931f 0000000000802240"),
		event(t, "1004 0300 c4913a5d5cd90000 00 0a124a07931f c800 0000000000803240 01 00"),
		event(t, "2e04 0300 0a9011f2bc1f c800 666666666666f63f 03 52b81e3f 0000e040 00004040 00000000"),
		event(t, "3804 0300 02000000 32000000 04000000"),
		event(t, "4204 0300"),
	}, append(rows, "hi 7"...))
	now, got, err := NewDecoder(bytes.NewReader(in)).Next()
	if err != nil {
		t.Fatal(err)
	}
	if now != 8412250*time.Microsecond {
		t.Errorf("clock = %v", now)
	}
	first, second := routing.ServerID(0x0a124a07_1f93), routing.ServerID(0x0a9011f2_1fbc)
	update := got[0].Event.(routing.EndpointUpdate)
	if update.Mode != routing.UpdateCached || len(update.Endpoints) != 2 {
		t.Fatalf("update = %+v", update)
	}
	want := routing.Endpoint{Server: second, Zone: 1, State: routing.Ready, Weight: 1.5, StartedAt: 6100 * time.Millisecond}
	if update.Endpoints[1] != want || update.Endpoints[0].Server != first {
		t.Errorf("entries = %+v", update.Endpoints)
	}
	id := routing.RequestID(0xd95c5d3a91c4)
	wantArrival := routing.Arrival{ID: id, Timeout: 240 * time.Millisecond, ExpectedWork: 12 * time.Millisecond,
		Key: 0x91f03b7c55d20a64, Weight: 0.125, QueryNumber: 214}
	if got[1].Event != wantArrival {
		t.Errorf("arrival = %+v", got[1].Event)
	}
	if got[2].Event != (routing.TimerFired{Token: 77}) {
		t.Errorf("alarm = %+v", got[2].Event)
	}
	if got[3].Event != (routing.ClientDisconnected{ID: 0x279440e6f2b19}) || got[3].Node != 5 {
		t.Errorf("gone = %+v", got[3])
	}
	if got[4].Event != (routing.StreamStarted{ID: id}) {
		t.Errorf("started = %+v", got[4].Event)
	}
	o := got[5].Event.(routing.AttemptResult)
	if o.ID != id || o.Server != first || o.Code != routing.OK || o.Latency != 18500*time.Microsecond || !o.Final || o.LoadReport != nil {
		t.Errorf("outcome = %+v", o)
	}
	p := got[6].Event.(routing.HealthCheckResult)
	if p.Server != second || p.Latency != 1400*time.Microsecond || len(p.LoadReport) != 3 || p.LoadReport[1] != 7 {
		t.Errorf("probed = %+v", p)
	}
	if m := got[7].Event.(routing.GossipMessage); m.From != 2 || string(m.Data) != "hi 7" {
		t.Errorf("message = %+v", m)
	}
	if got[8].Kind != InstanceStopped {
		t.Errorf("stop = %+v", got[8])
	}
}

func TestEncodeWorkedExamples(t *testing.T) {
	id, server := routing.RequestID(0xd95c5d3a91c4), routing.ServerID(0x0a124a07_1f93)
	for _, c := range []struct {
		action routing.Action
		want   string
	}{
		{routing.Send{ID: id, Server: server, Timeout: 80 * time.Millisecond},
			"e803 0300 c4913a5d5cd90000 0a124a07 931f 0000000000005440"},
		{routing.Cancel{ID: id}, "0604 0300 c4913a5d5cd90000 00"},
		{routing.Reject{ID: 0x279440e6f2b19, RetryAfter: 250 * time.Millisecond},
			"f203 0300 192b6f0e44790200 0000000000406f40"},
		{routing.Fail{ID: 0x279440e6f2b19}, "fc03 0300 192b6f0e44790200"},
		{routing.SetTimer{After: 500 * time.Millisecond, Token: 77}, "1004 0300 0000000000407f40 4d00000000000000"},
		{routing.HealthCheck{Server: 0x0a9011f2_1fbc}, "1a04 0300 0a9011f2 bc1f"},
		{routing.Subscribe{}, "4c04 0300 01"},
		{routing.Answer{ID: 0x279440e6f2b19, Complete: true}, "6004 0300 192b6f0e44790200 01"},
	} {
		var e Encoder
		e.Add(3, c.action)
		want := make([]byte, actionSize)
		copy(want, bytesOf(t, c.want))
		if !bytes.Equal(e.records, want) {
			t.Errorf("%T = %x, want %x", c.action, e.records, want)
		}
	}
	var e Encoder
	e.AddPanic(3, "index out of range")
	var out bytes.Buffer
	if err := e.Flush(&out); err != nil {
		t.Fatal(err)
	}
	head := bytesOf(t, "32000000 01000000 4204 0300 00000000 12000000")
	if !bytes.HasPrefix(out.Bytes(), head) || !bytes.HasSuffix(out.Bytes(), []byte("index out of range")) {
		t.Errorf("reply = %x", out.Bytes())
	}
}

func TestSettings(t *testing.T) {
	s, err := settings.ParseText(settingsText)
	if err != nil {
		t.Fatal(err)
	}
	if s.Cells != 12 || s.Shards != 24 || !s.SubscribesToEndpoints || !s.WeightsAreCapacities || s.Tick != 5*time.Millisecond {
		t.Errorf("settings = %+v", s)
	}
	if c := s.Classes[1]; c.Idempotency != routing.IdempotentWithKey || c.RequiredWeight != 0.9 || c.MinWeight != 0.5 || c.FetchParts != 3 {
		t.Errorf("class 1 = %+v", c)
	}
	fields := []routing.ReportField{routing.FieldUtilization, routing.FieldInFlight, routing.FieldUnknown}
	for i, f := range fields {
		if s.ReportFields[i] != f {
			t.Errorf("field %d = %v, want %v", i, s.ReportFields[i], f)
		}
	}
	if len(s.Tenants) != 1 || s.Tenants[0].QuotaPerSecond != 12.5 {
		t.Errorf("tenants = %+v", s.Tenants)
	}
	for _, missing := range []string{"extra.places", "request_classes.0.aim", "peers_total"} {
		text := strings.Replace(settingsText, missing+"=", "old."+missing+"=", 1)
		if _, err := settings.ParseText(text); err == nil || !strings.Contains(err.Error(), missing) {
			t.Errorf("without %s: error %v", missing, err)
		}
	}
}

func TestBadFrames(t *testing.T) {
	good := batch([][]byte{event(t, "2404 0300 4d00000000000000")}, nil)
	overlong := append([]byte(nil), good...)
	overlong[3] = 0xff
	crowded := append([]byte(nil), good...)
	crowded[4] = 9
	for name, in := range map[string][]byte{
		"cut in the header":  good[:7],
		"cut in the body":    good[:40],
		"over-long":          overlong,
		"too many records":   crowded,
		"unknown event":      batch([][]byte{event(t, "0f27 0300")}, nil),
		"unknown outcome":    batch([][]byte{event(t, "1004 0300 c4913a5d5cd90000 00 0a124a07931f 0100")}, nil),
		"offset out of tail": batch([][]byte{event(t, "4c04 00000000 00010000 02000000")}, nil),
		"list never given":   batch([][]byte{event(t, "f203 0300 01 29000000 05000000")}, nil),
	} {
		_, _, err := NewDecoder(bytes.NewReader(in)).Next()
		if err == nil || err == io.EOF || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: error %v", name, err)
		}
	}
	d := NewDecoder(bytes.NewReader(good))
	if _, _, err := d.Next(); err != nil {
		t.Error(err)
	}
	if _, _, err := d.Next(); !errors.Is(err, io.EOF) {
		t.Errorf("end of input: %v", err)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(batch([][]byte{make([]byte, eventSize)}, []byte("tail")))
	f.Add([]byte{0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0x20, 0x6e, 0xc0, 0x40})
	f.Fuzz(func(t *testing.T, in []byte) {
		d := NewDecoder(bytes.NewReader(in))
		for {
			_, messages, err := d.Next()
			if err != nil {
				return
			}
			if len(messages)*eventSize > len(in) {
				t.Fatalf("%d messages from %d bytes", len(messages), len(in))
			}
		}
	})
}
