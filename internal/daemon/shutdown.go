package daemon

import (
	"net"
	"time"

	"linkpass/internal/eventlog"
)

const (
	acceptGrace       = 450 * time.Millisecond // after SIGTERM, while new connections are still accepted
	acceptBacklogTime = 50 * time.Millisecond  // after that, to accept the connections that wait in the backlog
	idleGrace         = 600 * time.Millisecond // after SIGTERM, while idle connections are kept

	// The platform kills the process once the longest deadline of a query, at most maxQueryWait, and 700 ms have passed
	// since SIGTERM.
	maxQueryWait   = 3 * time.Second
	answerMargin   = 350 * time.Millisecond // part of the 700 ms, for the last answers
	finalWriteTime = 150 * time.Millisecond // for writing those answers
)

// shutdown stops the fronts while the other components still run.
type shutdown struct {
	*process
	core   *queryCore
	fronts *clientFronts
	limits *limitsShare
}

// run admits clients for the grace period, and then finishes the requests in flight. If the platform holds the
// listening socket, another process accepts on it, and this one stops accepting at once. Otherwise no other process
// would accept the connections that wait in the backlog, so the socket is closed only once they are accepted.
func (s *shutdown) run() {
	s.readiness.Shutdown()
	wait := acceptGrace
	if s.cfg.listenFD != 0 {
		wait = 0
	}
	eventlog.Stopping.Log(wait.Milliseconds())
	time.Sleep(wait)
	close(s.fronts.stopAdmitting)
	own, shared := s.fronts.listeners, []net.Listener(nil)
	if s.cfg.listenFD != 0 {
		own, shared = own[1:], own[:1]
	}
	closeListeners(own, shared, s.fronts.accepting.Wait)
	time.Sleep(idleGrace - wait)
	s.limits.group.Retire(s.core.core.OpenCount())
	s.fronts.stop()
}

// timeout returns how long after SIGTERM queries may take. The rest of the time until the platform kills the process is
// for ending it.
func (s *shutdown) timeout() time.Duration {
	return min(s.maxDeadline(), maxQueryWait) + answerMargin
}

// closeListeners closes the listeners, after which no client is admitted. Those shared with other processes are closed
// at once. Of this process's own, the whole backlog is accepted first; accepted waits until that is done.
func closeListeners(own, shared []net.Listener, accepted func()) {
	for _, ln := range shared {
		_ = ln.Close()
	}
	for _, ln := range own {
		_ = ln.(*net.TCPListener).SetDeadline(time.Now().Add(acceptBacklogTime))
	}
	accepted()
	for _, ln := range own {
		_ = ln.Close()
	}
}
