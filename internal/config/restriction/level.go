package restriction

import "fmt"

// Level is how far a server is out of service. A stricter level is larger, so that the join of two is their maximum.
type Level uint8

// The levels.
const (
	None Level = iota
	Draining
	Removed
)

var levelNames = [...]string{None: "none", Draining: "draining", Removed: "removed"}

// String returns the level's name.
func (l Level) String() string {
	return levelNames[min(l, Removed)]
}

// MarshalText implements encoding.TextMarshaler with the level's name.
func (l Level) MarshalText() ([]byte, error) { return []byte(l.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (l *Level) UnmarshalText(text []byte) error {
	for level, name := range levelNames {
		if name == string(text) {
			*l = Level(level)
			return nil
		}
	}
	return fmt.Errorf("restriction: parse level: unknown level %.20q", text)
}
