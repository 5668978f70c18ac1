package store

import (
	"sync"

	"github.com/hashicorp/raft"
)

// logPosition is the position of an entry in the log.
type logPosition struct{ term, index uint64 }

// commitObserver is a Raft transport that remembers up to which index leaders have told this process that the log is
// committed. The Raft library's own commit index is not enough for that: it ends at the last entry that this instance
// has, however far the leader's log goes on.
type commitObserver struct {
	*raft.NetworkTransport
	calls chan raft.RPC // the calls from the other members, after they were observed
	done  chan struct{} // closed by Close

	mu     sync.Mutex  // guards latest and closed
	latest logPosition // of the highest term; the term is that of the leader, not that of the entry
	closed bool        // Close was called; no heartbeat is handled any more
	// heartbeats counts the heartbeats that are handled. Raft handles them on the transport's goroutines, which its
	// shutdown does not wait for, and may write the term to the log's file.
	heartbeats sync.WaitGroup
}

var (
	_ raft.Transport   = (*commitObserver)(nil)
	_ raft.WithClose   = (*commitObserver)(nil)
	_ raft.WithPreVote = (*commitObserver)(nil)
)

// newCommitObserver returns an observer of a transport, which it owns.
func newCommitObserver(transport *raft.NetworkTransport) *commitObserver {
	o := &commitObserver{
		NetworkTransport: transport,
		calls:            make(chan raft.RPC),
		done:             make(chan struct{}),
	}
	go o.forward()
	return o
}

// Consumer returns the calls from the other members.
func (o *commitObserver) Consumer() <-chan raft.RPC { return o.calls }

// Close closes the transport, ends the observer's goroutine and waits until no heartbeat is handled.
func (o *commitObserver) Close() error {
	o.mu.Lock()
	if !o.closed {
		close(o.done)
	}
	o.closed = true
	o.mu.Unlock()
	err := o.NetworkTransport.Close()
	o.heartbeats.Wait()
	return err
}

// SetHeartbeatHandler sets the function that handles heartbeats. It is not called after Close.
func (o *commitObserver) SetHeartbeatHandler(handle func(raft.RPC)) {
	o.NetworkTransport.SetHeartbeatHandler(o.untilClosed(handle))
}

// untilClosed returns a handler that calls handle before Close, and refuses the call after it.
func (o *commitObserver) untilClosed(handle func(raft.RPC)) func(raft.RPC) {
	return func(call raft.RPC) {
		o.mu.Lock()
		closed := o.closed
		if !closed {
			o.heartbeats.Add(1)
		}
		o.mu.Unlock()
		if closed {
			call.Respond(nil, raft.ErrTransportShutdown)
			return
		}
		defer o.heartbeats.Done()
		handle(call)
	}
}

// forward observes the calls and passes them on until Close.
func (o *commitObserver) forward() {
	for {
		select {
		case <-o.done:
			return
		case call := <-o.NetworkTransport.Consumer():
			o.observe(call.Command)
			select {
			case <-o.done:
				return
			case o.calls <- call:
			}
		}
	}
}

// observe remembers the commit index of a call. A heartbeat has none.
func (o *commitObserver) observe(command any) {
	request, ok := command.(*raft.AppendEntriesRequest)
	if !ok || request.LeaderCommitIndex == 0 {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if request.Term < o.latest.term {
		return
	}
	if request.Term > o.latest.term {
		o.latest = logPosition{term: request.Term}
	}
	o.latest.index = max(o.latest.index, request.LeaderCommitIndex)
}

// leaderCommit returns the highest commit index of the leader with the highest term that has told one; the zero
// position if none has since the start of this process.
func (o *commitObserver) leaderCommit() logPosition {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.latest
}
