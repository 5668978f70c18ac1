package simwire

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"linkpass/internal/routing"
)

func TestEncoderWritesProtocolExamples(t *testing.T) {
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
		t.Run(fmt.Sprintf("%T", c.action), func(t *testing.T) {
			var e Encoder
			e.Add(3, c.action)
			want := make([]byte, actionSize)
			copy(want, decodeHex(t, c.want))
			if !bytes.Equal(e.records, want) {
				t.Errorf("record = %x, want %x", e.records, want)
			}
		})
	}
}

func TestEncoderWritesPanicText(t *testing.T) {
	var e Encoder
	e.AddPanic(3, "index out of range")
	var out bytes.Buffer
	if err := e.Flush(&out); err != nil {
		t.Fatal(err)
	}
	head := decodeHex(t, "32000000 01000000 4204 0300 00000000 12000000")
	if !bytes.HasPrefix(out.Bytes(), head) || !bytes.HasSuffix(out.Bytes(), []byte("index out of range")) {
		t.Errorf("reply = %x, want prefix %x and suffix %q", out.Bytes(), head, "index out of range")
	}
}
