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

// raftComponent is the logger of the Raft library. Its lines are not in the registry: they all are event=raft.
const raftComponent = "raft"

// timeFormat is RFC 3339 with microseconds; times are UTC.
const timeFormat = "2006-01-02T15:04:05.000000Z"

// loggerSet holds one logger per component; all of them write to one output.
type loggerSet struct {
	lineMu sync.Mutex // shared by the loggers, so that none writes into another's line

	mu          sync.Mutex // guards the fields below
	out         io.Writer  // nil: standard error
	json        bool
	byComponent map[string]hclog.Logger // made at first use
}

var loggers loggerSet

// get returns the component's logger.
func (s *loggerSet) get(component string) hclog.Logger {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.getLocked(component)
}

// getLocked is get for callers that hold mu.
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

// setOutput replaces the loggers by ones that write to w, with the levels that they had.
func (s *loggerSet) setOutput(w io.Writer, json bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	previous := s.byComponent
	s.out, s.json, s.byComponent = w, json, nil
	for component, l := range previous {
		s.getLocked(component).SetLevel(l.GetLevel())
	}
}

// defaultLevel is info, but for the Raft library, which logs much at that level.
func defaultLevel(component string) hclog.Level {
	if component == raftComponent {
		return hclog.Warn
	}
	return hclog.Info
}

// Components returns the names of the loggers, sorted.
func Components() []string {
	names := []string{raftComponent}
	for _, e := range registry {
		names = append(names, e.Component)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// SetOutput sends all lines to w from now on, as JSON or as text. Levels stay.
func SetOutput(w io.Writer, json bool) { loggers.setOutput(w, json) }

// SetLevel sets the least level (trace, debug, info, warn, error or off) at which a component's events are logged.
// The component "all" stands for every one.
func SetLevel(component, level string) error {
	l := hclog.LevelFromString(level)
	if l == hclog.NoLevel {
		return fmt.Errorf("log level %q is none of trace, debug, info, warn, error and off", level)
	}
	selected := Components()
	if component != "all" {
		if !slices.Contains(selected, component) {
			return fmt.Errorf("log part %q is none of %s", component, strings.Join(selected, ", "))
		}
		selected = []string{component}
	}
	for _, name := range selected {
		loggers.get(name).SetLevel(l)
	}
	return nil
}

// Levels returns the level of each component.
func Levels() map[string]string {
	levels := map[string]string{}
	for _, name := range Components() {
		levels[name] = loggers.get(name).GetLevel().String()
	}
	return levels
}

// RaftLogger returns the logger for the Raft library; its lines are events named raft.
func RaftLogger() hclog.Logger { return loggers.get(raftComponent).With("event", "raft") }
