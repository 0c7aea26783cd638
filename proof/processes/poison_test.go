package processes

import (
	"net/http"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"arbutusdeck/standin/fleet"
)

const (
	// poisonText is part of the prompt under which engines crash.
	poisonText = "verse that no engine bears"
	// maxCrashedEngines bounds the engines that one request may crash: three until it is quarantined,
	// and three more that it was sent to before all entries know.
	maxCrashedEngines = 6
)

// Guards against a poison prompt that crashes one engine after the other until none is left: the
// caller is told of a failure and sends it again, to either entry, and each entry takes it for a new
// request and offers it to four more servers. After three crashes it has to be refused as not run,
// also by an entry that has restarted since, while the caller's other prompts are served.
func TestAPoisonPromptIsQuarantined(t *testing.T) {
	t.Parallel()
	spec := fastSpec()
	spec.Servers, spec.PoisonText = 10, poisonText
	s := startTestbed(t, spec)
	sendPoison := func(entry int) callResult {
		return s.do(call{entry: entry, path: "/v1/completions", body: completionBody(poisonText, 2, false)})
	}
	var last callResult
	for i := range 6 {
		last = sendPoison(i % 2)
		require.NoError(t, last.err)
	}
	require.LessOrEqual(t, s.fleet.CrashedEngines(), maxCrashedEngines)
	require.Equal(t, http.StatusServiceUnavailable, last.status, last.body)
	require.Equal(t, "quarantined", decodeError(t, last).Error.Code)
	require.Equal(t, "notRun", decodeError(t, last).Error.Run)
	require.NotEmpty(t, last.header.Get("Retry-After"))
	sound := completionBody(prompt(3), 2, false)
	for entry := range 2 {
		require.Equal(t, 200, s.do(call{entry: entry, path: "/v1/completions", body: sound}).status)
	}
	crashed := s.fleet.CrashedEngines()
	restarted := fleet.EntryName(1)
	s.signal(restarted, syscall.SIGKILL)
	s.restart(restarted)
	require.Equal(t, http.StatusServiceUnavailable, sendPoison(1).status, "at an entry that has started since")
	require.Equal(t, crashed, s.fleet.CrashedEngines())
}
