//go:build review2

package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// caseLimit is the longest time that a case may take.
const caseLimit = 110 * time.Second

// cases are the cases by name. Each reports whether the rule held, or an error if it could not be played.
var cases = map[string]func(*record, bool) (held bool, err error){
	"unusable-layout":       unusableLayout,
	"second-copy":           secondCopy,
	"refused-after-it-ran":  refusedAfterItRan,
	"removed-behind-a-cut":  removedBehindCut,
	"upgrade-forgets-drain": upgradeForgetsDrain,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play plays a case and returns the exit code.
func play(name, folder string) (code int) {
	r, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer r.close()
	defer endAll()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-signals:
		case <-time.After(caseLimit):
		}
		r.say("ended early")
		endAll()
		os.Exit(2)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	r.say("case %s, trouble %v", name, trouble)
	held, err := cases[name](r, trouble)
	switch {
	case err != nil:
		r.say("RESULT could not run: %v", err)
		return 2
	case held:
		r.say("RESULT the rule held")
		return 0
	}
	r.say("RESULT the rule was broken")
	return 1
}
