package searchconfig

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// maxDuration bounds what ParseDuration accepts.
const maxDuration = 30 * 24 * time.Hour

// timeUnits are the suffixes of OpenSearch's time values. A suffix that ends in another
// one comes before it.
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

// ParseDuration parses a time value such as 500ms. An empty value and -1 give 0, which
// stands for no timeout.
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
