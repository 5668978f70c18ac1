// Package loadreport parses the load reports of servers: "name=value" pairs, separated by commas. All protocols carry
// them in this form.
package loadreport

import (
	"math"
	"slices"
	"strconv"
	"strings"
)

// Parse returns the values of a load report in the order of names, with NaN for a name that it lacks. It returns nil
// where the report has none of them: "-", an empty text, and one that cannot be parsed.
func Parse(text string, names []string) []float64 {
	if text == "-" || text == "" || len(names) == 0 {
		return nil
	}
	values := slices.Repeat([]float64{math.NaN()}, len(names))
	found := false
	for pair := range strings.SplitSeq(text, ",") {
		key, number, ok := strings.Cut(pair, "=")
		v, err := strconv.ParseFloat(number, 64)
		i := slices.Index(names, key)
		if ok && err == nil && i >= 0 && !math.IsInf(v, 0) {
			values[i], found = v, true
		}
	}
	if !found {
		return nil
	}
	return values
}
