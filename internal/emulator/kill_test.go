package emulator_test

import (
	"fmt"
	"net"
	"testing"
	"time"

	"linkpass/internal/frame"
)

// Guards against parts that a killed server keeps processing or keeps in its queue. TestMain finds their goroutines.
func TestKillEndsPartsAtWorkAndInQueue(t *testing.T) {
	fleet, shardMap := startFleet(t, 2)
	s := fleet.Servers[0]
	s.SetSlowdown(1e9)
	shard := shardMap.Shards()[0]
	search := fmt.Sprintf("POST /%s/_search?preference=_shards:%d HTTP/1.1\r\nHost: s\r\nX-Layout-Range: %s\r\nContent-Length: 0\r\n\r\n",
		testIndex, shard.ID, shard.Range)
	requestFrame := string(frame.Append(nil, frame.LetterRequest, []byte("a1 7 d=500 0\na2 7 d=500 0\n")))
	for _, request := range []string{search, requestFrame} {
		conn, err := net.Dial("tcp", s.Addr())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		if _, err := conn.Write([]byte(request)); err != nil {
			t.Fatal(err)
		}
	}
	for s.Parts.Load() < 3 {
		if t.Context().Err() != nil {
			t.Fatalf("parts received = %d, want 3", s.Parts.Load())
		}
		time.Sleep(time.Millisecond)
	}
	s.Kill(false)
}
