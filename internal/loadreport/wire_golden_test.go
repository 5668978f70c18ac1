package loadreport

import (
	"math"
	"slices"
	"testing"

	"linkpass/internal/goldentest"
)

func TestParseGolden(t *testing.T) {
	reports := goldentest.ReadEntries(t, "reports.txt")
	names := []string{"active", "waiting", "cpu", "avg_ms", "rps", "err_rps"}
	nan := math.NaN()
	cases := map[string][]float64{
		"every value":                      {7, 2, 0.61, 12.5, 140, 0.5},
		"other order":                      {7, 2, 0.61, 12.5, 140, 0.5},
		"one value":                        {nan, nan, 0.61, nan, nan, nan},
		"unknown value beside a known one": {7, nan, nan, nan, nan, nan},
		"exponent and sign":                {100, -0.5, nan, nan, nan, nan},
		"value that is no number":          {nan, 2, nan, nan, nan, nan},
		"infinite value":                   {nan, 2, nan, nan, nan, nan},
		"value given twice":                {2, nan, nan, nan, nan, nan},
		"space after the comma":            {7, nan, nan, nan, nan, nan},
		"unknown values only":              nil,
		"none":                             nil,
		"empty":                            nil,
		"no pairs":                         nil,
	}
	if len(reports) != len(cases) {
		t.Errorf("golden file has %d reports, want %d, one for each case", len(reports), len(cases))
	}
	same := func(a, b float64) bool { return math.Float64bits(a) == math.Float64bits(b) }
	for name, want := range cases {
		t.Run(name, func(t *testing.T) {
			text, ok := reports[name]
			if !ok {
				t.Fatal("golden file has no report of this name")
			}
			if got := Parse(text, names); (got == nil) != (want == nil) || !slices.EqualFunc(got, want, same) {
				t.Errorf("Parse(%q) = %v, want %v", text, got, want)
			}
			if got := Parse(text, nil); got != nil {
				t.Errorf("Parse(%q) without names = %v, want nil", text, got)
			}
		})
	}
}
