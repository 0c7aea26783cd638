package admin

import (
	"net/http"
	"runtime"
	"strings"
	"time"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/rcrowley/go-metrics"
	"github.com/uptrace/bunrouter"
	"google.golang.org/protobuf/proto"
)

// metricPrefix is the prefix of all exported names.
const metricPrefix = "arbutusdeck_"

// quantiles are the exported quantiles of timers and histograms.
var quantiles = []float64{0.5, 0.95, 0.99}

// RegisterRuntime registers gauges of the process: the number of goroutines, and the
// allocated bytes of the heap.
func RegisterRuntime(registry metrics.Registry) {
	metrics.NewRegisteredFunctionalGauge("goroutines", registry, func() int64 { return int64(runtime.NumGoroutine()) })
	metrics.NewRegisteredFunctionalGauge("heap.bytes", registry, func() int64 {
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		return int64(stats.HeapAlloc)
	})
}

func (a api) metrics(w http.ResponseWriter, _ bunrouter.Request) error {
	return WriteMetrics(w, a.options.Registry)
}

// WriteMetrics writes all metrics of a registry in the Prometheus text format.
func WriteMetrics(w http.ResponseWriter, registry metrics.Registry) error {
	w.Header().Set("Content-Type", string(expfmt.NewFormat(expfmt.TypeTextPlain)))
	var writeErr error
	registry.Each(func(name string, metric any) {
		family := metricFamily(name, metric)
		if family == nil || writeErr != nil {
			return
		}
		_, writeErr = expfmt.MetricFamilyToText(w, family)
	})
	return writeErr
}

// metricFamily converts a metric to a Prometheus metric family. Timers are exported
// in seconds. It returns nil for an unsupported type.
func metricFamily(name string, metric any) *dto.MetricFamily {
	family := &dto.MetricFamily{Name: proto.String(metricPrefix + strings.NewReplacer(".", "_", "-", "_").Replace(name))}
	switch m := metric.(type) {
	case metrics.Counter:
		family.Type = dto.MetricType_COUNTER.Enum()
		family.Metric = []*dto.Metric{{Counter: &dto.Counter{Value: proto.Float64(float64(m.Count()))}}}
	case metrics.Gauge:
		family.Type = dto.MetricType_GAUGE.Enum()
		family.Metric = []*dto.Metric{{Gauge: &dto.Gauge{Value: proto.Float64(float64(m.Value()))}}}
	case metrics.GaugeFloat64:
		family.Type = dto.MetricType_GAUGE.Enum()
		family.Metric = []*dto.Metric{{Gauge: &dto.Gauge{Value: proto.Float64(m.Value())}}}
	case metrics.Timer:
		s := m.Snapshot()
		family.Type = dto.MetricType_SUMMARY.Enum()
		family.Metric = []*dto.Metric{summary(s.Count(), float64(s.Sum()), s.Percentiles(quantiles), float64(time.Second))}
	case metrics.Histogram:
		s := m.Snapshot()
		family.Type = dto.MetricType_SUMMARY.Enum()
		family.Metric = []*dto.Metric{summary(s.Count(), float64(s.Sum()), s.Percentiles(quantiles), 1)}
	default:
		return nil
	}
	return family
}

func summary(count int64, sum float64, values []float64, unit float64) *dto.Metric {
	s := &dto.Summary{SampleCount: proto.Uint64(uint64(count)), SampleSum: proto.Float64(sum / unit)}
	for i, q := range quantiles {
		s.Quantile = append(s.Quantile, &dto.Quantile{Quantile: proto.Float64(q), Value: proto.Float64(values[i] / unit)})
	}
	return &dto.Metric{Summary: s}
}
