package soak

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutusdeck/entry/gateway"
)

// A stop is asked for twice before the process ends. Its limit counts from the first signal: dated from the second, what
// it cuts at the limit looks cut early, and a stop that takes too long looks short.
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
