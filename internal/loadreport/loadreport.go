// Package loadreport parses the load reports that servers send: "name=value" pairs, separated by commas. All protocols
// use this format.
package loadreport

import (
	"math"
	"slices"
	"strconv"
	"strings"
)

// Parse returns the values of a load report in the order of names, with NaN for each name that the report lacks. It
// skips a pair whose name is not in names, or whose value is infinite or cannot be parsed. It returns nil if no pair is
// left, as with "-", an empty text, and a text that is not a load report.
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
