// Package settings reads the deployment's settings, which the platform gives the program at start.
//
// The platform sends them as nested JSON, the simulator as key=value lines; keys and units (milliseconds, shares) are
// the same in both. The package converts them to the router's routing.Settings and to the settings that the program
// needs outside the router. It checks only that each value can be read, not that the values fit together. It does not
// read the operators' file, which internal/schema and internal/daemon do.
package settings

import (
	"encoding/json"
	"fmt"
	"math"
	"strings"
	"time"

	"linkpass/internal/routing"
)

// ParseText reads the simulator's key=value lines. An error of a key is a *KeyError.
func ParseText(text string) (routing.Settings, error) {
	values := map[string]string{}
	for line := range strings.Lines(text) {
		line = strings.TrimRight(line, "\r\n")
		if line == "" {
			continue
		}
		key, value, ok := strings.Cut(line, "=")
		if !ok {
			return routing.Settings{}, fmt.Errorf("settings: line without '=': %q", line)
		}
		values[key] = value
	}
	r := &reader{values: values}
	return r.routerSettings(), r.err
}

// ParseJSON reads the platform's nested object. An error of a key is a *KeyError.
func ParseJSON(data []byte) (routing.Settings, ProgramSettings, error) {
	var tree map[string]any
	if err := json.Unmarshal(data, &tree); err != nil {
		return routing.Settings{}, ProgramSettings{}, fmt.Errorf("settings: %w", err)
	}
	r := &reader{values: flatten(tree)}
	router, program := r.routerSettings(), r.programSettings()
	router.MaxWriteDelay = program.ConnectTimeout // an attempt may have to wait for a connection
	return router, program, r.err
}

// maxMilliseconds is about 31 years, the longest time that FromMilliseconds returns.
const maxMilliseconds = 1e12

// FromMilliseconds converts milliseconds to a duration, rounded to the microsecond. NaN gives 0; a value out of range
// (about 31 years, positive or negative) gives the limit that it exceeds.
func FromMilliseconds(ms float64) time.Duration {
	if math.IsNaN(ms) {
		return 0
	}
	ms = max(-maxMilliseconds, min(maxMilliseconds, ms))
	return time.Duration(math.Round(ms*1000)) * time.Microsecond
}
