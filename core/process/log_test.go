package process

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
)

// identifier is a text of its own type, as daemons log them.
type identifier string

// Guards against lines whose length callers choose.
func TestLongTextsAreCutInTheLog(t *testing.T) {
	out := &bytes.Buffer{}
	log := NewLineLogger(out, "info", "entry", "entry-1")
	long := strings.Repeat("é", 10_000)
	fields := logrus.Fields{"text": long, "id": identifier(long), "cause": errors.New(long), "short": "s", "count": 3}
	log.WithFields(fields).Info("m")
	require.Less(t, out.Len(), 4*maxFieldBytes)
	var line map[string]any
	require.NoError(t, json.Unmarshal(out.Bytes(), &line))
	for _, name := range []string{"text", "id", "cause"} {
		require.Equal(t, strings.Repeat("é", maxFieldBytes/2)+"...", line[name], name)
	}
	require.Equal(t, "s", line["short"])
	require.EqualValues(t, 3, line["count"])
	require.Equal(t, long, fields["text"], "the fields of the caller are unchanged")
}

// Guards against memory that queued lines take while nothing reads the log.
func TestQueuedLinesAreBoundedInBytes(t *testing.T) {
	w := NewLineWriter(io.Discard, 1<<20, 1<<20)
	line := bytes.Repeat([]byte("x"), 10_000)
	for range 2 * maxQueuedBytes / len(line) {
		_, err := w.Write(line)
		require.NoError(t, err)
	}
	require.LessOrEqual(t, len(w.lines)*len(line), maxQueuedBytes)
	require.NotZero(t, w.Dropped())
	dropped := w.Dropped()
	w.Flush()
	_, err := w.Write(line)
	require.NoError(t, err)
	require.Equal(t, dropped, w.Dropped(), "there is room again")
}

// Guards against a daemon that waits, or does not end, for a reader of its log that has stopped.
func TestAStalledReaderOfTheLogDelaysNobody(t *testing.T) {
	unread, log, err := os.Pipe()
	require.NoError(t, err)
	stderr := os.Stderr
	os.Stderr = log
	t.Cleanup(func() {
		os.Stderr = stderr
		_, _ = unread.Close(), log.Close()
	})
	outputs, stop := NewOutputs()
	logger := NewLineLogger(outputs.Log, "info", "daemon", "name")
	for range 2 * outputBuffer {
		logger.WithField("text", strings.Repeat("x", maxFieldBytes)).Warn("a line")
	}
	require.Positive(t, outputs.Log.Dropped())
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		stop()
	}()
	select {
	case <-stopped:
	case <-time.After(20 * time.Second):
		require.Fail(t, "the daemon does not end")
	}
}
