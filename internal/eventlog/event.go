// Package eventlog writes the program's log. Every line is an event from one registry, written as key=value text or as
// JSON by the logger of the event's component.
//
// The package owns the registry of events, the loggers with their levels, and the output that they share. The registry
// is also the source of the tables in docs/oncall.md: what each event means to an operator on call, and its name in the
// previous release. The callers decide when an event is logged. They use RateLimited for events that clients or servers
// can cause at will.
package eventlog

import (
	"fmt"
	"strings"

	"github.com/hashicorp/go-hclog"
)

// Event describes one kind of log line. All events are registered in this package's events_*.go files.
type Event struct {
	Component string   // names the logger, and the key under log.levels in the operators' file
	Name      string   // value of the line's event field; alerts match it
	Fields    []string // names of the further fields, in the order in which Log takes their values
	Level     hclog.Level
	Meaning   string // what it tells an operator on call, in Markdown
	Action    string // what the operator should do, in Markdown

	FormerName   string        // name in the previous release, "" if it is the same
	FormerFields []FieldRename // fields that had another name in the previous release
}

// FieldRename is a field's name in the previous release, which alerts may still match, and its present name.
type FieldRename struct {
	Old, New string
}

var registry []*Event

// register adds an event to the registry. It is called only while package variables are initialized.
func register(e Event) *Event {
	registry = append(registry, &e)
	return &e
}

// Log writes the event, unless the level of its component is higher than its own. The first values are those of Fields,
// in that order; the values after them are alternating keys and values. It is safe for concurrent use.
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

// message returns the name as plain text, which is the line's message.
func (e *Event) message() string { return strings.ReplaceAll(e.Name, "_", " ") }

// lineBreaks replaces line breaks.
var lineBreaks = strings.NewReplacer("\r\n", "; ", "\n", "; ", "\r", "; ")

// singleLine replaces line breaks and cuts off long values, so that a value from outside the program can neither forge a
// log line nor fill the log.
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
	return lineBreaks.Replace(cut(s))
}
