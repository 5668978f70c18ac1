package discovery

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"linkpass/internal/coordinator"
	"linkpass/internal/eventlog"
	"linkpass/internal/metrics"
	"linkpass/internal/routing"
)

// Core is the part of the coordinator's core that a Watcher uses: it receives the endpoint updates and provides the
// clock and the deadlines.
type Core interface {
	UpdateEndpoints(coordinator.EndpointUpdate)
	// Now returns the time of the core's clock.
	Now() time.Duration
	// Arm calls fire when the core's clock reaches at, unless disarm is called before.
	Arm(at time.Duration, fire func()) (disarm func())
}

// startSlackCalls is the number of answered calls after a start, a failure or a change of address until which a call
// gets Timeouts.startSlack on top of its wait; later calls get Timeouts.renewSlack. The first calls may have to wait in
// the queue of a service that answers the calls of all coordinators one after the other.
const startSlackCalls = 2

// Watcher follows the endpoint list. The goroutine of Run owns the watcher's state and connection. It starts a
// goroutine for each call, one at a time, and receives the call's result before it continues or returns.
type Watcher struct {
	Addr      string // host:port; Run changes it after SetAddress
	Converter *Converter
	Core      Core
	Counters  *metrics.Counters
	Seed      uint64   // of the backoff's jitter; differs between coordinators, so that they retry at different times
	Timeouts  Timeouts // set by NewWatcher to SharedServiceTimeouts

	version            int64 // of the list last applied, or noVersion
	consecutiveAnswers int   // since the last failure or change of address
	failing            bool  // the last call failed, and the outage has been logged
	conn               *discoveryConn
	backoffBase        time.Duration // of the wait after the next failure
	random             *rand.Rand

	results     chan callResult // from the call's goroutine to Run; never closed
	addrChanges chan string     // from SetAddress to Run; holds only the latest address; never closed
	ready       chan struct{}   // closed by markReady, once
	markReady   func()
}

// NewWatcher returns a watcher of the list at an address (host:port), with SharedServiceTimeouts and Seed 0.
func NewWatcher(addr string, converter *Converter, core Core, counters *metrics.Counters) *Watcher {
	w := &Watcher{
		Addr:        addr,
		Converter:   converter,
		Core:        core,
		Counters:    counters,
		Timeouts:    SharedServiceTimeouts,
		results:     make(chan callResult, 1),
		addrChanges: make(chan string, 1),
		ready:       make(chan struct{}),
	}
	w.markReady = sync.OnceFunc(func() { close(w.ready) })
	return w
}

// Ready returns a channel that is closed once there is a list to work with: discovery has answered, or
// firstAnswerTimeout has passed and the cached list is in use. If no endpoint is cached, it is closed after
// startupTimeout even without a list; queries are then rejected until discovery answers.
func (w *Watcher) Ready() <-chan struct{} { return w.ready }

// SetAddress makes Run watch the list at another address. If it is called several times before Run reads the address,
// only the last address is used. It must not be called from two goroutines at once.
func (w *Watcher) SetAddress(addr string) {
	select {
	case <-w.addrChanges:
	default:
	}
	w.addrChanges <- addr
}

// Run applies the cached list, then watches for changes until the context ends.
func (w *Watcher) Run(ctx context.Context, cached EndpointList) {
	disarm := w.start(cached)
	defer disarm()
	defer w.closeConn()
	for {
		body, newAddr, err := w.poll(ctx)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			err = w.apply(body)
		}
		switch {
		case newAddr != "":
			w.switchAddress(newAddr)
		case err != nil:
			w.recordFailure(err)
			w.waitBackoff(ctx)
		default:
			w.recordSuccess()
		}
	}
}

// start applies the cached list and arms the deadline at which the watcher becomes ready without an answer.
func (w *Watcher) start(cached EndpointList) (disarm func()) {
	timeout := startupTimeout
	w.version = noVersion
	update, err := w.Converter.Convert(cached)
	if err != nil {
		w.recordInvalidList(err)
	} else {
		update.Mode = routing.UpdateCached
		w.version = cached.Version
		w.Core.UpdateEndpoints(update)
		if len(update.Endpoints) > 0 {
			timeout = firstAnswerTimeout
		}
	}
	disarm = w.Core.Arm(w.Core.Now()+timeout, w.markReady)
	w.backoffBase = w.Timeouts.minBackoff
	w.random = rand.New(rand.NewPCG(w.Seed, 0))
	return disarm
}

