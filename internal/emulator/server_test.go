package emulator_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"linkpass/internal/frame"
	"linkpass/internal/shardmap"
)

func TestSearchStatusAndHeaders(t *testing.T) {
	fleet, shardMap := startFleet(t, 40)
	shards := shardMap.Shards()
	first, second := fmt.Sprint(shards[0].ID), fmt.Sprint(shards[1].ID)
	version, all := fmt.Sprint(shardMap.Version()), shardmap.FullRange.String()
	cases := map[string]struct {
		server, shard, keys string
		status              int
		version, covered    string
	}{
		"shard that the server holds":       {"s-01", first, shards[0].Range.String(), 200, version, shards[0].Range.String()},
		"range beyond the shard":            {"s-01", first, all, 200, version, all},
		"moved shard":                       {"s-01", second, all, 409, version, ""},
		"moved shard, subrange answered":    {"s-02", second, all, 200, version, shards[0].Range.String()},
		"moved shard, no subrange is held":  {"s-02", second, shards[1].Range.String(), 409, version, ""},
		"no shard":                          {"s-01", "x", all, 400, "", ""},
		"no range":                          {"s-01", first, "x", 400, "", ""},
		"server that started without state": {"s-03", first, all, 429, "", ""},
	}
	s3 := fleet.Server("s-03")
	s3.Kill(true)
	if err := s3.Restart(); err != nil {
		t.Fatal(err)
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			got := searchRange(t, fleet.Server(c.server), c.shard, c.keys)
			if got.status != c.status || got.header.Get("X-Layout-Version") != c.version || got.header.Get("X-Layout-Covers") != c.covered {
				t.Errorf("status = %d, header = %v, body = %s, want status %d, X-Layout-Version %q, X-Layout-Covers %q",
					got.status, got.header, got.body, c.status, c.version, c.covered)
			}
			if !strings.HasPrefix(got.header.Get("X-Server-Load"), "active=") {
				t.Errorf("X-Server-Load = %q, want prefix %q", got.header.Get("X-Server-Load"), "active=")
			}
		})
	}
	if n := fleet.Server("s-01").MovedParts.Load() + fleet.Server("s-02").MovedParts.Load(); n != 2 {
		t.Errorf("parts counted as moved = %d, want 2", n)
	}
}

func TestSearchBodyGolden(t *testing.T) {
	fleet, shardMap := startFleet(t, 2)
	shard := shardMap.Shards()[0]
	hits := ""
	for _, record := range fleet.Records {
		if shard.Range.Contains(record.Key) {
			hits += fmt.Sprintf(`{"_id":%q,"_score":%v},`, record.ID, float64(record.Key>>40)/(1<<24))
		}
	}
	want := fmt.Sprintf(`{"_shards":{"failed":0,"successful":1,"total":1},"hits":{"hits":[%s],"total":{"relation":"eq","value":%d}},"timed_out":false,"took":1}`+"\n",
		strings.TrimSuffix(hits, ","), strings.Count(hits, "_id"))
	if got := searchRange(t, fleet.Servers[0], fmt.Sprint(shard.ID), shard.Range.String()); got.body != want {
		t.Errorf("body = %s, want %s", got.body, want)
	}
}

func TestHealthCheckBody(t *testing.T) {
	fleet, _ := startFleet(t, 2)
	got := sendRequest(t, "GET", "http://"+fleet.Servers[0].Addr()+"/", "")
	if got.status != 200 || got.body != `{"name":"s-01"}` || got.header.Get("X-Server-Load") != "active=0,avg_ms=0.0,waiting=0" {
		t.Errorf("response = %+v, want status 200, the name s-01 and a load report of zeros", got)
	}
}

