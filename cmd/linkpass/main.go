// Linkpass is the coordinator: it takes queries on its fronts, lets the module
// decide, and carries parts to the league servers.
package main

import (
	"context"
	"flag"
	"log"
	"os"
	"os/signal"
	"syscall"

	"linkpass/internal/daemon"
)

func main() {
	log.SetFlags(log.LstdFlags | log.Lmicroseconds | log.LUTC)
	news := daemon.ListenForNews()
	searchFile := flag.String("opensearch", daemon.DefaultSearchFile, "`file` that says where the search front listens")
	flag.Parse()
	cfg, err := daemon.Load(os.Getenv)
	if err == nil {
		cfg.Search, err = daemon.LoadSearch(*searchFile)
	}
	if err != nil {
		log.Fatalf("event=config_bad err=%q", err)
	}
	term, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	p, err := daemon.Start(cfg)
	if err == nil {
		err = p.Serve(term, news)
	}
	if err != nil {
		log.Fatalf("event=failed err=%q", err)
	}
}