// poll makes one call and waits for its result. newAddr is set if SetAddress ended the call early; body may hold a
// response even then.
func (w *Watcher) poll(ctx context.Context) (body []byte, newAddr string, err error) {
	callCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	request, conn := w.nextRequest(), w.conn
	go func() { w.results <- w.call(callCtx, conn, request) }()
	var result callResult
	select {
	case result = <-w.results: // comes when ctx ends, too: that ends the call
	case newAddr = <-w.addrChanges:
		cancel()
		result = <-w.results
	}
	w.conn = result.conn
	return result.body, newAddr, result.err
}

// nextRequest returns a request for the changes since the version applied, or for the complete list if none is applied.
// The first call of a watch is answered at once, so that a cached list is confirmed without the wait of a long poll.
func (w *Watcher) nextRequest() listRequest {
	request := listRequest{version: w.version, wait: longPollWait, slack: w.Timeouts.renewSlack}
	if w.consecutiveAnswers == 0 || request.version == noVersion {
		request.wait = 0
	}
	if w.consecutiveAnswers < startSlackCalls {
		request.slack = w.Timeouts.startSlack
	}
	return request
}

// apply passes a response's list on to the core. After an error the complete list is requested.
func (w *Watcher) apply(body []byte) error {
	list, update, err := w.decode(body)
	if err != nil {
		w.recordInvalidList(err)
		w.version = noVersion
		return err
	}
	w.Counters.Add("discovery_answers", 1)
	w.version = list.Version
	if list.Full || len(update.Endpoints) > 0 {
		w.Core.UpdateEndpoints(update)
	}
	w.markReady()
	return nil
}

// decode decodes and converts the list of a response. It rejects changes that are older than the version applied: a
// server that is in service there may have begun to drain since.
func (w *Watcher) decode(body []byte) (EndpointList, coordinator.EndpointUpdate, error) {
	list, err := Parse(body)
	if err != nil {
		return EndpointList{}, coordinator.EndpointUpdate{}, err
	}
	update, err := w.Converter.Convert(list)
	if err != nil {
		return EndpointList{}, coordinator.EndpointUpdate{}, err
	}
	if !list.Full && list.Version < w.version {
		return EndpointList{}, coordinator.EndpointUpdate{}, &staleVersionError{version: list.Version, applied: w.version}
	}
	return list, update, nil
}

func (w *Watcher) recordInvalidList(err error) {
	w.Counters.Add("discovery_bad", 1)
	eventlog.EndpointListInvalid.Log(err)
}

func (w *Watcher) recordSuccess() {
	if w.failing {
		w.failing = false
		eventlog.DiscoveryRecovered.Log(w.Addr)
	}
	w.consecutiveAnswers++
	w.backoffBase = w.Timeouts.minBackoff
}

// recordFailure counts a failed call. Unless discovery rejected the call by a status, changes may have been lost with
// the connection, and the complete list is requested. Only the first of consecutive failures is logged, so that there
// is no line for each retry while discovery is down.
func (w *Watcher) recordFailure(err error) {
	w.Counters.Add("discovery_failed", 1)
	w.consecutiveAnswers = 0
	if !errors.As(err, new(statusError)) {
		w.version = noVersion
	}
	if !w.failing {
		eventlog.DiscoveryFailed.Log(w.Addr, err)
	}
	w.failing = true
}

// waitBackoff waits before the next call. A change of address or the end of the context ends the wait early.
func (w *Watcher) waitBackoff(ctx context.Context) {
	var wait time.Duration
	wait, w.backoffBase = w.Timeouts.backoff(w.backoffBase, w.random.Float64())
	select {
	case <-ctx.Done():
	case addr := <-w.addrChanges:
		w.switchAddress(addr)
	case <-time.After(wait):
	}
}

// switchAddress replaces the address. The complete list is requested from the new one, because another discovery
// service may number its versions differently.
func (w *Watcher) switchAddress(addr string) {
	w.closeConn()
	eventlog.DiscoveryMoved.Log(w.Addr, addr)
	w.Counters.Add("discovery_moved", 1)
	w.Addr, w.version = addr, noVersion
	w.consecutiveAnswers, w.backoffBase = 0, w.Timeouts.minBackoff
}

func (w *Watcher) closeConn() {
	if w.conn != nil {
		_ = w.conn.Close()
		w.conn = nil
	}
}
