package experiment

import (
	"fmt"
	"image/color"
	"maps"
	"path/filepath"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Sizes of a chart.
const (
	chartBarWidth     = 40  // points
	chartWidthPerRun  = 120 // points
	chartLeastRuns    = 3   // a chart is as wide as for so many
	chartHeight       = 320 // points
	chartLargestRatio = 1.1
)

var chartBarColor = color.RGBA{R: 160, G: 190, B: 220, A: 255}

// writeBarChart draws the mean of each run as a bar with a dot for each seed, as an SVG in a directory that exists;
// "": it draws nothing.
func writeBarChart(dir, name, title string, runs map[string][]float64) error {
	if dir == "" {
		return nil
	}
	p := plot.New()
	p.Title.Text, p.Y.Label.Text, p.Y.Min, p.Y.Max = title, "ratio", 0, chartLargestRatio
	names := slices.Sorted(maps.Keys(runs))
	var means plotter.Values
	var dots plotter.XYs
	for i, run := range names {
		sum := 0.0
		for _, v := range runs[run] {
			sum += v
			dots = append(dots, plotter.XY{X: float64(i), Y: v})
		}
		means = append(means, sum/float64(max(1, len(runs[run]))))
	}
	bars, err := plotter.NewBarChart(means, vg.Points(chartBarWidth))
	if err != nil {
		return fmt.Errorf("experiment: bars of chart %s: %w", name, err)
	}
	points, err := plotter.NewScatter(dots)
	if err != nil {
		return fmt.Errorf("experiment: dots of chart %s: %w", name, err)
	}
	bars.Color = chartBarColor
	p.Add(bars, points)
	p.NominalX(names...)
	width := vg.Points(chartWidthPerRun * float64(max(chartLeastRuns, len(names))))
	if err := p.Save(width, chartHeight, filepath.Join(dir, name+".svg")); err != nil {
		return fmt.Errorf("experiment: write chart %s: %w", name, err)
	}
	return nil
}
