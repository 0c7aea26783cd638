package soak

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutusdeck/entry/gateway"
)

// A process gets SIGTERM twice before it exits. Its stop limit counts from the first signal:
// if the shutdown were dated from the second, requests aborted at the limit would seem to be
// aborted early, and a shutdown that takes too long would seem short.
func TestAStopIsDatedFromItsFirstSignal(t *testing.T) {
	folder := t.TempDir()
	binary := filepath.Join(folder, "entry")
	ready := filepath.Join(folder, "ready")
	script := "#!/bin/sh\ntrap 'ending=1' TERM\ntouch " + ready + "\nwhile [ -z \"$ending\" ]; do sleep 0.02; done\nsleep 1\nexit 4\n"
	require.NoError(t, os.WriteFile(binary, []byte(script), 0o700))
	records := newRecords()
	d, err := newDaemon(0, binary, folder, gateway.Settings{Name: "entry-000"}, records)
	require.NoError(t, err)
	require.Eventually(t, func() bool { _, err := os.Stat(ready); return err == nil }, 5*time.Second, 10*time.Millisecond)
	first := time.Now()
	go d.stop()
	time.Sleep(500 * time.Millisecond)
	d.close()
	require.Eventually(t, func() bool { records.mu.Lock(); defer records.mu.Unlock(); return len(records.Exits) == 2 }, time.Second, 10*time.Millisecond)
	for _, exit := range records.Exits {
		require.Equal(t, 4, exit.Code)
		require.WithinDuration(t, first, exit.StopRequestedAt, 200*time.Millisecond)
		require.Greater(t, exit.Took, 900*time.Millisecond)
	}
}
