package daemon

import (
	"io"

	"linkpass/internal/eventlog"
)

// Log says what is logged, and how: the section `log` of the operators' file.
type Log struct {
	Format string            `toml:"format"`
	Level  string            `toml:"level"`
	Levels map[string]string `toml:"levels"`
}

// Apply lets the log be written to w as the file says.
func (l Log) Apply(w io.Writer) {
	eventlog.SetOutput(w, l.Format == "json")
	l.applyLevels()
}

// applyLevels sets the least level of each component's lines.
func (l Log) applyLevels() {
	level := l.Level
	if level == "" {
		level = Keys.MustKey("log.level").Default
	}
	_ = eventlog.SetLevel("all", level) // all of them were checked when the file was read
	if level != "error" && level != "off" {
		_ = eventlog.SetLevel("raft", "warn")
	}
	for component, level := range l.Levels {
		_ = eventlog.SetLevel(component, level)
	}
}
