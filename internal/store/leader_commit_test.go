package store

import (
	"errors"
	"net"
	"testing"
	"testing/synctest"

	"github.com/hashicorp/raft"

	"linkpass/internal/eventlog"
)

// Guards against a panic at the end of the process («database not open»): Raft's shutdown does not wait for a heartbeat
// that is being handled, which may write to the log's file. Close waits for it, and no later one is handled.
func TestCloseWaitsForHeartbeat(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	transport := newNetworkTransport(ln, eventlog.RaftLogger())
	synctest.Test(t, func(t *testing.T) {
		o := &commitObserver{NetworkTransport: transport, done: make(chan struct{})}
		handling, goOn := make(chan struct{}), make(chan struct{})
		handled := 0
		handle := o.untilClosed(func(raft.RPC) {
			handled++
			close(handling)
			<-goOn
		})
		go handle(raft.RPC{})
		<-handling
		closed := make(chan error, 1)
		go func() { closed <- o.Close() }()
		synctest.Wait()
		select {
		case <-closed:
			t.Error("Close returned while a heartbeat was handled")
		default:
		}
		response := make(chan raft.RPCResponse, 1)
		handle(raft.RPC{RespChan: response})
		if got := <-response; !errors.Is(got.Error, raft.ErrTransportShutdown) || handled != 1 {
			t.Errorf("heartbeat after Close: error %v, %d handled; want ErrTransportShutdown and 1", got.Error, handled)
		}
		close(goOn)
		if err := <-closed; err != nil {
			t.Error(err)
		}
	})
}

// The commit index of a leader with a lower term does not count, and a heartbeat has none.
func TestObserverKeepsCommitOfHighestTerm(t *testing.T) {
	o := &commitObserver{}
	for _, c := range []struct {
		term, index uint64
		want        logPosition
	}{
		{3, 0, logPosition{}},
		{3, 7, logPosition{3, 7}},
		{3, 6, logPosition{3, 7}},
		{2, 9, logPosition{3, 7}},
		{4, 5, logPosition{4, 5}},
		{4, 0, logPosition{4, 5}},
	} {
		o.observe(&raft.AppendEntriesRequest{Term: c.term, LeaderCommitIndex: c.index})
		if got := o.leaderCommit(); got != c.want {
			t.Errorf("after term %d, index %d: %+v, want %+v", c.term, c.index, got, c.want)
		}
	}
}
