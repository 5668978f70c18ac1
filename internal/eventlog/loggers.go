package eventlog

import (
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
)

// raftComponent names the logger of the Raft library. Its lines are not in the registry; all of them have event=raft.
const raftComponent = "raft"

// timeFormat is RFC 3339 with microseconds. Its Z is literal: times are converted to UTC first.
const timeFormat = "2006-01-02T15:04:05.000000Z"

// loggerSet holds one logger per component; all of them write to one output.
type loggerSet struct {
	lineMu sync.Mutex // shared by all loggers, so that their lines do not mix in the output

	mu          sync.Mutex              // guards the fields below
	out         io.Writer               // nil: standard error
	json        bool                    // lines are JSON instead of text
	byComponent map[string]hclog.Logger // created at first use
}

var loggers loggerSet

// get returns the component's logger, which it creates at first use.
func (s *loggerSet) get(component string) hclog.Logger {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.getLocked(component)
}

// getLocked is like get. The caller must hold mu.
func (s *loggerSet) getLocked(component string) hclog.Logger {
	if l := s.byComponent[component]; l != nil {
		return l
	}
	if s.byComponent == nil {
		s.byComponent = map[string]hclog.Logger{}
	}
	out := s.out
	if out == nil {
		out = os.Stderr
	}
	l := hclog.New(&hclog.LoggerOptions{
		Name:       component,
		Level:      defaultLevel(component),
		Output:     out,
		Mutex:      &s.lineMu,
		JSONFormat: s.json,
		TimeFormat: timeFormat,
		TimeFn:     func() time.Time { return time.Now().UTC() },
	})
	s.byComponent[component] = l
	return l
}

// setOutput replaces the loggers with new ones that write to w and keep the levels.
func (s *loggerSet) setOutput(w io.Writer, json bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	previous := s.byComponent
	s.out, s.json, s.byComponent = w, json, nil
	for component, l := range previous {
		s.getLocked(component).SetLevel(l.GetLevel())
	}
}

// defaultLevel returns info, or warn for the Raft library, which logs a lot at info.
func defaultLevel(component string) hclog.Level {
	if component == raftComponent {
		return hclog.Warn
	}
	return hclog.Info
}

// Components returns the names of all components, sorted; each has a logger.
func Components() []string {
	names := []string{raftComponent}
	for _, e := range registry {
		names = append(names, e.Component)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// SetOutput directs all further lines to w, as JSON or as text. The default is text to standard error. The levels
// stay as they are.
func SetOutput(w io.Writer, json bool) { loggers.setOutput(w, json) }

// SetLevel sets the lowest level (trace, debug, info, warn, error or off) at which a component's events are logged. The
// component "all" selects all of them. An unknown component or level is an error.
func SetLevel(component, level string) error {
	l := hclog.LevelFromString(level)
	if l == hclog.NoLevel {
		return fmt.Errorf("unknown log level %q: must be trace, debug, info, warn, error or off", level)
	}
	selected := Components()
	if component != "all" {
		if !slices.Contains(selected, component) {
			return fmt.Errorf("unknown log component %q: must be all or one of %s",
				component, strings.Join(selected, ", "))
		}
		selected = []string{component}
	}
	for _, name := range selected {
		loggers.get(name).SetLevel(l)
	}
	return nil
}

// Levels returns the name of each component's level.
func Levels() map[string]string {
	levels := map[string]string{}
	for _, name := range Components() {
		levels[name] = loggers.get(name).GetLevel().String()
	}
	return levels
}

// RaftLogger returns the logger for the Raft library. Its lines have event=raft.
func RaftLogger() hclog.Logger { return loggers.get(raftComponent).With("event", "raft") }
