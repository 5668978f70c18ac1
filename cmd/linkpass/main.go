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
)

func main() {
	log.SetFlags(log.LstdFlags | log.Lmicroseconds | log.LUTC)
	searchFile := flag.String("opensearch", defaultSearchFile, "`file` that says where the search front listens")
	flag.Parse()
	cfg, err := load(os.Getenv)
	if err == nil {
		cfg.search, err = loadSearch(*searchFile)
	}
	if err != nil {
		log.Fatalf("event=config_bad err=%q", err)
	}
	term, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	print := make(chan os.Signal, 1)
	signal.Notify(print, syscall.SIGUSR1)
	p, err := start(cfg)
	if err == nil {
		err = p.serve(term, print)
	}
	if err != nil {
		log.Fatalf("event=failed err=%q", err)
	}
}
