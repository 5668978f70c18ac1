package dashboard

import (
	"fmt"
	"math"
	"strings"
	"time"
)

// Size of a chart, in units of the SVG view box.
const chartWidth, chartHeight = 640, 120

// chart shows the response rates of a query class over Window. All its lines share one scale, which starts at 0.
type chart struct {
	Class string
	Max   float64 // upper end of the scale, in responses per second
	Lines []chartLine
}

// chartLine is the rate of one outcome over time.
type chartLine struct {
	Outcome string
	Points  string  // the points attribute of an SVG polyline
	Current float64 // latest rate, in responses per second; 0: no samples
}

// newChart returns the chart of a class. If the series returns an error, the chart has no lines.
func newChart(series *Series, now time.Time, class string) (chart, error) {
	c := chart{Class: class, Max: 1}
	rates := make([][]point, len(outcomes))
	for i, outcome := range outcomes {
		points, err := series.rates(now, class, outcome)
		if err != nil {
			return c, err
		}
		rates[i] = points
		for _, p := range points {
			c.Max = max(c.Max, p.rate)
		}
	}
	c.Max = math.Ceil(c.Max)
	for i, points := range rates {
		c.Lines = append(c.Lines, newChartLine(outcomes[i], points, now, c.Max))
	}
	return c, nil
}

func newChartLine(outcome string, points []point, now time.Time, maxRate float64) chartLine {
	line := chartLine{Outcome: outcome}
	var b strings.Builder
	for _, p := range points {
		x := chartWidth * (1 - float64(now.Sub(p.at))/float64(Window))
		fmt.Fprintf(&b, "%.1f,%.1f ", x, chartHeight*(1-p.rate/maxRate))
		line.Current = p.rate
	}
	line.Points = strings.TrimSpace(b.String())
	return line
}
