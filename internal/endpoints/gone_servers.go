package endpoints

import (
	"context"
	"maps"
	"time"

	"linkpass/internal/coordinator"
	"linkpass/internal/eventlog"
)

// goneRetryInterval is the time between two attempts to write the servers that are gone to disk.
const goneRetryInterval = time.Second

// goneSaver writes the added servers that are gone to disk each time that they change, so that a process that starts later
// does not take them for servers in service.
type goneSaver struct {
	wake   chan struct{} // capacity 1; never closed
	toSave func() (ReplicatedLog, GoneServers)
	saved  GoneServers // nil: not known
}

func newGoneSaver(toSave func() (ReplicatedLog, GoneServers)) *goneSaver {
	return &goneSaver{wake: make(chan struct{}, 1), toSave: toSave}
}

// notify wakes the saver. It does not block.
func (g *goneSaver) notify() {
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// run saves until the context ends.
func (g *goneSaver) run(ctx context.Context) {
	for {
		var retry <-chan time.Time
		if !g.save() {
			retry = time.After(goneRetryInterval)
		}
		select {
		case <-ctx.Done():
			return
		case <-g.wake:
		case <-retry:
		}
	}
}

// save writes the servers to disk if they have changed, and returns false if that failed.
func (g *goneSaver) save() bool {
	log, gone := g.toSave()
	if log == nil || g.saved != nil && maps.Equal(g.saved, gone) {
		return true
	}
	if err := log.SaveGone(gone); err != nil {
		eventlog.StoreFailed.Log(err)
		return false
	}
	g.saved = gone
	return true
}

// goneToSave returns the log and the added servers that are gone; a nil log before Attach.
func (r *Registry) goneToSave() (ReplicatedLog, GoneServers) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.log == nil {
		return nil, nil
	}
	state, gone := r.log.State(), GoneServers{}
	for _, name := range r.merger.Gone() {
		if server, ok := state.Server(name); ok && server.Spec != nil {
			gone[name] = *server.Spec
		}
	}
	return r.log, gone
}

// restoreGone passes the servers that were gone in an earlier process to the merger. The caller must hold the mutex.
func (r *Registry) restoreGone(gone GoneServers) {
	endpoints := map[string]coordinator.Endpoint{}
	for name, spec := range gone {
		if endpoint, err := r.cfg.ResolveEndpoint(name, spec); err == nil {
			endpoints[name] = endpoint
		}
	}
	r.merger.RestoreGone(endpoints)
}
