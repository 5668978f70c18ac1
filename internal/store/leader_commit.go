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
	once  sync.Once     // closes done

	mu     sync.Mutex  // guards latest
	latest logPosition // of the highest term; the term is that of the leader, not that of the entry
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

// Close closes the transport and ends the observer's goroutine.
func (o *commitObserver) Close() error {
	o.once.Do(func() { close(o.done) })
	return o.NetworkTransport.Close()
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
