package reshardexec

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"linkpass/internal/coordinator"
	"linkpass/internal/eventlog"
	"linkpass/internal/metrics"
	"linkpass/internal/shardmap/resharding"
)

// maxConcurrentPolls bounds the number of polls in flight.
const maxConcurrentPolls = 16

// serverPoller sends servers their assignments and keeps their latest reports. It is not safe for concurrent use.
type serverPoller struct {
	timeout  time.Duration // of one poll
	now      func() time.Duration
	counters *metrics.Counters
	failures *eventlog.RateLimited

	conns   map[string]*serverConn
	reports map[string]map[string]resharding.Report // by server and index
	failing map[string]bool                         // servers whose latest poll failed
	refused map[string]bool                         // servers that refused the order, until they accept one
}

// pollResult is the result of one poll. conn is the connection to reuse, nil if there is none.
type pollResult struct {
	server   string
	conn     *serverConn
	response AssignmentResponse
	err      error
}

// resetReports discards all reports, as after a change of leader.
func (p *serverPoller) resetReports() {
	p.reports = map[string]map[string]resharding.Report{}
	p.failing = map[string]bool{}
	p.refused = map[string]bool{}
}

// closeConns closes all connections.
func (p *serverPoller) closeConns() {
	for _, conn := range p.conns {
		conn.close()
	}
	clear(p.conns)
}

// pollAll polls every listed server once and returns when all polls have ended. A server without assignments is polled
// too: the empty request tells it that it may drop its shards.
func (p *serverPoller) pollAll(ctx context.Context, endpoints map[string]coordinator.Endpoint, lease *lease, order Order,
	assignments map[string][]resharding.Assignment) {
	p.removeUnlisted(endpoints)
	results := make(chan pollResult, len(endpoints))
	slots := make(chan struct{}, maxConcurrentPolls)
	for name, endpoint := range endpoints {
		conn := p.conns[name]
		if conn != nil && conn.addr != endpoint.Addr {
			conn.close()
			conn = nil
		}
		request := AssignmentRequest{Assignments: assignments[name], Order: order}
		go func() { // ends within the timeout of a poll, once it has a slot; its result is received below
			slots <- struct{}{}
			defer func() { <-slots }()
			conn, response, err := p.poll(ctx, lease, conn, endpoint.Addr, request)
			results <- pollResult{name, conn, response, err}
		}()
	}
	for range endpoints {
		p.record(<-results)
	}
}

// removeUnlisted closes the connections of servers that are no longer listed and deletes their state.
func (p *serverPoller) removeUnlisted(endpoints map[string]coordinator.Endpoint) {
	for name, conn := range p.conns {
		if _, listed := endpoints[name]; listed {
			continue
		}
		conn.close()
		delete(p.conns, name)
		delete(p.reports, name)
		delete(p.failing, name)
		delete(p.refused, name)
	}
}

// poll makes one poll on a server's connection, or on a new one if conn is nil. It returns the connection to reuse. The
// lease is checked last, so that only the request itself comes after it.
func (p *serverPoller) poll(ctx context.Context, lease *lease, conn *serverConn, addr string, request AssignmentRequest) (
	*serverConn, AssignmentResponse, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return conn, AssignmentResponse{}, fmt.Errorf("poll %s: encode assignments: %w", addr, err)
	}
	if conn == nil {
		if conn, err = dialServer(ctx, addr, p.timeout); err != nil {
			return nil, AssignmentResponse{}, err
		}
	}
	if err := lease.check(ctx); err != nil {
		return conn, AssignmentResponse{}, err
	}
	response, err := conn.exchange(body, p.timeout)
	if err != nil {
		conn.close()
		return nil, response, err
	}
	if !conn.named { // the next response on it could be a second copy of this one
		conn.close()
		return nil, response, nil
	}
	return conn, response, nil
}

// record stores the connection and the report of one poll. After a failed poll the previous report stays in place; the
// controller checks its age.
func (p *serverPoller) record(result pollResult) {
	if result.conn == nil {
		delete(p.conns, result.server)
	} else {
		p.conns[result.server] = result.conn
	}
	if errors.Is(result.err, errLeadershipLost) {
		p.counters.Add("resharding_polls_withheld", 1)
		return
	}
	if result.err != nil {
		p.failing[result.server] = true
		p.counters.Add("resharding_calls_failed", 1)
		p.logFailure(result)
		return
	}
	delete(p.refused, result.server)
	delete(p.failing, result.server)
	reports := map[string]resharding.Report{}
	for index, status := range result.response.Indices {
		reports[index] = resharding.Report{ReceivedAt: p.now(), Version: status.Version, Shards: status.Shards}
	}
	p.reports[result.server] = reports
}

// logFailure logs a failed poll. A refusal of the order is counted, and logged once until the server accepts an order.
func (p *serverPoller) logFailure(result pollResult) {
	var stale *StaleOrderError
	if !errors.As(result.err, &stale) {
		p.failures.Log(eventlog.AssignmentFailed, result.server, result.err)
		return
	}
	p.counters.Add("resharding_orders_refused", 1)
	if !p.refused[result.server] {
		p.refused[result.server] = true
		eventlog.AssignmentRefused.Log(result.server, stale.Accepted.Term, stale.Accepted.Revision)
	}
}
