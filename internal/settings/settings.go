// Package settings reads the deployment's settings, which the platform gives the program at start.
//
// They come as nested JSON on the platform and as key=value lines on the simulator's wire; keys and units (milliseconds,
// shares) are the same in both. The package turns them into the policy module's routing.Settings and into what the host
// around it needs. It does not read the operators' file, which internal/schema and internal/daemon do, and it checks only
// that values can be read, not that they make sense together.
package settings

import (
	"encoding/json"
	"fmt"
	"math"
	"strings"
	"time"

	"linkpass/internal/routing"
)

// ParseText reads the simulator's key=value lines.
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
	return r.module(), r.err
}

// ParseJSON reads the platform's nested object.
func ParseJSON(data []byte) (routing.Settings, Host, error) {
	var tree map[string]any
	if err := json.Unmarshal(data, &tree); err != nil {
		return routing.Settings{}, Host{}, fmt.Errorf("settings: %w", err)
	}
	r := &reader{values: flatten(tree)}
	module, host := r.module(), r.host()
	module.MaxWriteDelay = host.ConnectTimeout // an attempt may have to wait for a connection
	return module, host, r.err
}

// maxMilliseconds is about 31 years; longer times count as that.
const maxMilliseconds = 1e12

// FromMilliseconds converts milliseconds, rounded to the microsecond. NaN counts as 0, values out of range as the nearest in it.
func FromMilliseconds(ms float64) time.Duration {
	if math.IsNaN(ms) {
		return 0
	}
	ms = max(-maxMilliseconds, min(maxMilliseconds, ms))
	return time.Duration(math.Round(ms*1000)) * time.Microsecond
}
