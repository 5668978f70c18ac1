package reshardexec

import (
	"context"
	"net"
	"reflect"
	"strings"
	"testing"
	"time"

	"linkpass/internal/goldentest"
	"linkpass/internal/http1"
	"linkpass/internal/shardmap"
	"linkpass/internal/shardmap/resharding"
)

var (
	goldenCall = AssignmentRequest{Assignments: []resharding.Assignment{{Index: "players", Version: 3, Tasks: []resharding.Task{{Shard: shardmap.FirstDynamicID + 4,
		Range: shardmap.Range{First: 1, Last: 0xff}, Sources: []resharding.Source{{Range: shardmap.Range{First: 2, Last: 0x7f}, Servers: []string{"s-1"}, Shard: shardmap.FirstDynamicID}}}}}}}
	goldenReply = AssignmentResponse{Indices: map[string]IndexStatus{"players": {Version: 3,
		Shards: []resharding.ShardStatus{{Shard: shardmap.FirstDynamicID + 4, Complete: true, Records: 9}, {Shard: shardmap.FirstDynamicID, Records: 10}}}}}
)

func TestStatusBodiesGolden(t *testing.T) {
	t.Run("call", func(t *testing.T) { goldentest.JSON(t, "call.json", goldenCall) })
	t.Run("reply", func(t *testing.T) { goldentest.JSON(t, "reply.json", goldenReply) })
	t.Run("call without duties", func(t *testing.T) { goldentest.Encodes(t, "call_empty.json", AssignmentRequest{}) })
}

// One call at a server: the request's bytes, and the reply as it is read.
func TestCallGolden(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	answer := goldentest.Read(t, "reply.json")
	got := make(chan *http1.Request, 1)
	go func() {
		defer close(got)
		nc, err := ln.Accept()
		if err != nil {
			return
		}
		defer nc.Close()
		req, err := http1.NewReader(nc, 1<<20).Request()
		if err != nil {
			return
		}
		got <- req
		_ = http1.WriteResponse(nc, &http1.Response{Status: 200, Body: answer})
	}()
	s := New(Config{Timeout: 10 * time.Second})
	l, reply, err := s.call(context.Background(), nil, ln.Addr().String(), goldenCall)
	if err != nil || !reflect.DeepEqual(reply, goldenReply) {
		t.Errorf("got %+v, %v; want %+v", reply, err, goldenReply)
	}
	l.close()
	req := <-got
	if req == nil {
		t.Fatal("no request came")
	}
	goldentest.Bytes(t, "call.json", req.Body)
	if head := strings.Join([]string{req.Method, req.Path, req.Query, req.Header.Get("Host")}, " "); head != "PUT /_layout  league-server" {
		t.Errorf("request %q", head)
	}
}
