package process

import (
	"io"
	"maps"
	"math"
	"os"
	"reflect"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
)

// NewDiscardLogger returns a logger that discards its output, for tests and the
// demo.
func NewDiscardLogger() *logrus.Entry { return logrus.NewEntry(newLogger(io.Discard, "error")) }

func newLogger(out io.Writer, level string) *logrus.Logger {
	logger := logrus.New()
	logger.SetOutput(out)
	logger.SetFormatter(&boundedFormatter{logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano}})
	if parsed, err := logrus.ParseLevel(level); err == nil {
		logger.SetLevel(parsed)
	}
	return logger
}

// maxFieldBytes bounds a text of a log line. Callers choose some of them, such as the identifiers of their requests.
const maxFieldBytes = 512

// boundedFormatter formats lines as JSON and cuts long texts.
type boundedFormatter struct{ logrus.JSONFormatter }

// Format returns the line of a log entry.
func (f *boundedFormatter) Format(entry *logrus.Entry) ([]byte, error) {
	var bounded logrus.Fields
	for name, value := range entry.Data {
		text, long := longText(value)
		if !long {
			continue
		}
		if bounded == nil {
			bounded = maps.Clone(entry.Data)
		}
		bounded[name] = strings.ToValidUTF8(text[:maxFieldBytes], "") + "..."
	}
	if bounded != nil {
		cut := *entry
		cut.Data = bounded
		entry = &cut
	}
	return f.JSONFormatter.Format(entry)
}

// longText returns the text of a field if it is longer than maxFieldBytes.
func longText(value any) (text string, long bool) {
	switch v := value.(type) {
	case string:
		text = v
	case error:
		text = v.Error()
	default:
		if reflected := reflect.ValueOf(value); reflected.Kind() == reflect.String {
			text = reflected.String()
		}
	}
	return text, len(text) > maxFieldBytes
}

// LineWriter queues lines for a slower writer and never blocks the caller: a stalled
// reader of standard output would otherwise block every request. Lines that exceed
// the buffer or the rate are dropped and counted.
type LineWriter struct {
	out     io.Writer
	lines   chan []byte
	queued  atomic.Int64 // bytes in lines
	dropped atomic.Int64
	rate    float64
	tokens  float64
	last    time.Time
}

// maxQueuedBytes bounds the memory of the queued lines. Lines hold text that callers have sent, such as the identifiers
// of their requests.
const maxQueuedBytes = 1 << 20

// NewLineWriter returns a LineWriter that buffers up to buffer lines and passes on
// rate lines per second on average, with bursts of up to rate lines. Run must be
// called once.
func NewLineWriter(out io.Writer, buffer int, rate float64) *LineWriter {
	return &LineWriter{out: out, lines: make(chan []byte, buffer), rate: rate, tokens: rate}
}

// Write queues one line. Calls must not be concurrent; the logger serializes them.
func (w *LineWriter) Write(line []byte) (int, error) {
	now := time.Now()
	w.tokens = min(w.rate, w.tokens+now.Sub(w.last).Seconds()*w.rate)
	w.last = now
	if w.tokens < 1 || w.queued.Load()+int64(len(line)) > maxQueuedBytes {
		w.dropped.Add(1)
		return len(line), nil
	}
	w.tokens--
	select {
	case w.lines <- append([]byte(nil), line...):
		w.queued.Add(int64(len(line)))
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of dropped lines.
func (w *LineWriter) Dropped() int64 { return w.dropped.Load() }

// Run writes queued lines until stop is closed, then flushes the queue.
func (w *LineWriter) Run(stop <-chan struct{}) error {
	for {
		select {
		case line := <-w.lines:
			w.emit(line)
		case <-stop:
			w.Flush()
			return nil
		}
	}
}

// Flush writes all queued lines.
func (w *LineWriter) Flush() {
	for {
		select {
		case line := <-w.lines:
			w.emit(line)
		default:
			return
		}
	}
}

// emit writes a line. If that fails, the line is only counted as dropped, since the
// log is not available to report the error.
func (w *LineWriter) emit(line []byte) {
	w.queued.Add(-int64(len(line)))
	if _, err := w.out.Write(line); err != nil {
		w.dropped.Add(1)
	}
}

// Outputs are the log of a daemon, on standard error, and its audit trail, on standard output. No line waits for a slow
// reader.
type Outputs struct{ Log, Trail *LineWriter }

// Register adds a metric that counts the dropped lines.
func (o Outputs) Register(registry metrics.Registry) {
	metrics.NewRegisteredFunctionalGauge("log.lines.dropped", registry, func() int64 { return o.Log.Dropped() + o.Trail.Dropped() })
}

// Limits of Outputs. The trail is not limited by a rate: its last events are kept in memory anyway.
const (
	outputBuffer = 1024
	// maxLogRate and maxTrailRate are in lines per second.
	maxLogRate   = 1000
	maxTrailRate = math.MaxInt32
)

// NewOutputs returns outputs whose lines are written until stop is called, which waits for flushTimeout at the most.
func NewOutputs() (outputs Outputs, stop func()) {
	outputs = Outputs{Log: NewLineWriter(os.Stderr, outputBuffer, maxLogRate), Trail: NewLineWriter(os.Stdout, outputBuffer, maxTrailRate)}
	stopped := make(chan struct{})
	var writers sync.WaitGroup
	for _, writer := range []*LineWriter{outputs.Log, outputs.Trail} {
		writers.Go(func() { _ = writer.Run(stopped) }) // has no errors
	}
	return outputs, func() {
		close(stopped)
		flushed := make(chan struct{})
		go func() {
			writers.Wait()
			close(flushed)
		}()
		select {
		case <-flushed:
		case <-time.After(flushTimeout):
		}
	}
}

// NewLineLogger returns a logger that writes JSON lines to out.
func NewLineLogger(out io.Writer, level, daemon, name string) *logrus.Entry {
	return newLogger(out, level).WithFields(logrus.Fields{"daemon": daemon, "name": name})
}