func TestFaultsChangeAnswers(t *testing.T) {
	fleet, shardMap := startFleet(t, 2)
	s, shard := fleet.Servers[0], shardMap.Shards()[0]
	search := func() response { return searchRange(t, s, fmt.Sprint(shard.ID), shard.Range.String()) }
	s.SetErrorShare(1)
	if got := search(); got.status != 500 || got.header.Get("X-Layout-Covers") != "" {
		t.Errorf("error share 1: response = %+v, want status 500 without X-Layout-Covers", got)
	}
	s.SetErrorShare(0)
	s.ClaimShardMapVersion(999)
	if got := search(); got.status != 409 || got.header.Get("X-Layout-Version") != "999" {
		t.Errorf("claimed version: response = %+v, want status 409 with X-Layout-Version 999", got)
	}
	s.ClaimShardMapVersion(0)
	began := time.Now()
	s.Pause(50 * time.Millisecond)
	if got := search(); got.status != 200 || time.Since(began) < 50*time.Millisecond {
		t.Errorf("paused: status = %d after %s, want 200 after at least 50ms", got.status, time.Since(began))
	}
	s.Partition(true)
	heal := time.AfterFunc(50*time.Millisecond, func() { s.Partition(false) })
	defer heal.Stop()
	began = time.Now()
	if got := search(); got.status != 200 || time.Since(began) < 50*time.Millisecond {
		t.Errorf("partitioned: status = %d after %s, want 200 after at least 50ms", got.status, time.Since(began))
	}
}

func TestSearchAfterDrainCountsLatePart(t *testing.T) {
	fleet, shardMap := startFleet(t, 2)
	s, shard := fleet.Servers[0], shardMap.Shards()[0]
	for _, since := range []time.Duration{0, 500 * time.Millisecond, 2 * time.Second} {
		s.SetDrainedAt(time.Now().Add(-since))
		searchRange(t, s, fmt.Sprint(shard.ID), shard.Range.String())
	}
	if s.Parts.Load() != 3 || fleet.LateParts() != 1 {
		t.Errorf("parts = %d, late parts = %d, want 3 and 1", s.Parts.Load(), fleet.LateParts())
	}
}

func TestFrameRequestsGolden(t *testing.T) {
	fleet, _ := startFleet(t, 2)
	conn, err := net.Dial("tcp", fleet.Servers[0].Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	reader := bufio.NewReader(conn)
	cases := []struct {
		name            string
		letter          byte
		payload         string
		answer          byte
		prefix, trailer string
	}{
		{"health check", frame.LetterHealthCheck, "", frame.LetterHealthCheck, "200", ""},
		{"load health check", frame.LetterLoadCheck, "", frame.LetterLoadCheck, "active=0,avg_ms=0.0,waiting=0", ""},
		{"request", frame.LetterRequest, "a1 7 d=500 3\nabc", frame.LetterReply, "a1 200 7 active=", "\nslice 7 by s-01"},
		{"request with a body size beyond its payload", frame.LetterRequest, "a2 7 d=500 4\nabc", frame.LetterError, "a call that cannot be read", ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if _, err := conn.Write(frame.Append(nil, c.letter, []byte(c.payload))); err != nil {
				t.Fatal(err)
			}
			letter, payload, err := frame.Read(reader)
			if err != nil || letter != c.answer || !strings.HasPrefix(string(payload), c.prefix) || !strings.HasSuffix(string(payload), c.trailer) {
				t.Errorf("letter = %q, payload = %q, error = %v, want letter %q, prefix %q, suffix %q",
					letter, payload, err, c.answer, c.prefix, c.trailer)
			}
		})
	}
}

func TestKillClosesConnectionsAndRestartKeepsAddress(t *testing.T) {
	fleet, _ := startFleet(t, 2)
	s := fleet.Servers[0]
	addr := s.Addr()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	s.Pause(time.Minute)
	if _, err := conn.Write([]byte("GET / HTTP/1.1\r\nHost: s\r\n\r\n")); err != nil {
		t.Fatal(err)
	}
	time.Sleep(20 * time.Millisecond)
	s.Kill(false)
	if err := conn.SetReadDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, conn); errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("read from the killed server: error = %v, want a closed connection", err)
	}
	if s.Alive() || s.StartedAtUnixMS() != 0 {
		t.Errorf("killed server: alive = %v, started at %d, want false and 0", s.Alive(), s.StartedAtUnixMS())
	}
	if err := s.Restart(); err != nil {
		t.Fatal(err)
	}
	if !s.Alive() || s.Addr() != addr || s.StartedAtUnixMS() == 0 {
		t.Errorf("restarted server: alive = %v, address = %s, started at %d, want true, %s and a time",
			s.Alive(), s.Addr(), s.StartedAtUnixMS(), addr)
	}
}
