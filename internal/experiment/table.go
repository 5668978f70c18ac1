package experiment

import (
	"encoding/csv"
	"fmt"
	"image/color"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Table is a result, written as CSV and as Markdown.
type Table struct {
	Name    string
	Columns []string
	rows    [][]string
}

// Add adds a row; numbers with a fraction are kept to three digits.
func (t *Table) Add(cells ...any) {
	row := make([]string, len(cells))
	for i, c := range cells {
		if f, ok := c.(float64); ok {
			row[i] = fmt.Sprintf("%.3f", f)
		} else {
			row[i] = fmt.Sprint(c)
		}
	}
	t.rows = append(t.rows, row)
}

// Write writes the table into a folder; "" writes nothing.
func (t *Table) Write(dir string) error {
	if dir == "" {
		return nil
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fmt.Errorf("lab: %w", err)
	}
	f, err := os.Create(filepath.Join(dir, t.Name+".csv"))
	if err != nil {
		return fmt.Errorf("lab: %w", err)
	}
	w := csv.NewWriter(f)
	err = w.WriteAll(append([][]string{t.Columns}, t.rows...))
	if cerr := f.Close(); err == nil {
		err = cerr
	}
	if err != nil {
		return fmt.Errorf("lab: table %s: %w", t.Name, err)
	}
	var b strings.Builder
	line := func(cells []string) { b.WriteString("| " + strings.Join(cells, " | ") + " |\n") }
	line(t.Columns)
	line(slices.Repeat([]string{"---"}, len(t.Columns)))
	for _, row := range t.rows {
		line(row)
	}
	if err := os.WriteFile(filepath.Join(dir, t.Name+".md"), []byte(b.String()), 0o644); err != nil {
		return fmt.Errorf("lab: %w", err)
	}
	return nil
}

// bars draws the mean of each run with a dot for each seed, as an SVG.
func bars(dir, name, title string, runs map[string][]float64) error {
	if dir == "" {
		return nil
	}
	p := plot.New()
	p.Title.Text, p.Y.Label.Text, p.Y.Min, p.Y.Max = title, "ratio", 0, 1.1
	names := slices.Sorted(maps.Keys(runs))
	var means plotter.Values
	var dots plotter.XYs
	for i, n := range names {
		sum := 0.0
		for _, v := range runs[n] {
			sum += v
			dots = append(dots, plotter.XY{X: float64(i), Y: v})
		}
		means = append(means, sum/float64(max(1, len(runs[n]))))
	}
	chart, err := plotter.NewBarChart(means, vg.Points(40))
	if err != nil {
		return fmt.Errorf("lab: chart %s: %w", name, err)
	}
	points, err := plotter.NewScatter(dots)
	if err != nil {
		return fmt.Errorf("lab: chart %s: %w", name, err)
	}
	chart.Color = plotColor
	p.Add(chart, points)
	p.NominalX(names...)
	if err := p.Save(vg.Points(120*float64(max(3, len(names)))), 320, filepath.Join(dir, name+".svg")); err != nil {
		return fmt.Errorf("lab: chart %s: %w", name, err)
	}
	return nil
}

// plotColor is that of bars; dots of single seeds are black on it.
var plotColor = color.RGBA{R: 160, G: 190, B: 220, A: 255}
