package processes

import (
	"encoding/json"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"arbutusdeck/standin/engine"
	"arbutusdeck/standin/fleet"
)

func fastSpec() fleet.Spec {
	spec := fleet.DefaultSpec()
	spec.Speed = 10
	return spec
}

// fingerprint returns what the stand-in engine puts into each token of a response.
func fingerprint(prompt string) string { return engine.Fingerprint([]byte(`"` + prompt + `"`)) }

func TestEndToEnd(t *testing.T) {
	t.Parallel()
	s := startTestbed(t, fastSpec())
	text := prompt(500)
	streamed := s.do(call{path: "/v1/completions", body: completionBody(text, 5, true)})
	require.NoError(t, streamed.err)
	require.Equal(t, 200, streamed.status, streamed.body)
	require.Equal(t, 5, strings.Count(streamed.body, fingerprint(text)))
	require.True(t, strings.HasSuffix(streamed.body, "data: [DONE]\n\n"))

	complete := s.do(call{entry: 1, path: "/v1/completions", body: completionBody(text, 5, false)})
	require.Equal(t, 200, complete.status, complete.body)
	var decoded struct {
		Choices []struct{ Text string }
	}
	require.NoError(t, json.Unmarshal([]byte(complete.body), &decoded))
	require.Equal(t, 5, strings.Count(decoded.Choices[0].Text, fingerprint(text)))

	plain := s.do(call{path: "/v1/services/orders/subscribe", body: "order 1"})
	require.Equal(t, 200, plain.status, plain.body)
	require.Contains(t, plain.body, `"path":"/subscribe"`)

	s.signal(fleet.EntryName(0), syscall.SIGTERM)
	require.Equal(t, 0, s.awaitExit(fleet.EntryName(0)))
	s.signal(fleet.ServerName(0), syscall.SIGTERM)
	require.Equal(t, 0, s.awaitExit(fleet.ServerName(0)))
}
