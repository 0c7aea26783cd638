package account

import (
	"fmt"
	"io"
	"maps"
	"slices"

	"github.com/wcharczuk/go-chart/v2"
)

// plottedCauses bounds the curves of a plot; more can't be told apart.
const plottedCauses = 6

// WritePlot draws, as SVG, how many requests of each moment were asked and how many were
// lost by the most frequent causes.
func (a *Report) WritePlot(out io.Writer) error {
	indexes := slices.Sorted(maps.Keys(a.Buckets))
	if len(indexes) < 2 {
		return fmt.Errorf("the plot: the logs cover %d spans of time, at least 2 are needed", len(indexes))
	}
	curve := func(name string, count func(*Bucket) int) chart.Series {
		series := chart.TimeSeries{Name: name}
		for _, index := range indexes {
			series.XValues = append(series.XValues, a.startOf(index))
			series.YValues = append(series.YValues, float64(count(a.Buckets[index])))
		}
		return series
	}
	graph := chart.Chart{Width: 1200, Height: 500, YAxis: chart.YAxis{Name: fmt.Sprintf("requests in %s", a.BucketWidth)},
		XAxis: chart.XAxis{ValueFormatter: chart.TimeValueFormatterWithFormat("15:04:05")}}
	graph.Series = append(graph.Series, curve("asked", func(s *Bucket) int { return s.Asked }))
	worst := a.worst()
	for _, cause := range worst[:min(len(worst), plottedCauses)] {
		graph.Series = append(graph.Series, curve(string(cause), func(s *Bucket) int { return s.Causes[cause] }))
	}
	graph.Elements = []chart.Renderable{chart.LegendThin(&graph)}
	if err := graph.Render(chart.SVG, out); err != nil {
		return fmt.Errorf("the plot: %w", err)
	}
	return nil
}
