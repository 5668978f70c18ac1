// Package reshardexec is the shell of the layouts' controller: it tells servers their duties
// and hears what they hold, over HTTP, and carries the controller's steps into the store.
// It decides nothing, and works only where its instance leads the store.
package reshardexec

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"linkpass"
	"linkpass/internal/coordinator"
	"linkpass/internal/eventlog"
	"linkpass/internal/http1"
	"linkpass/internal/metrics"
	"linkpass/internal/searchconfig"
	"linkpass/internal/shardmap"
	"linkpass/internal/shardmap/resharding"
	"linkpass/internal/store"
)

// AssignmentsPath is where a league server takes its duties and says what it holds.
const AssignmentsPath = "/_layout"

// AssignmentRequest is the body of a call to a server; Reply is its answer. Both may be repeated freely.
type AssignmentRequest struct {
	Assignments []resharding.Assignment `json:"duties"`
}

// AssignmentResponse is what a server holds, by index.
type AssignmentResponse struct {
	Indices map[string]IndexStatus `json:"indices"`
}

// IndexStatus is what a server holds of one index, and the version it knows.
type IndexStatus struct {
	Version uint64                   `json:"version"`
	Shards  []resharding.ShardStatus `json:"holdings"`
}

// Store is the replicated document.
type Store interface {
	Settings() *searchconfig.Config
	IsLeader() bool
	AdvanceShardMap(index string, c shardmap.Command) error
}

// Config sets up a steward.
type Config struct {
	Store        Store
	Limits       resharding.Limits
	PollInterval time.Duration // between two rounds of calls
	Timeout      time.Duration // of one call
	Now          func() time.Duration
	QueryTotals  func() (ended, refused int64) // queries so far
	Counters     *metrics.Counters
}

const (
	callsAtOnce = 16
	maxReply    = 16 << 20 // bytes: 100,000 holdings of a server
	pressedFrom = 0.02     // of queries refused
	quietFor    = 5        // polls
	tellFrom    = 20       // queries ended
)

// Executor is the shell. Its List may be called from anywhere.
type Executor struct {
	cfg Config

	mu      sync.Mutex
	members map[string]coordinator.Endpoint
	paced   bool // the pace has changed and Run has not seen it

	// Owned by Run.
	controller *resharding.Controller
	pressure   resharding.OverloadDetector
	reports    map[string]map[string]resharding.Report
	failed     map[string]time.Duration // when a server's last call failed; absent: it did not
	lines      map[string]*line
	problems   eventlog.RateLimited
}

// line is the connection to a server, kept between calls.
type line struct {
	addr string
	nc   net.Conn
	r    *http1.Reader
}

// New makes a steward.
func New(c Config) *Executor {
	return &Executor{cfg: c, members: map[string]coordinator.Endpoint{}, lines: map[string]*line{},
		pressure: resharding.OverloadDetector{RejectionRatio: pressedFrom, RecoveryPeriod: quietFor * c.PollInterval, MinSamples: tellFrom}}
}

// UpdateEndpoints follows the list of servers.
func (s *Executor) UpdateEndpoints(l coordinator.EndpointUpdate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l.Mode != linkpass.ListDelta {
		clear(s.members)
	}
	for _, m := range l.Endpoints {
		if m.State == linkpass.Gone {
			delete(s.members, m.Name)
		} else {
			s.members[m.Name] = m
		}
	}
}

// SetLimits changes the limits and the time between two rounds while it works; it holds from the next round on.
func (s *Executor) SetLimits(limits resharding.Limits, poll time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cfg.Limits, s.cfg.PollInterval, s.paced = limits, poll, true
}

// pace tells the limits and the time between two rounds, and whether they are news.
func (s *Executor) pace() (limits resharding.Limits, poll time.Duration, news bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	news, s.paced = s.paced, false
	return s.cfg.Limits, s.cfg.PollInterval, news
}

// Run works until the context ends.
func (s *Executor) Run(ctx context.Context) {
	limits, poll, _ := s.pace()
	tick := time.NewTicker(poll)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			s.rest()
			return
		case <-tick.C:
		}
		if l, poll, news := s.pace(); news {
			tick.Reset(poll)
			limits, s.controller = l, nil // a new one reads the plans from the layouts, as after a change of leader
		}
		if !s.cfg.Store.IsLeader() {
			s.rest()
			continue
		}
		if s.controller == nil {
			eventlog.ReshardingLeader.Log()
			s.controller = resharding.New(limits)
			s.reports, s.failed = map[string]map[string]resharding.Report{}, map[string]time.Duration{}
		}
		s.round(ctx)
	}
}

// rest gives up what only a leader needs.
func (s *Executor) rest() {
	for _, l := range s.lines {
		l.close()
	}
	clear(s.lines)
	s.controller = nil
}

