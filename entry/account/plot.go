package account

import (
	"fmt"
	"io"
	"maps"
	"slices"

	"github.com/wcharczuk/go-chart/v2"
)

// maxPlottedCauses bounds the causes in a plot; more curves can't be distinguished.
const maxPlottedCauses = 6

// WritePlot writes an SVG plot of the requests over time: all of them, and those not served in time
// by their most frequent causes. It returns an error if the logs cover fewer than two time buckets.
func (r *Report) WritePlot(out io.Writer) error {
	indexes := slices.Sorted(maps.Keys(r.Buckets))
	if len(indexes) < 2 {
		return fmt.Errorf("the plot needs at least 2 time buckets; the logs cover %d", len(indexes))
	}
	curve := func(name string, count func(*Bucket) int) chart.Series {
		series := chart.TimeSeries{Name: name}
		for _, index := range indexes {
			series.XValues = append(series.XValues, r.bucketStart(index))
			series.YValues = append(series.YValues, float64(count(r.Buckets[index])))
		}
		return series
	}
	graph := chart.Chart{Width: 1200, Height: 500, YAxis: chart.YAxis{Name: fmt.Sprintf("requests in %s", r.BucketWidth)},
		XAxis: chart.XAxis{ValueFormatter: chart.TimeValueFormatterWithFormat("15:04:05")}}
	graph.Series = append(graph.Series, curve("asked", func(s *Bucket) int { return s.Requests }))
	worst := r.failureCauses()
	for _, cause := range worst[:min(len(worst), maxPlottedCauses)] {
		graph.Series = append(graph.Series, curve(string(cause), func(s *Bucket) int { return s.Causes[cause] }))
	}
	graph.Elements = []chart.Renderable{chart.LegendThin(&graph)}
	if err := graph.Render(chart.SVG, out); err != nil {
		return fmt.Errorf("rendering the plot: %w", err)
	}
	return nil
}
