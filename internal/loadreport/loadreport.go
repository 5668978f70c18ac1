// Package loadreport reads the load reports that servers send: name=value, comma
// separated, whatever message they come in.
package loadreport

import (
	"math"
	"slices"
	"strconv"
	"strings"
)

// Parse reads a load report into the order of names. A report that lacks a
// name has NaN there; "-" and what can't be read are no report at all.
func Parse(text string, names []string) []float64 {
	if text == "-" || text == "" || len(names) == 0 {
		return nil
	}
	out := slices.Repeat([]float64{math.NaN()}, len(names))
	seen := false
	for item := range strings.SplitSeq(text, ",") {
		key, number, ok := strings.Cut(item, "=")
		v, err := strconv.ParseFloat(number, 64)
		i := slices.Index(names, key)
		if ok && err == nil && i >= 0 && !math.IsInf(v, 0) {
			out[i], seen = v, true
		}
	}
	if !seen {
		return nil
	}
	return out
}
