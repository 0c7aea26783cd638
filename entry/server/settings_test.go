package server

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

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
