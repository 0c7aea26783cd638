package process

import (
	"io"
	"os"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

// NewLogger returns a logger that writes JSON lines to standard error.
func NewLogger(level, daemon, name string) *logrus.Entry {
	return newLogger(os.Stderr, level).WithFields(logrus.Fields{"daemon": daemon, "name": name})
}

// NewDiscardLogger returns a logger that drops everything, for tests and the demo.
func NewDiscardLogger() *logrus.Entry { return logrus.NewEntry(newLogger(io.Discard, "error")) }

func newLogger(out io.Writer, level string) *logrus.Logger {
	logger := logrus.New()
	logger.SetOutput(out)
	logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	if parsed, err := logrus.ParseLevel(level); err == nil {
		logger.SetLevel(parsed)
	}
	return logger
}

// LineWriter hands lines to a slower writer without ever blocking the caller. A
// reader of standard output that stalls would otherwise hold up every request.
// Lines beyond the buffer and beyond the rate are dropped and counted.
type LineWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	rate    float64
	tokens  float64
	last    time.Time
}

// NewLineWriter returns a writer that buffers some lines and passes on at most
// rate lines a second on the mean, in bursts of a second's worth. Run must be
// called once.
func NewLineWriter(out io.Writer, buffer int, rate float64) *LineWriter {
	return &LineWriter{out: out, lines: make(chan []byte, buffer), rate: rate, tokens: rate}
}

// Write queues one line. It is called under the logger's own lock.
func (w *LineWriter) Write(line []byte) (int, error) {
	now := time.Now()
	w.tokens = min(w.rate, w.tokens+now.Sub(w.last).Seconds()*w.rate)
	w.last = now
	if w.tokens < 1 {
		w.dropped.Add(1)
		return len(line), nil
	}
	w.tokens--
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped.
func (w *LineWriter) Dropped() int64 { return w.dropped.Load() }

// Run writes queued lines until stop is closed, and then what is still queued.
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

// Flush writes what is queued.
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

// emit drops a line that can't be written: there is nowhere left to tell of it
// but the count.
func (w *LineWriter) emit(line []byte) {
	if _, err := w.out.Write(line); err != nil {
		w.dropped.Add(1)
	}
}

// NewLineLogger returns a logger of JSON lines on a writer.
func NewLineLogger(out io.Writer, level, daemon, name string) *logrus.Entry {
	return newLogger(out, level).WithFields(logrus.Fields{"daemon": daemon, "name": name})
}
