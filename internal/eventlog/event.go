// Package eventlog is the program's log. Every line is an event of one registry, written as key=value text or as
// JSON by the logger of the component that it comes from.
//
// It owns the registry of events, the loggers with their levels, and the output that they share. The registry is
// also the source of the tables in docs/oncall.md: what each event means to those on call, and its name a release ago.
// It does not decide when an event is worth a line; its callers do, with RateLimited where others can cause lines at
// will.
package eventlog

import (
	"fmt"
	"strings"

	"github.com/hashicorp/go-hclog"
)

// Event is a kind of event. All are registered in this package's events_*.go files.
type Event struct {
	Component string   // names the logger, and the key under log.levels in the operators' file
	Name      string   // the value of the line's event field; alerts look for it
	Fields    []string // in the order in which Log takes their values
	Level     hclog.Level
	Meaning   string // for those on call, in Markdown
	Action    string // what they should do, in Markdown

	FormerName   string   // the name in the release before, "" if it is the same
	FormerFields []Rename // the fields that had another name in the release before
}

// Rename is a name that alerts may still look for, and the one that took its place.
type Rename struct {
	Old, New string
}

var registry []*Event

func register(e Event) *Event {
	registry = append(registry, &e)
	return &e
}

// Log writes the event with the values of its fields in their order; values beyond those are further keys and values in
// turn. It is safe for concurrent use.
func (e *Event) Log(values ...any) {
	l := loggers.get(e.Component)
	if e.Level < l.GetLevel() {
		return
	}
	args := make([]any, 0, 2+2*len(values))
	args = append(args, "event", e.Name)
	for i, v := range values {
		if i < len(e.Fields) {
			args = append(args, e.Fields[i])
		}
		args = append(args, singleLine(v))
	}
	l.Log(e.Level, e.message(), args...)
}

// message is the name as plain text, which a line shows first.
func (e *Event) message() string { return strings.ReplaceAll(e.Name, "_", " ") }

// singleLine replaces line breaks, so that a value from outside can't forge a line of its own.
func singleLine(v any) any {
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
