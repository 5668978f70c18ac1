// Package eventlog is the program's log: every line is an event of one registry, written by a logger
// named after the part of the program that it comes from, as key=value text or as JSON.
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
	"golang.org/x/time/rate"
)

// Event is a kind of event.
type Event struct {
	Component, Name string
	Fields          []string
	Level           hclog.Level
	Meaning, Action string // for those on call, in Markdown
}

var registry []*Event

// register adds a kind; fields are separated by spaces.
func register(part, name, fields string, level hclog.Level, means, do string) *Event {
	k := &Event{Component: part, Name: name, Fields: strings.Fields(fields), Level: level, Meaning: means, Action: do}
	registry = append(registry, k)
	return k
}

// Events are all kinds, by name.
func Events() []*Event {
	return slices.SortedFunc(slices.Values(registry), func(a, b *Event) int { return strings.Compare(a.Name, b.Name) })
}

// Log writes the event with the values of its fields in their order, then further keys and values in turn.
// It may be called from anywhere.
func (k *Event) Log(values ...any) {
	l := logger(k.Component)
	if k.Level < l.GetLevel() {
		return
	}
	args := make([]any, 0, 2+2*len(values))
	args = append(args, "event", k.Name)
	for i, v := range values {
		if i < len(k.Fields) {
			args = append(args, k.Fields[i])
		}
		args = append(args, oneLine(v))
	}
	l.Log(k.Level, k.message(), args...)
}

// message is the name in words: what a reader sees first.
func (k *Event) message() string { return strings.ReplaceAll(k.Name, "_", " ") }

// oneLine keeps what comes from outside from starting lines of its own.
func oneLine(v any) any {
	var s string
	switch v := v.(type) {
	case string:
		s = v
	case error:
		s = v.Error()
	case fmt.Stringer:
		s = v.String()
	default:
		return v
	}
	return strings.NewReplacer("\r\n", "; ", "\n", "; ", "\r", "; ").Replace(s)
}

// RateLimited bounds the log lines of a kind that others can cause at will: a few at once, then
// one a second. What is not logged is counted all the same. The zero value is ready.
type RateLimited struct {
	once sync.Once
	some rate.Sometimes
}

const linesAtOnce = 20

// Log logs an event, unless there were too many.
func (l *RateLimited) Log(k *Event, values ...any) {
	l.once.Do(func() { l.some = rate.Sometimes{First: linesAtOnce, Interval: time.Second} })
	l.some.Do(func() { k.Log(values...) })
}

// loggers are the loggers by part; a part's level is kept through a change of the others.
var loggers struct {
	sync.Mutex
	out    io.Writer
	json   bool
	byPart map[string]hclog.Logger
}

// Components are the names of the loggers.
func Components() []string {
	parts := []string{raftPart}
	for _, k := range registry {
		parts = append(parts, k.Component)
	}
	slices.Sort(parts)
	return slices.Compact(parts)
}

const raftPart = "raft"

// SetOutput sends all lines to w from now on, as JSON or as text; levels stay.
func SetOutput(w io.Writer, json bool) {
	loggers.Lock()
	defer loggers.Unlock()
	old := loggers.byPart
	loggers.out, loggers.json, loggers.byPart = w, json, nil
	for part, l := range old {
		get(part).SetLevel(l.GetLevel())
	}
}

// SetLevel sets the least level that a part's lines need: trace, debug, info, warn, error or off.
// "all" is every part.
func SetLevel(part, level string) error {
	l := hclog.LevelFromString(level)
	if l == hclog.NoLevel {
		return fmt.Errorf("log level %q is none of trace, debug, info, warn, error and off", level)
	}
	parts := Components()
	if part != "all" {
		if !slices.Contains(parts, part) {
			return fmt.Errorf("log part %q is none of %s", part, strings.Join(parts, ", "))
		}
		parts = []string{part}
	}
	for _, p := range parts {
		logger(p).SetLevel(l)
	}
	return nil
}

// Levels are the levels by part.
func Levels() map[string]string {
	out := map[string]string{}
	for _, p := range Components() {
		out[p] = logger(p).GetLevel().String()
	}
	return out
}

// RaftLogger is the logger that the library of the store gets; its lines are events called raft.
func RaftLogger() hclog.Logger { return logger(raftPart).With("event", "raft") }

func logger(part string) hclog.Logger {
	loggers.Lock()
	defer loggers.Unlock()
	return get(part)
}

// get is the logger of a part, made where there is none yet. The lock is held.
func get(part string) hclog.Logger {
	if l := loggers.byPart[part]; l != nil {
		return l
	}
	if loggers.byPart == nil {
		loggers.byPart = map[string]hclog.Logger{}
	}
	out := loggers.out
	if out == nil {
		out = os.Stderr
	}
	level := hclog.Info
	if part == raftPart {
		level = hclog.Warn // it is talkative
	}
	l := hclog.New(&hclog.LoggerOptions{Name: part, Level: level, Output: out, Mutex: &lines, JSONFormat: loggers.json,
		TimeFormat: "2006-01-02T15:04:05.000000Z", TimeFn: func() time.Time { return time.Now().UTC() }})
	loggers.byPart[part] = l
	return l
}

// lines keeps the loggers from writing into each other's lines.
var lines sync.Mutex
