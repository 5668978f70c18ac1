package main

import (
	"context"
	"fmt"
	"log"
	"net"
	"os"
	"runtime"
	"runtime/debug"
	"sync"
	"time"

	"linkpass/internal/coordinator"
	"linkpass/internal/counters"
	"linkpass/internal/discovery"
	"linkpass/internal/frame"
	"linkpass/internal/http1"
	"linkpass/internal/link"
	"linkpass/internal/peer"
	"linkpass/internal/platform"
)

const (
	grace = 450 * time.Millisecond // after SIGTERM new connections still come

	memoryShare    = 0.6 // of the limit is the collector's; the rest is for what it does not see
	socketShare    = 0.4 // of the descriptors is for clients
	defaultSockets = 1024
	plainProtocol  = "plain"
)

// run serves until the context ends, then finishes what was taken.
func run(term context.Context, print <-chan os.Signal, cfg config) error {
	if cfg.memoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(cfg.memoryMB) * (1 << 20)))
	}
	runtime.GOMAXPROCS(max(1, int(cfg.cores)))
	count := counters.New()
	core, err := coordinator.New(coordinator.Config{Settings: cfg.module, Seed: cfg.seed,
		ProbeTimeout: cfg.host.ConnectTimeout, Counters: count, Mailbox: 1024})
	if err != nil {
		return err
	}
	common := peer.Config{Sink: core, Counters: count,
		ConnectTimeout: cfg.host.ConnectTimeout, Keepalive: cfg.host.Keepalive}
	plain := frame.Dialect{MaxStreams: cfg.host.MaxStreams, ReportNames: cfg.host.ReportNames}
	links := link.NewSet(link.Protocols{
		Makers: map[string]link.Make{plainProtocol: func(name, addr string) link.Carrier {
			return peer.New(common, plain, name, addr)
		}},
		Of: func(string) string { return plainProtocol },
	})
	core.Bind(links)

	ln, err := net.Listen("tcp", cfg.listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	sockets := cfg.sockets
	if sockets <= 0 {
		sockets = defaultSockets
	}
	server := &http1.Server{Name: "platform", Clock: core, Counters: count,
		MaxConns: int(socketShare * float64(sockets))}
	front := &platform.Front{Core: core, Classes: cfg.host.Classes, Shards: cfg.module.Shards, Counters: count,
		Ready: func() bool { return !server.Draining() }}
	server.Handler = front

	ctx, cancel := context.WithCancel(context.Background())
	var all sync.WaitGroup
	coreDone := make(chan struct{})
	go func() { defer close(coreDone); core.Run(ctx) }()
	watcher := &discovery.Watcher{Addr: cfg.discovery, Core: core, Counters: count,
		Reader: &discovery.Reader{Zones: cfg.host.Zones, Kinds: cfg.host.Kinds, Cells: cfg.module.Cells, Clock: core.Clock}}
	all.Go(func() { watcher.Run(ctx, cfg.known) })
	all.Go(func() {
		if err := server.Serve(ln); err != nil {
			log.Printf("event=front_failed front=platform err=%q", err)
		}
	})
	log.Printf("event=started name=%s listen=%s discovery=%s servers=%d", cfg.name, ln.Addr(), cfg.discovery, len(cfg.known.Servers))

	for serving := true; serving; {
		select {
		case <-print:
			count.Print("signal")
		case <-term.Done():
			serving = false
		}
	}
	log.Printf("event=stopping grace_ms=%d", grace.Milliseconds())
	server.Drain()
	time.Sleep(grace)
	_ = ln.Close()
	server.Stop()
	cancel()
	<-coreDone
	links.Close()
	all.Wait()
	count.Print("exit")
	log.Printf("event=stopped")
	return nil
}
