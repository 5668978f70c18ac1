package daemon

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"linkpass/internal/eventlog"
)

// The interval between two starts of the deferred components, which doubles from the minimum to the maximum.
const (
	minDeferredRetryInterval = 100 * time.Millisecond
	maxDeferredRetryInterval = 10 * time.Second
)

// NotifySignals returns a channel of the signals that do not end the program: SIGUSR1 asks for a log of the counters,
// SIGHUP for a reload. Unless they are received, SIGHUP would end the program.
func NotifySignals() <-chan os.Signal {
	signals := make(chan os.Signal, 8)
	signal.Notify(signals, syscall.SIGUSR1, syscall.SIGHUP)
	return signals
}

// Serve runs the components and serves requests until the context ends. Then it finishes the requests in flight and
// stops all components.
func (p *Program) Serve(term context.Context, signals <-chan os.Signal) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	coreDone := make(chan struct{})
	go func() {
		defer close(coreDone)
		p.core.core.Run(ctx)
	}()
	p.mu.Lock()
	successor := p.isSuccessor()
	p.mu.Unlock()
	if !successor {
		close(p.fronts.admit)
	}
	p.components.Run(context.Background())
	eventlog.Started.Log(p.cfg.name, p.cfg.discovery, len(p.cfg.initialEndpoints.Endpoints))
	go p.reloader.run(ctx) // not waited for, as files may be slow; once stopping is set, a late reload is rejected
	p.handleEvents(term, signals, successor)

	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		p.shutdown.run()
	}()
	p.awaitShutdown(stopped, signals)
	cancel()
	<-coreDone
	select {
	case <-stopped:
	case <-time.After(finalWriteTime): // no deadline is enforced any more; a client that has not read by now never will
		p.fronts.close()
		<-stopped
	}
	return p.stop()
}

// stop stops all components. The fronts have ended before.
func (p *Program) stop() error {
	p.mu.Lock()
	p.stopping = true
	p.mu.Unlock()
	err := p.components.Stop()
	p.limits.group.Close()
	p.counters.Log("exit")
	eventlog.Stopped.Log()
	return err
}

// handleEvents handles signals until the context ends. Meanwhile it marks the program as usable once there is a list of
// servers, and starts the deferred components once no other process of this coordinator runs.
func (p *Program) handleEvents(term context.Context, signals <-chan os.Signal, successor bool) {
	usable, warm := p.discovery.watcher.Ready(), make(chan struct{})
	var retry <-chan time.Time // of the start of the deferred components
	retryInterval := minDeferredRetryInterval
	startDeferred := func() {
		retry = nil
		if !p.startDeferred() {
			retry = time.After(retryInterval)
			retryInterval = min(2*retryInterval, maxDeferredRetryInterval)
		}
	}
	for {
		select {
		case <-usable:
			usable = nil
			if !successor {
				p.readiness.MarkEndpointsUsable()
				break
			}
			// The other process serves meanwhile. This one joins it once its health checks of all servers have ended.
			p.core.core.WarmUp(func() { close(warm) })
		case <-warm:
			warm = nil
			close(p.fronts.admit)
			p.readiness.MarkEndpointsUsable()
		case <-p.limits.alone:
			startDeferred()
		case <-retry:
			startDeferred()
		case sig := <-signals:
			p.handleSignal(sig)
		case <-term.Done():
			return
		}
	}
}

// startDeferred starts the components that use what the other process of this coordinator owned until it ended, and are
// not started yet. It returns false if one of them has failed: the system may not have released yet what a process owned
// that was killed.
func (p *Program) startDeferred() (ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	ok = true
	p.components.StartDeferred(func(name string, err error) {
		ok = false
		if name == adminAPIName {
			eventlog.AdminAPIFailed.Log(err)
			return
		}
		eventlog.SearchFailed.Log(err)
	})
	return ok
}

// awaitShutdown handles signals until the fronts have stopped. It returns in any case before the platform kills the
// process: queries that are still open are failed then, while their clients can still be answered.
func (p *Program) awaitShutdown(stopped <-chan struct{}, signals <-chan os.Signal) {
	kill := time.NewTimer(p.shutdown.timeout())
	defer kill.Stop()
	for {
		select {
		case <-stopped:
			return
		case <-kill.C:
			return
		case sig := <-signals: // open requests are still routed by the endpoint list, and discovery may move
			p.handleSignal(sig)
		}
	}
}

func (p *Program) handleSignal(sig os.Signal) {
	if sig == syscall.SIGHUP {
		p.reloader.request()
		return
	}
	p.counters.Log("signal")
	p.bodies.logUsage()
}
