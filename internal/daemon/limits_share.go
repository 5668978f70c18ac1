package daemon

import (
	"os"
	"runtime/debug"

	"linkpass/internal/admin"
	"linkpass/internal/eventlog"
	"linkpass/internal/handover"
	"linkpass/internal/lifecycle"
	"linkpass/internal/upstream"
)

const (
	// gcMemoryShare is the share of the platform's memory limit that is set as the Go runtime's soft memory limit
	// (debug.SetMemoryLimit), divided among the processes. The rest is for memory that the runtime does not manage.
	gcMemoryShare = 0.6
	// clientMemoryShare is the share of the platform's memory limit that clients' connections may hold, divided among the
	// processes. It lies within gcMemoryShare, beside the stored bodies and the program's own state.
	clientMemoryShare = 0.375
	defaultSockets    = 1024 // descriptors, if the platform sets no limit
	// ownSockets are the descriptors that the program needs itself: streams, listeners, discovery, the store, the admin
	// listener.
	ownSockets = 24 + admin.MaxConns
)

// limitsShare divides the platform's limits among the processes of this coordinator that run at the same time, and
// applies this process's share to the components.
type limitsShare struct {
	*process
	connLimiter *upstream.ConnLimiter // limits the connections to all league servers together
	core        *queryCore
	bodies      *bodyStore
	fronts      *clientFronts

	group *handover.Group
	alone chan struct{} // receives a value when no other process of this coordinator runs
}

func newLimitsShare(p *process, connLimiter *upstream.ConnLimiter, core *queryCore, bodies *bodyStore,
	fronts *clientFronts) *limitsShare {
	return &limitsShare{process: p, connLimiter: connLimiter, core: core, bodies: bodies, fronts: fronts,
		alone: make(chan struct{}, 1)}
}

// component returns the component that leaves the group. It does not wait for the group's goroutines, because a start that
// fails stops the components with mu held, which apply locks; Start and stop wait.
func (l *limitsShare) component() lifecycle.Component {
	return lifecycle.Component{Name: "handover", Stop: func() error { l.group.Leave(); return nil }}
}

// join finds another process of this coordinator, and shares the limits with it. It is called before the components
// start, because the share decides which of them are deferred.
func (l *limitsShare) join() {
	var err error
	if l.group, err = handover.Join(os.TempDir(), l.cfg.name, l.cfg.routingSettings.MaxOpen, l.apply); err != nil {
		eventlog.HandoverFailed.Log(err) // a process that runs alone needs no handover
		l.apply(handover.Share{Processes: 1, MaxOpen: l.cfg.routingSettings.MaxOpen})
	}
}

// apply limits the components to this process's share.
func (l *limitsShare) apply(s handover.Share) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.share.Processes != s.Processes {
		eventlog.HandoverShare.Log(s.Processes, s.MaxOpen)
	}
	l.share = s
	l.limitMemory()
	clients, servers := shareSockets(l.cfg.sockets/s.Processes, l.fronts.configuredCount())
	l.fronts.setMaxConns(clients)
	l.connLimiter.SetLimit(servers)
	if l.core.core != nil {
		l.core.core.SetMaxOpen(s.MaxOpen)
	}
	l.bodies.applyShare()
	if s.Processes == 1 {
		select {
		case l.alone <- struct{}{}:
		default:
		}
	}
}

// limitMemory sets the Go runtime's soft memory limit, and what clients' connections may hold, to this process's share.
// The caller holds mu.
func (l *limitsShare) limitMemory() {
	if l.cfg.memoryMB <= 0 {
		return
	}
	share := float64(l.cfg.memoryMB) * (1 << 20) / float64(l.share.Processes)
	debug.SetMemoryLimit(int64(gcMemoryShare * share))
	l.memory.SetLimit(int64(clientMemoryShare * share))
}

// shareSockets divides the descriptors that the program does not need itself. Half of them are for clients, in equal
// parts for the fronts, and half for the league servers, so that neither can starve the other. The clients' half is
// more than those with a request open need, which is a third at most. shareSockets returns the connections of each
// front, and those to all league servers together.
func shareSockets(sockets, fronts int) (clients, servers int) {
	rest := max(2, sockets-ownSockets)
	return max(1, rest/2/fronts), rest - rest/2
}
