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

// Dimensions of a chart.
const (
	chartBarWidth    = 40  // points
	chartWidthPerRun = 120 // points
	chartMinRuns     = 3   // a chart with fewer runs has the width of a chart with this number of runs
	chartHeight      = 320 // points
	chartMaxRatio    = 1.1 // upper end of the y axis
)

var chartBarColor = color.RGBA{R: 160, G: 190, B: 220, A: 255}

// writeBarChart writes the chart dir/name.svg: for each run a bar for the mean of its values and a dot for each value,
// one per seed. The directory must exist. If dir is empty, writeBarChart does nothing.
func writeBarChart(dir, name, title string, runs map[string][]float64) error {
	if dir == "" {
		return nil
	}
	p := plot.New()
	p.Title.Text, p.Y.Label.Text, p.Y.Min, p.Y.Max = title, "ratio", 0, chartMaxRatio
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
		return fmt.Errorf("experiment: draw the bars of chart %s: %w", name, err)
	}
	points, err := plotter.NewScatter(dots)
	if err != nil {
		return fmt.Errorf("experiment: draw the dots of chart %s: %w", name, err)
	}
	bars.Color = chartBarColor
	p.Add(bars, points)
	p.NominalX(names...)
	width := vg.Points(chartWidthPerRun * float64(max(chartMinRuns, len(names))))
	if err := p.Save(width, chartHeight, filepath.Join(dir, name+".svg")); err != nil {
		return fmt.Errorf("experiment: write chart %s: %w", name, err)
	}
	return nil
}
