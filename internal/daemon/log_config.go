package daemon

import (
	"io"

	"linkpass/internal/eventlog"
)

// LogConfig sets what is logged, and in which format: the section `log` of the operators' file.
type LogConfig struct {
	Format string            `toml:"format"` // text or json; "" is text
	Level  string            `toml:"level"`  // least level of a line; "" is the key's default
	Levels map[string]string `toml:"levels"` // the same by component
}

// Apply directs the log to w, in the format and at the levels that the file sets.
func (l LogConfig) Apply(w io.Writer) {
	eventlog.SetOutput(w, l.Format == "json")
	l.applyLevels()
}

// applyLevels sets the least level of each component's lines.
func (l LogConfig) applyLevels() {
	level := l.Level
	if level == "" {
		level = Keys.MustKey("log.level").Default
	}
	_ = eventlog.SetLevel("all", level) // can't fail: the levels were validated when the file was read
	if level != "error" && level != "off" {
		_ = eventlog.SetLevel("raft", "warn")
	}
	for component, level := range l.Levels {
		_ = eventlog.SetLevel(component, level)
	}
}
