package main

import (
	"bytes"
	"encoding/binary"
	"math"
	"strings"
	"testing"
)

const settingsText = "peers_total=1\nextra.slabs=1\nextra.places=1\nextra.in_a_row=1\n" +
	"membership_mode=subscribe\nrequest_classes.count=1\nrequest_classes.0.aim=1000\n" +
	"request_classes.0.hard_limit=2000\nrequest_classes.0.idempotency=free\n"

// startBatch encodes a batch that starts instance 4 with the given settings, at a clock of 5000 ms.
func startBatch(settings string) []byte {
	record := make([]byte, 56)
	binary.LittleEndian.PutUint16(record, 1000)
	binary.LittleEndian.PutUint16(record[2:], 4)
	binary.LittleEndian.PutUint32(record[16:], uint32(len(settings)))
	head := binary.LittleEndian.AppendUint32(nil, uint32(len(record)+len(settings)))
	head = binary.LittleEndian.AppendUint32(head, 1)
	head = binary.LittleEndian.AppendUint64(head, math.Float64bits(5000))
	return append(append(head, record...), settings...)
}

func TestRunRepliesUntilEndOfInput(t *testing.T) {
	var out bytes.Buffer
	empty := append(make([]byte, 8), 0, 0, 0, 0, 0x20, 0x6e, 0xc0, 0x40)
	if err := run(bytes.NewReader(append(empty, startBatch(settingsText)...)), &out); err != nil {
		t.Fatal(err)
	}
	reply := out.Bytes()
	if !bytes.Equal(reply[:8], make([]byte, 8)) {
		t.Errorf("reply to the empty batch = %x, want 8 zero bytes", reply[:8])
	}
	if got := binary.LittleEndian.Uint16(reply[16:]); got != 1100 || reply[18] != 4 || reply[20] != 1 {
		t.Errorf("first action = %x, want instance 4 to subscribe", reply[16:])
	}
}

func TestRunRejectsMalformedInput(t *testing.T) {
	for name, in := range map[string][]byte{
		"truncated body":   startBatch(settingsText)[:30],
		"missing key":      startBatch(strings.Replace(settingsText, "extra.slabs", "extra.slab", 1)),
		"invalid settings": startBatch(strings.Replace(settingsText, "in_a_row=1", "in_a_row=5", 1)),
	} {
		t.Run(name, func(t *testing.T) {
			err := run(bytes.NewReader(in), &bytes.Buffer{})
			if err == nil || strings.Contains(err.Error(), "\n") {
				t.Errorf("error = %v, want an error of one line", err)
			}
		})
	}
}
