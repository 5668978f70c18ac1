package daemon

import (
	"context"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"linkpass/internal/eventlog"
)

// ParseArguments parses a command line that does no more than start the daemon: it is empty or `serve`, followed by the
// operators' file in any of the forms that were ever accepted. ok is false for every other command line, which is for
// linkpass-ctl.
func ParseArguments(args []string) (file string, ok bool) {
	if len(args) > 0 && args[0] == "serve" {
		args = args[1:]
	}
	if len(args) == 0 {
		return DefaultSearchFile, true
	}
	flag, value, joined := strings.Cut(args[0], "=")
	switch {
	case flag != "-opensearch" && flag != "--opensearch":
		return "", false
	case joined && len(args) == 1:
		return value, true
	case !joined && len(args) == 2:
		return args[1], true
	}
	return "", false
}

// Main runs the daemon with the operators' file until SIGTERM or an interrupt, and returns the exit code.
func Main(file string) (code int) {
	signals := NotifySignals()
	output := eventlog.NewQueueWriter(os.Stderr)
	eventlog.SetOutput(output, false)
	defer output.Flush()
	cfg, err := Load(os.Getenv)
	if err == nil {
		cfg.Search, err = LoadSearchConfig(file)
	}
	if err == nil {
		cfg.Search.Log.Apply(output)
		err = cfg.Check()
	}
	if err != nil {
		eventlog.ConfigInvalid.Log(err)
		return 1
	}
	term, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	p, err := Start(cfg)
	if err == nil {
		err = p.Serve(term, signals)
	}
	if err != nil {
		eventlog.Failed.Log(err)
		return 1
	}
	return 0
}
