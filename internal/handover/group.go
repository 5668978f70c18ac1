// Package handover divides one set of limits between the processes of one coordinator while they run at the same time,
// because one version is taking over from another.
//
// The processes form a group through a Unix socket. The process that listens on it is the leader and sends each
// follower its share; when the leader ends, a follower takes its place. The package owns the socket and computes the
// shares. It does not apply them: each process does that itself, in the callback that it passes to Join.
package handover

import (
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"syscall"
)

// Group is the group of a coordinator's processes, as seen by this process.
type Group struct {
	path    string // of the socket
	maxOpen int    // limit of all processes together on queries and shard requests in flight; 0 or less: no limit
	onShare func(Share)

	mu               sync.Mutex        // guards the fields below
	listener         net.Listener      // nil while this process is a follower
	leader           net.Conn          // connection to the leader; nil while this process is the leader
	followers        map[net.Conn]bool // connections to the followers; empty while this process is a follower
	retiring         bool              // this process accepts no more queries
	inFlightAtRetire int               // queries and shard requests in flight when it began to retire
	closed           bool

	wg sync.WaitGroup // of all goroutines
}

// Join joins the group of the processes of the coordinator of this name, which have the directory in common. It calls
// onShare with the first share before it returns and, from other goroutines, with each later one; onShare must not call
// the group. If Join fails, it has not called onShare, and the group that it returns has no other process but must be
// closed all the same.
func Join(dir, name string, maxOpen int, onShare func(Share)) (*Group, error) {
	g := &Group{
		path:      filepath.Join(dir, "linkpass-"+filepath.Base(name)+".sock"),
		maxOpen:   maxOpen,
		onShare:   onShare,
		followers: map[net.Conn]bool{},
	}
	return g, g.followOrLead()
}

// followOrLead makes this process a follower of the group's leader, or the leader if there is none.
func (g *Group) followOrLead() error {
	// The lock prevents two processes that start at the same time from both becoming the leader: the second one gets
	// the lock once the first listens, and follows it.
	unlock, err := lockFile(g.path + ".lock")
	if err != nil {
		return fmt.Errorf("handover: join %s: %w", g.path, err)
	}
	defer unlock()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return nil
	}
	if leader, err := net.Dial("unix", g.path); err == nil {
		g.follow(leader)
		return nil
	}
	if err := g.lead(); err != nil {
		return fmt.Errorf("handover: lead %s: %w", g.path, err)
	}
	return nil
}

// lockFile waits for an exclusive lock on a file, which it creates if it does not exist.
func lockFile(path string) (unlock func(), err error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX); err != nil {
		_ = file.Close()
		return nil, &os.PathError{Op: "flock", Path: path, Err: err}
	}
	return func() { _ = file.Close() }, nil
}

// lead makes this process the leader. The caller must hold the mutex.
func (g *Group) lead() error {
	// A process that crashed may have left its socket behind.
	if err := os.Remove(g.path); err != nil && !errors.Is(err, os.ErrNotExist) {
		return err
	}
	listener, err := net.Listen("unix", g.path)
	if err != nil {
		return err
	}
	g.listener = listener
	g.leader = nil
	g.onShare(Share{Processes: 1, MaxOpen: g.maxOpen})
	g.wg.Go(func() { g.acceptFollowers(listener) })
	return nil
}

// Retire records that this process accepts no more queries and has inFlight queries and shard requests in flight. The
// rest of its share goes to the other processes.
func (g *Group) Retire(inFlight int) {
	g.update(func() {
		g.retiring = true
		g.inFlightAtRetire = inFlight
	})
}

// Close leaves the group and waits until all of its goroutines have ended, and so until onShare has returned.
func (g *Group) Close() {
	g.Leave()
	g.wg.Wait()
}

// Leave leaves the group, and does not wait: onShare may still be called for a share that has arrived.
func (g *Group) Leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	if g.listener != nil {
		_ = g.listener.Close() // also removes the socket's file
	}
	if g.leader != nil {
		_ = g.leader.Close()
	}
	for follower := range g.followers {
		_ = follower.Close()
	}
}
