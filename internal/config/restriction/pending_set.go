package restriction

import (
	"errors"
	"fmt"
	"maps"
	"slices"
)

const (
	// MaxPendingOwn is the maximum number of pending requests that one process issued. At the limit, Issue fails.
	MaxPendingOwn = 64
	// MaxPending is the maximum number of pending requests of all origins at one instance.
	MaxPending = 1024
)

// ErrTooManyPending is returned by Issue if too many requests are pending. No further request can be issued before the
// log has settled some of them.
var ErrTooManyPending = errors.New("restriction: too many pending requests")

// ReplicatedState is the part of the replicated state that an instance has applied so far.
type ReplicatedState interface {
	// Settled returns the requests that the log has settled.
	Settled() SettledSet
	// Restriction returns a server's restriction according to the log.
	Restriction(server string) Level
}

// PendingSet is the set of requests that an instance knows and that the log has not settled. It is not safe for
// concurrent use.
type PendingSet struct {
	origin  Origin
	lastSeq uint64 // sequence number of the latest request of this process; 0: none
	pending map[ID]Request
}

// NewPendingSet returns an empty set for a process. No other process, of this instance or another, may have the same
// origin: request ids would be used twice.
func NewPendingSet(origin Origin) *PendingSet {
	return &PendingSet{origin: origin, pending: map[ID]Request{}}
}

// Issue creates a request of this process, which takes effect at this instance at once. It returns ErrTooManyPending at
// the limits MaxPendingOwn and MaxPending.
func (p *PendingSet) Issue(server string, level Level, force bool) (Request, error) {
	own := 0
	for id := range p.pending {
		if id.Origin == p.origin {
			own++
		}
	}
	if own >= MaxPendingOwn || len(p.pending) >= MaxPending {
		return Request{}, fmt.Errorf("%w: %d issued by this process (limit %d), %d in total (limit %d)",
			ErrTooManyPending, own, MaxPendingOwn, len(p.pending), MaxPending)
	}
	p.lastSeq++
	request := Request{
		ID:     ID{Origin: p.origin, Seq: p.lastSeq},
		Server: server,
		Level:  level,
		Force:  force,
	}
	p.pending[request.ID] = request
	return request, nil
}

// Receive adds requests of other instances, in any order and any number of times, and returns the new ones. It skips
// requests with an invalid level. Once MaxPending requests are pending, it drops further ones: they take effect here
// only when the log has accepted them.
func (p *PendingSet) Receive(log ReplicatedState, requests ...Request) []Request {
	settled := log.Settled()
	var added []Request
	for _, request := range requests {
		if len(p.pending) >= MaxPending {
			break
		}
		if request.Level == None || request.Level > Removed {
			continue
		}
		if _, known := p.pending[request.ID]; known || settled.Contains(request.ID) {
			continue
		}
		p.pending[request.ID] = request
		added = append(added, request)
	}
	return added
}

// DropSettled removes the requests that the log has settled.
func (p *PendingSet) DropSettled(log ReplicatedState) {
	settled := log.Settled()
	maps.DeleteFunc(p.pending, func(id ID, _ Request) bool { return settled.Contains(id) })
}

// List returns the pending requests, sorted by origin and sequence number.
func (p *PendingSet) List() []Request {
	return slices.SortedFunc(maps.Values(p.pending), func(a, b Request) int { return compareIDs(a.ID, b.ID) })
}

// Effective returns the restriction of a server at this instance: the strictest level among the log's restriction and
// the pending requests.
func (p *PendingSet) Effective(log ReplicatedState, server string) Level {
	level := log.Restriction(server)
	settled := log.Settled()
	for id, request := range p.pending {
		if request.Server == server && !settled.Contains(id) {
			level = max(level, request.Level)
		}
	}
	return level
}
