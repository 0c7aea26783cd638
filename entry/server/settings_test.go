package server

import (
	"bufio"
	"bytes"
	"net/http"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"arbutusdeck/core/execution"
	"arbutusdeck/core/process"
)

func TestExampleSettingsLoad(t *testing.T) {
	var settings Settings
	require.NoError(t, process.LoadSettings("../../examples/settings/entry.yaml", &settings, func() {}))
	require.Equal(t, "entry-palermo", settings.Name)
}

// Invalid settings must fail at load, before any address is bound, with an error that
// names the offending key or value.
func TestBadSettingsAreRefused(t *testing.T) {
	good, err := os.ReadFile("../../examples/settings/entry.yaml")
	require.NoError(t, err)
	for name, c := range map[string]struct{ text, want string }{
		"unknown key": {string(good) + "\nportt: 7\n", "portt"},
		"bad unit":    {string(good) + "\nmaxBodyBytes: lots\n", "lots"},
		"bad policy":  {string(good) + "\nroutingPolicy: best\n", "RoutingPolicy"},
		"empty":       {"", "Name"},
	} {
		path := filepath.Join(t.TempDir(), "entry.yaml")
		require.NoError(t, os.WriteFile(path, []byte(c.text), 0o600))
		var settings Settings
		err := process.LoadSettings(path, &settings, func() {})
		require.ErrorIs(t, err, process.ErrSettings, name)
		require.ErrorContains(t, err, c.want, name)
	}
	require.ErrorIs(t, process.LoadSettings("no/such/file", &Settings{}, func() {}), process.ErrSettings)
}

// Guards against a daemon that refuses every body of the largest size: its memory is checked at the start.
func TestTheLargestBodyFitsIntoTheMemory(t *testing.T) {
	for _, c := range []struct {
		memoryMB     int
		maxBodyBytes int64
		ok           bool
	}{{0, 0, true}, {64, 0, true}, {40, 0, false}, {40, 4 << 20, true}, {0, 1 << 30, false}} {
		settings := Settings{Settings: process.Settings{MemoryMB: c.memoryMB}, MaxBodyBytes: c.maxBodyBytes}
		if c.ok {
			require.NoError(t, settings.Check())
		} else {
			require.ErrorIs(t, settings.Check(), process.ErrSettings)
		}
	}
}

// Guards against a second run under a new key: what is refused unread, or with a key, may have run before.
func TestARefusalUnderAKeyPromisesNothing(t *testing.T) {
	plain, keyed := &http.Request{Header: http.Header{}}, &http.Request{Header: http.Header{headerKey: {"key"}}}
	require.Equal(t, execution.NotRun, refusedOutcome(plain))
	require.Equal(t, execution.Unknown, refusedOutcome(keyed))
	require.Equal(t, execution.Unknown, refusedOutcome(nil))
	response, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(closingProblem(refusedOutcome(keyed), memoryRefusal))), nil)
	require.NoError(t, err)
	defer response.Body.Close()
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.Equal(t, execution.Unknown.String(), response.Header.Get(headerRun))
	require.Equal(t, "1", response.Header.Get("Retry-After"))
	require.True(t, response.Close)
}

// What callers take leaves sockets and memory for the platform, engines and other daemons.
func TestSharesLeaveARest(t *testing.T) {
	require.LessOrEqual(t, callerSocketShare+hostSocketShare+peerSocketShare+adminSocketShare, 0.95)
	require.LessOrEqual(t, callerMemoryShare+peerMemoryShare+adminMemoryShare, process.HeapMemoryShare)
	require.LessOrEqual(t, float64(DefaultMaxOpenBytes), DefaultMemoryMB*bodyMemoryShare*(1<<20))
}

// FuzzParseCompletion checks that parsing any body returns a request or an error, and
// that enableStream returns valid JSON whose stream field is true.
func FuzzParseCompletion(f *testing.F) {
	f.Add(`{"model":"m","prompt":"a verse","max_tokens":3,"stream":false}`)
	f.Add(`{"prompt":"}","stream": true}`)
	f.Add(`{"prompt":"x","stream":null}  `)
	f.Add(`{"stream":false,"prompt":["a"],"stream":false}`)
	f.Add(`[1]`)
	f.Fuzz(func(t *testing.T, body string) {
		data := []byte(body)
		parsed, prompt, err := parseCompletion(data, "prompt")
		if err != nil {
			return
		}
		require.Positive(t, prompt.bytes)
		again, _, err := parseCompletion(enableStream(data, parsed.Stream), "prompt")
		require.NoError(t, err)
		require.True(t, again.Stream.value)
	})
}
