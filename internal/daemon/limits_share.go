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
	memoryShare    = 0.6  // of the limit is the collector's; the rest is for what it does not see
	defaultSockets = 1024 // descriptors, where the platform sets no limit
	// ownSockets are the descriptors of the program itself: streams, listeners, discovery, the store, the admin listener.
	ownSockets = 24 + admin.MaxConns
)

// limitsShare divides the limits of the platform among the processes of this coordinator that run beside each other,
// and applies this process's share to the components.
type limitsShare struct {
	*process
	dials  *upstream.ConnLimiter // connections that all league servers may take
	core   *queryCore
	bodies *bodyStore
	fronts *clientFronts

	group *handover.Group
	alone chan struct{} // receives once no other process of this coordinator runs any more
}

func newLimitsShare(p *process, dials *upstream.ConnLimiter, core *queryCore, bodies *bodyStore,
	fronts *clientFronts) *limitsShare {
	return &limitsShare{process: p, dials: dials, core: core, bodies: bodies, fronts: fronts,
		alone: make(chan struct{}, 1)}
}

func (l *limitsShare) component() lifecycle.Component {
	return lifecycle.Component{Name: "handover", Stop: func() error { l.group.Close(); return nil }}
}

// join finds another process of this coordinator, and shares the limits with it. It precedes the start of the
// components, as the share decides which of them are deferred.
func (l *limitsShare) join() {
	var err error
	if l.group, err = handover.Join(os.TempDir(), l.cfg.name, l.cfg.module.MaxOpen, l.apply); err != nil {
		eventlog.HandoverFailed.Log(err) // a process that runs alone does without
		l.apply(handover.Share{Processes: 1, MaxOpen: l.cfg.module.MaxOpen})
	}
}

// apply keeps this process to its share of the limits.
func (l *limitsShare) apply(s handover.Share) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.share.Processes != s.Processes {
		eventlog.HandoverShare.Log(s.Processes, s.MaxOpen)
	}
	l.share = s
	l.limitMemory()
	clients, servers := shareSockets(l.cfg.sockets/s.Processes, l.fronts.planned())
	l.fronts.limit(clients)
	l.dials.SetLimit(servers)
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

// limitMemory sets the collector's limit to this process's share. The caller holds mu.
func (l *limitsShare) limitMemory() {
	if l.cfg.memoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(l.cfg.memoryMB) * (1 << 20) / float64(l.share.Processes)))
	}
}

// shareSockets divides the descriptors: half of what the program does not need for
// itself is for clients, the fronts alike, and half for the league servers, so that
// neither can starve the other. Clients with a request open need a third at most.
func shareSockets(sockets, fronts int) (clients, servers int) {
	rest := max(2, sockets-ownSockets)
	return max(1, rest/2/fronts), rest - rest/2
}
