package daemon

import (
	"io"

	"linkpass/internal/eventlog"
)

// LogConfig says what is logged, and how: the section `log` of the operators' file.
type LogConfig struct {
	Format string            `toml:"format"`
	Level  string            `toml:"level"`
	Levels map[string]string `toml:"levels"`
}

// Apply lets the log be written to w as the file says.
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
	_ = eventlog.SetLevel("all", level) // all of them were checked when the file was read
	if level != "error" && level != "off" {
		_ = eventlog.SetLevel("raft", "warn")
	}
	for component, level := range l.Levels {
		_ = eventlog.SetLevel(component, level)
	}
}
