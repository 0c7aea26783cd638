package gateway

import (
	"net"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"arbutusdeck/core/audit"
	"arbutusdeck/core/config"
	"arbutusdeck/core/lifecycle"
	"arbutusdeck/core/peering"
	"arbutusdeck/core/placement"
	"arbutusdeck/core/process"
	"arbutusdeck/entry/boottime"
)

// A backend server or the store is cut off and sends no reset. The kernel closes the connection
// only if a user timeout is set; keep-alive probes make it check idle connections. The user timeout
// takes precedence over the number of probes, so both have to be short.
func TestConnectionsToUnresponsiveServersAreClosed(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { require.NoError(t, listener.Close()) }()
	connection, err := newDialer(serverControl).Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	defer func() { require.NoError(t, connection.Close()) }()
	raw, err := connection.(*net.TCPConn).SyscallConn()
	require.NoError(t, err)
	read := func(option int) int {
		value := 0
		var failed error
		require.NoError(t, raw.Control(func(fd uintptr) { value, failed = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, option) }))
		require.NoError(t, failed)
		return value
	}
	require.EqualValues(t, serverUserTimeout.Milliseconds(), read(unix.TCP_USER_TIMEOUT))
	require.Equal(t, 1, read(unix.TCP_KEEPIDLE), "the kernel counts in seconds")
	require.Equal(t, 1, read(unix.TCP_KEEPINTVL))
	require.Less(t, serverUserTimeout, 2*time.Second, "the shortest timeout of a caller")
}

// The store accepts connections and never responds, not even by a reset. An entry that starts then
// gets configuration and servers from a peer and serves.
func TestAnEntryStartsDespiteAnUnresponsiveStore(t *testing.T) {
	w := newTestbed(t)
	w.configure(nil)
	w.worker("i-1", "plain", nil)
	first := w.serve()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, listener.Close()) })
	settings := w.newSettings(first.settings.PeerAddress)
	settings.Store = listener.Addr().String()
	second := w.start(settings)
	w.eventually("the second serves", func() bool { return second.manager.State() == lifecycle.Serving })
	require.Equal(t, 200, w.call(second, http.MethodGet, "/read/", 0, "").status)
}

// The settings file changes without a signal. The changed settings apply; an invalid file changes
// nothing.
func TestSettingsThatChangeWithoutASignal(t *testing.T) {
	w := newTestbed(t)
	settings := w.newSettings()
	path := filepath.Join(t.TempDir(), "entry.yaml")
	write := func(ratio float64) {
		settings.RetryRatio = ratio
		content, err := yaml.Marshal(settings)
		require.NoError(t, err)
		require.NoError(t, os.WriteFile(path, content, 0o600))
	}
	write(0.2)
	s := New(Options{Settings: settings, SettingsPath: path, Log: process.NewDiscardLogger(), Trail: audit.NewTrail(nil, 100)})
	w.startServer(s)
	ratio := func() float64 {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.settings.RetryRatio
	}
	write(0.3)
	w.eventually("the change applies", func() bool { return ratio() == 0.3 })
	require.NoError(t, os.WriteFile(path, []byte("retryRatio: -1\n"), 0o600))
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	write(0.4)
	w.eventually("a later valid change applies", func() bool { return ratio() == 0.4 })
}

// The operators shorten the limit of changes. An entry that kept relying on others to read the
// store would learn of a failed reader too late.
func TestAChangedLimitChangesWhoReadsTheStore(t *testing.T) {
	settings := newTestbed(t).newSettings()
	path := filepath.Join(t.TempDir(), "entry.yaml")
	write := func(limit time.Duration) {
		settings.ApplyLimit, settings.DrainLimit = config.Duration(limit), config.Duration(limit)
		content, err := yaml.Marshal(settings)
		require.NoError(t, err)
		require.NoError(t, os.WriteFile(path, content, 0o600))
	}
	write(4 * time.Second)
	s := New(Options{Settings: settings, SettingsPath: path, Log: process.NewDiscardLogger(), Trail: audit.NewTrail(nil, 100)})
	require.True(t, s.reader.Options().AllowsSharedReads())
	write(2 * time.Second)
	s.reload()
	require.False(t, s.reader.Options().AllowsSharedReads())
	require.True(t, s.peers.ShouldRead(time.Now(), peering.StoreState{Lost: true}))
}

// The host was suspended for three seconds. The tracked dispatches have ended by now, or continued
// without this process; choices must not rest on them.
func TestASuspendedHostResetsItsLoadTable(t *testing.T) {
	s := New(Options{Settings: newTestbed(t).newSettings(), Log: process.NewDiscardLogger(), Trail: audit.NewTrail(nil, 100)})
	now := time.Now()
	s.detectPause(now)
	s.loadTable.Begin(now, placement.Dispatch{ID: "a", Server: "i-1", Lifetime: time.Minute}, nil, 0)
	s.detectPause(now)
	require.True(t, s.hasDispatches(1)(), "no pause")
	s.pauseDetector.Tick(boottime.At(now).Add(-3 * time.Second))
	s.detectPause(now)
	require.True(t, s.hasDispatches(0)())
}
