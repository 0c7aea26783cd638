package processes

import (
	"net/http"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"arbutusdeck/standin/fleet"
)

const (
	// fatalText is part of the prompt under which engines end.
	fatalText = "verse that no engine bears"
	// mostEnded is how many engines may end under one request: three, after which it is known,
	// and three more that it had been sent to before all entries know.
	mostEnded = 6
)

// A caller's prompt ends each engine that begins to run it. The caller is told of a failure and
// sends it again, to either entry; each of them takes it for a new request and offers it to four
// servers more, until no engine is left. After three ends it has to be refused as not run, also by
// an entry that has started since; the caller's other prompts are served.
func TestAPromptThatEndsEnginesIsNotSentOnWithoutEnd(t *testing.T) {
	t.Parallel()
	spec := fastSpec()
	spec.Servers, spec.PoisonText = 10, fatalText
	s := startSite(t, spec)
	fatal := func(entry int) answer {
		return s.do(call{entry: entry, path: "/v1/completions", body: completionBody(fatalText, 2, false)})
	}
	var last answer
	for i := range 6 {
		last = fatal(i % 2)
		require.NoError(t, last.err)
	}
	require.LessOrEqual(t, s.fleet.CrashedEngines(), mostEnded)
	require.Equal(t, http.StatusServiceUnavailable, last.status, last.body)
	require.Equal(t, "quarantined", problemOf(t, last).Error.Code)
	require.Equal(t, "notRun", problemOf(t, last).Error.Run)
	require.NotEmpty(t, last.header.Get("Retry-After"))
	sound := completionBody(prompt(3), 2, false)
	for entry := range 2 {
		require.Equal(t, 200, s.do(call{entry: entry, path: "/v1/completions", body: sound}).status)
	}
	ended := s.fleet.CrashedEngines()
	started := fleet.EntryName(1)
	s.signal(started, syscall.SIGKILL)
	s.restart(started)
	require.Equal(t, http.StatusServiceUnavailable, fatal(1).status, "at an entry that has started since")
	require.Equal(t, ended, s.fleet.CrashedEngines())
}
