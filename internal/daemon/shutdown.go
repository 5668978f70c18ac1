package daemon

import (
	"net"
	"time"

	"linkpass/internal/eventlog"
)

const (
	grace         = 450 * time.Millisecond // after SIGTERM new connections are still accepted
	acceptBacklog = 50 * time.Millisecond  // past that, for the connections that wait in the backlog
	idleGrace     = 600 * time.Millisecond // after SIGTERM idle connections are kept

	// The platform kills the process once the longest deadline of a query, at most maxQueryWait, and 700 ms have passed
	// since SIGTERM.
	maxQueryWait   = 3 * time.Second
	answerMargin   = 350 * time.Millisecond // of the 700 ms: for the last answers
	finalWriteTime = 150 * time.Millisecond // for those answers to be written
)

// shutdown ends the fronts while the other components still run.
type shutdown struct {
	*process
	core   *queryCore
	fronts *clientFronts
	limits *limitsShare
}

// run admits clients for the grace period, then finishes the requests in flight. Where the platform holds
// the socket another process accepts on it, and this one stops at once. Elsewhere nobody
// else would accept what waits in the backlog: the socket is closed only once that is accepted.
func (s *shutdown) run() {
	s.readiness.Shutdown()
	wait := grace
	if s.cfg.listenFD != 0 {
		wait = 0
	}
	eventlog.Stopping.Log(wait.Milliseconds())
	time.Sleep(wait)
	close(s.fronts.leaving)
	own, shared := s.fronts.listeners, []net.Listener(nil)
	if s.cfg.listenFD != 0 {
		own, shared = own[1:], own[:1]
	}
	closeListeners(own, shared, s.fronts.accepting.Wait)
	time.Sleep(idleGrace - wait)
	s.limits.group.Retire(s.core.core.OpenCount())
	s.fronts.stop()
}

// timeout is how long after SIGTERM queries may take: the rest of the time until the kill is for the end of the process.
func (s *shutdown) timeout() time.Duration {
	return min(s.maxDeadline(), maxQueryWait) + answerMargin
}

// closeListeners draws the line behind which no client is admitted. Listeners shared with other processes are closed
// at once; for our own all of the backlog is accepted first. accepted waits until that is done.
func closeListeners(own, shared []net.Listener, accepted func()) {
	for _, ln := range shared {
		_ = ln.Close()
	}
	for _, ln := range own {
		_ = ln.(*net.TCPListener).SetDeadline(time.Now().Add(acceptBacklog))
	}
	accepted()
	for _, ln := range own {
		_ = ln.Close()
	}
}
