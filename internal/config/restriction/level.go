package restriction

import "fmt"

// Level is the degree to which a server is out of service. A stricter level has a larger value, so two levels are
// combined by taking the maximum.
type Level uint8

// The restriction levels.
const (
	None     Level = iota // in service
	Draining              // gets no new requests
	Removed               // no longer listed; its id is never reused
)

var levelNames = [...]string{None: "none", Draining: "draining", Removed: "removed"}

// String returns the level's name.
func (l Level) String() string {
	return levelNames[min(l, Removed)]
}

// MarshalText implements encoding.TextMarshaler with the level's name.
func (l Level) MarshalText() ([]byte, error) { return []byte(l.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. It returns an error for an unknown name.
func (l *Level) UnmarshalText(text []byte) error {
	for level, name := range levelNames {
		if name == string(text) {
			*l = Level(level)
			return nil
		}
	}
	return fmt.Errorf("restriction: parse level: unknown level %.20q", text)
}
