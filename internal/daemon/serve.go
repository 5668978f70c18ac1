package daemon

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"linkpass/internal/eventlog"
)

// NotifySignals returns a channel of the signals that end nothing: SIGUSR1 asks for the counters,
// SIGHUP for a reload. Unless they are received SIGHUP would end the program.
func NotifySignals() <-chan os.Signal {
	signals := make(chan os.Signal, 8)
	signal.Notify(signals, syscall.SIGUSR1, syscall.SIGHUP)
	return signals
}

// Serve serves until the context ends, then finishes the requests in flight.
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
	eventlog.Started.Log(p.cfg.name, p.cfg.discovery, len(p.cfg.known.Endpoints))
	go p.reloader.run(ctx) // not waited for: files may be slow, and a late reload is rejected once stopping is set
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
	case <-time.After(finalWriteTime): // no deadline is enforced any more: a client that does not read now never will
		p.fronts.close()
		<-stopped
	}
	return p.stop()
}

// stop stops all components once the fronts have ended.
func (p *Program) stop() error {
	p.mu.Lock()
	p.stopping = true
	p.mu.Unlock()
	err := p.components.Stop()
	p.counters.Log("exit")
	eventlog.Stopped.Log()
	return err
}

// handleEvents handles signals, and becomes ready when there are servers, until the context ends.
func (p *Program) handleEvents(term context.Context, signals <-chan os.Signal, successor bool) {
	usable, warm := p.discovery.watcher.Ready(), make(chan struct{})
	for {
		select {
		case <-usable:
			usable = nil
			if !successor {
				p.readiness.MarkEndpointsUsable()
				break
			}
			// The other process serves meanwhile: this one joins it when it knows its servers.
			p.core.core.WarmUp(func() { close(warm) })
		case <-warm:
			warm = nil
			close(p.fronts.admit)
			p.readiness.MarkEndpointsUsable()
		case <-p.limits.alone:
			p.startDeferred()
		case sig := <-signals:
			p.handleSignal(sig)
		case <-term.Done():
			return
		}
	}
}

// startDeferred starts what the other process of this coordinator owned until it ended.
func (p *Program) startDeferred() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.components.StartDeferred(func(name string, err error) {
		if name == adminAPIName {
			eventlog.AdminAPIFailed.Log(err)
			return
		}
		eventlog.SearchFailed.Log(err)
	})
}

// awaitShutdown handles signals until the fronts have stopped. It returns before the platform
// kills: what is still open is failed then, while its clients can still be answered.
func (p *Program) awaitShutdown(stopped <-chan struct{}, signals <-chan os.Signal) {
	kill := time.NewTimer(p.shutdown.timeout())
	defer kill.Stop()
	for {
		select {
		case <-stopped:
			return
		case <-kill.C:
			return
		case sig := <-signals: // open requests are still sent by the endpoint list, and discovery may move
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
