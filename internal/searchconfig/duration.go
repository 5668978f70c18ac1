package searchconfig

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// maxDuration is the longest duration that ParseDuration accepts.
const maxDuration = 30 * 24 * time.Hour

// timeUnits lists the suffixes of OpenSearch's time values. ParseDuration takes the first
// suffix that matches, so "ms" and the like precede "s", in which they end.
var timeUnits = []struct {
	suffix string
	unit   time.Duration
}{
	{"nanos", time.Nanosecond},
	{"micros", time.Microsecond},
	{"ms", time.Millisecond},
	{"s", time.Second},
	{"m", time.Minute},
	{"h", time.Hour},
	{"d", 24 * time.Hour},
}

// ParseDuration parses an OpenSearch time value such as 500ms: a positive integer and a
// unit. An empty value and -1 return 0, which means no timeout.
func ParseDuration(s string) (time.Duration, error) {
	if s == "" || s == "-1" {
		return 0, nil
	}
	for _, u := range timeUnits {
		digits, ok := strings.CutSuffix(s, u.suffix)
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(digits, 10, 64)
		if err != nil || n <= 0 || n > int64(maxDuration/u.unit) {
			break
		}
		return time.Duration(n) * u.unit, nil
	}
	return 0, fmt.Errorf("failed to parse %.40q as a time value", s)
}
