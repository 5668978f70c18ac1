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
	goldenOrder   = Order{Term: 456789012345678, Revision: 12}
	goldenRequest = AssignmentRequest{Order: goldenOrder, Assignments: []resharding.Assignment{{
		Index:   "players",
		Version: 3,
		Tasks: []resharding.Task{{
			Shard: shardmap.FirstDynamicID + 4,
			Range: shardmap.Range{First: 1, Last: 0xff},
			Sources: []resharding.Source{{
				Range:   shardmap.Range{First: 2, Last: 0x7f},
				Servers: []string{"s-1"},
				Shard:   shardmap.FirstDynamicID,
			}},
		}},
	}}}
	goldenResponse = AssignmentResponse{Indices: map[string]IndexStatus{"players": {
		Version: 3,
		Shards: []resharding.ShardStatus{
			{Shard: shardmap.FirstDynamicID + 4, Complete: true, Records: 9},
			{Shard: shardmap.FirstDynamicID, Records: 10},
		},
	}}}
)

func TestAssignmentBodiesGolden(t *testing.T) {
	t.Run("request", func(t *testing.T) { goldentest.JSON(t, "call.json", goldenRequest) })
	t.Run("response", func(t *testing.T) { goldentest.JSON(t, "reply.json", goldenResponse) })
	// The form of earlier versions, which servers still get from them.
	t.Run("request without an order", func(t *testing.T) {
		request := goldenRequest
		request.Order = Order{}
		goldentest.Encodes(t, "call_unordered.json", request)
		goldentest.Decodes(t, "call_unordered.json", request)
	})
	t.Run("refusal", func(t *testing.T) {
		goldentest.JSON(t, "refusal.json", AssignmentRefusal{Accepted: goldenOrder})
	})
	t.Run("request without assignments", func(t *testing.T) {
		goldentest.Encodes(t, "call_empty.json", AssignmentRequest{})
	})
}

// Polls a server once and checks the bytes of the request and the decoded response.
func TestPollGolden(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	responseBody := goldentest.Read(t, "reply.json")
	requests := make(chan *http1.Request, 1)
	go func() {
		defer close(requests)
		netConn, err := ln.Accept()
		if err != nil {
			return
		}
		defer netConn.Close()
		req, err := http1.NewReader(netConn, 1<<20).Request()
		if err != nil {
			return
		}
		requests <- req
		_ = http1.WriteResponse(netConn, &http1.Response{Status: 200, Body: responseBody})
	}()
	e := New(Config{Timeout: 10 * time.Second})
	conn, response, err := e.poller.poll(context.Background(), heldLease(), nil, ln.Addr().String(), goldenRequest)
	if err != nil || !reflect.DeepEqual(response, goldenResponse) {
		t.Errorf("poll = %+v, error %v; want %+v", response, err, goldenResponse)
	}
	conn.close()
	req := <-requests
	if req == nil {
		t.Fatal("the server received no request")
	}
	goldentest.Bytes(t, "call.json", req.Body)
	if head := strings.Join([]string{
		req.Method, req.Path, req.Query, req.Header.Get("Host"),
	}, " "); head != "PUT /_layout  league-server" {
		t.Errorf("request = %q, want %q", head, "PUT /_layout  league-server")
	}
}