// round calls every server once, then takes the steps that the controller wants.
func (s *Executor) round(ctx context.Context) {
	c := s.cfg.Store.Settings()
	layouts := map[string]*shardmap.Map{}
	for name := range c.Indices {
		if l := c.ShardMap(name); l != nil {
			layouts[name] = l
		}
	}
	if len(layouts) == 0 {
		return
	}
	s.mu.Lock()
	members := maps.Clone(s.members)
	s.mu.Unlock()
	s.callAll(ctx, members, duties(layouts))
	in := resharding.Input{Now: s.cfg.Now(), Maps: layouts, Reports: s.reports, Healthy: map[string]bool{}}
	for name, m := range members {
		_, failed := s.failed[name]
		in.Healthy[name] = m.State == linkpass.Ready && !failed
	}
	ended, refused := s.cfg.QueryTotals()
	in.Overloaded = s.pressure.Observe(in.Now, ended, refused)
	for _, step := range s.controller.NextActions(in) {
		s.take(step)
	}
}

// duties are what each server is to hold of all indices.
func duties(layouts map[string]*shardmap.Map) map[string][]resharding.Assignment {
	out := map[string][]resharding.Assignment{}
	for _, index := range slices.Sorted(maps.Keys(layouts)) {
		for name, d := range resharding.Assignments(index, layouts[index]) {
			out[name] = append(out[name], d)
		}
	}
	return out
}

// callAll tells every listed server its duties; one that holds nothing is told so too.
func (s *Executor) callAll(ctx context.Context, members map[string]coordinator.Endpoint, duties map[string][]resharding.Assignment) {
	type heard struct {
		name  string
		reply AssignmentResponse
		line  *line
		err   error
	}
	results := make(chan heard, len(members))
	places := make(chan struct{}, callsAtOnce)
	for name, l := range s.lines {
		if _, listed := members[name]; !listed {
			l.close()
			delete(s.lines, name)
			delete(s.reports, name)
			delete(s.failed, name)
		}
	}
	for name, m := range members {
		old := s.lines[name]
		if old != nil && old.addr != m.Addr {
			old.close()
			old = nil
		}
		go func() { // ends within the call's time
			places <- struct{}{}
			defer func() { <-places }()
			l, reply, err := s.call(ctx, old, m.Addr, AssignmentRequest{Assignments: duties[name]})
			results <- heard{name, reply, l, err}
		}()
	}
	for range members {
		h := <-results
		if h.line == nil {
			delete(s.lines, h.name)
		} else {
			s.lines[h.name] = h.line
		}
		if h.err != nil {
			s.failed[h.name] = s.cfg.Now()
			s.cfg.Counters.Add("resharding_calls_failed", 1)
			s.problems.Log(eventlog.AssignmentFailed, h.name, h.err)
			continue
		}
		delete(s.failed, h.name)
		reports := map[string]resharding.Report{}
		for index, held := range h.reply.Indices {
			reports[index] = resharding.Report{ReceivedAt: s.cfg.Now(), Version: held.Version, Shards: held.Shards}
		}
		s.reports[h.name] = reports
	}
}

// call makes one call on a server's connection, or on a new one.
func (s *Executor) call(ctx context.Context, l *line, addr string, c AssignmentRequest) (*line, AssignmentResponse, error) {
	var reply AssignmentResponse
	body, err := json.Marshal(c)
	if err != nil {
		return l, reply, fmt.Errorf("steward: %w", err)
	}
	if l == nil {
		d := net.Dialer{Timeout: s.cfg.Timeout}
		nc, err := d.DialContext(ctx, "tcp", addr)
		if err != nil {
			return nil, reply, fmt.Errorf("steward: %w", err)
		}
		l = &line{addr, nc, http1.NewReader(nc, maxReply)}
	}
	// The deadline is the connection's own: a call of the background must not stand among the queries'.
	err = l.nc.SetDeadline(time.Now().Add(s.cfg.Timeout))
	if err == nil {
		err = http1.WriteRequest(l.nc, "PUT", AssignmentsPath, "league-server", nil, body)
	}
	var res *http1.Response
	if err == nil {
		res, err = l.r.Response()
	}
	if err == nil && res.Status != 200 {
		err = fmt.Errorf("status %d", res.Status)
	}
	if err == nil {
		err = json.Unmarshal(res.Body, &reply)
	}
	if err != nil {
		l.close()
		return nil, reply, fmt.Errorf("steward: PUT %s: %w", AssignmentsPath, err)
	}
	return l, reply, nil
}

func (l *line) close() {
	if l != nil {
		_ = l.nc.Close()
	}
}

// take carries one step into the store. One that came too late is dropped: the next round
// looks at what holds then.
func (s *Executor) take(step resharding.Action) {
	err := s.cfg.Store.AdvanceShardMap(step.Index, step.Command)
	what, plan := "", shardmap.PlanID(0)
	if a := step.Command.Advance; a != nil {
		what, plan = string(a.Step), a.Plan
	} else if a := step.Command.Abandon; a != nil {
		what, plan = string(shardmap.Abandoned), a.Plan
	}
	switch {
	case err == nil:
		s.cfg.Counters.Add("resharding_"+what, 1)
		eventlog.ReshardingStep.Log(step.Index, plan, what, step.Reason)
	case errors.Is(err, shardmap.ErrVersionConflict), errors.Is(err, store.ErrConflict):
		s.cfg.Counters.Add("resharding_conflicts", 1)
	default:
		s.cfg.Counters.Add("resharding_steps_failed", 1)
		s.problems.Log(eventlog.ReshardingStepFailed, step.Index, plan, what, err)
	}
}
