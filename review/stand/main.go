//go:build review

// Drive runs one case of the review: it starts coordinators with the deploy file's command, stand-ins of clients,
// league servers, discovery and the network on loopback addresses, and writes what was sent, answered and run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

var cases = map[string]func(*run) (broken bool, err error){
	"stale-assignment": staleAssignment,
	"restart-drain":    restartDrain,
	"lost-settings":    lostSettings,
	"restart-partial":  restartPartial,
	"forgotten-drain":  forgottenDrain,
	"added-gone":       addedGone,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: drive CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(cases[os.Args[1]], os.Args[2]))
}

// timeLimit is how long a case may run.
const timeLimit = 112 * time.Second

func runCase(c func(*run) (bool, error), recordPath string) (code int) {
	r, err := newRun(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, "not run:", err)
		return exitNotRun
	}
	defer r.close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	ended := make(chan int, 1)
	go func() { ended <- verdict(r, c) }()
	select {
	case code = <-ended:
		return code
	case s := <-signals:
		r.logf("NOT RUN: %v", s)
	case <-time.After(timeLimit):
		r.logf("NOT RUN: not done within %s", timeLimit)
	}
	return exitNotRun
}

func verdict(r *run, c func(*run) (bool, error)) (code int) {
	defer func() {
		if p := recover(); p != nil {
			r.logf("NOT RUN: %v", p)
			code = exitNotRun
		}
	}()
	broken, err := c(r)
	switch {
	case err != nil:
		r.logf("NOT RUN: %v", err)
		return exitNotRun
	case broken:
		r.logf("BROKEN")
		return exitBroken
	}
	r.logf("HELD")
	return exitHeld
}
