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
	news := listenForNews()
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
	p, err := start(cfg)
	if err == nil {
		err = p.serve(term, news)
	}
	if err != nil {
		log.Fatalf("event=failed err=%q", err)
	}
}

// listenForNews takes the signals that end nothing: SIGUSR1 asks for the counters,
// SIGHUP tells of a new configuration. Without a taker SIGHUP would end the program.
func listenForNews() <-chan os.Signal {
	news := make(chan os.Signal, 8)
	signal.Notify(news, syscall.SIGUSR1, syscall.SIGHUP)
	return news
}
