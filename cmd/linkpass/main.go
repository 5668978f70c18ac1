// Linkpass is the coordinator: it takes queries on its fronts, lets the module
// decide, and carries parts to the league servers.
package main

import (
	"context"
	"log"
	"os"
	"os/signal"
	"syscall"
)

func main() {
	log.SetFlags(log.LstdFlags | log.Lmicroseconds | log.LUTC)
	cfg, err := load(os.Getenv)
	if err != nil {
		log.Fatalf("event=config_bad err=%q", err)
	}
	term, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	print := make(chan os.Signal, 1)
	signal.Notify(print, syscall.SIGUSR1)
	if err := run(term, print, cfg); err != nil {
		log.Fatalf("event=failed err=%q", err)
	}
}
