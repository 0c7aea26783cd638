package gateway

import (
	"net/http"
	"os"
	"testing"

	"github.com/sirupsen/logrus"
	logs "github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"arbutusdeck/core/audit"
	"arbutusdeck/core/directory"
	"arbutusdeck/core/lifecycle"
	"arbutusdeck/core/placement"
	"arbutusdeck/platform/standin"
)

// attemptFields calls an entry whose only server crashes or follows a script, and returns the
// fields of the attempt's log line.
func attemptFields(t *testing.T, ends bool, script http.HandlerFunc) logrus.Fields {
	w := newTestbed(t)
	w.configure(nil)
	worker := standin.NewWorker("i-1", "engines")
	worker.Script = script
	worker.CrashesOn = func(standin.Run) bool { return ends }
	w.addRow(worker)
	log, hook := logs.NewNullLogger()
	s := New(Options{Settings: w.newSettings(), Log: logrus.NewEntry(log), Trail: audit.NewTrail(nil, 100)})
	w.startServer(s)
	w.eventually("the entry is ready", func() bool { return s.manager.State() == lifecycle.Serving && w.isCurrent(s) })
	w.call(s, http.MethodPost, "/stream/", 2000, "prompt")
	for _, line := range hook.AllEntries() {
		if line.Message == "try ended" {
			return line.Data
		}
	}
	require.Fail(t, "no log line of the attempt")
	return nil
}

// A server breaks a stream, once because its process crashes and once although it keeps running.
// The caller can't tell these apart. To find a request that crashes servers, the log lines have to,
// and have to identify the request across its repeats.
func TestTheLogLineOfABrokenAttemptTellsWhetherItsServerCrashed(t *testing.T) {
	var names []any
	for _, c := range []struct {
		name    string
		ends    bool
		answers bool
		script  http.HandlerFunc
	}{
		{"ends", true, false, nil},
		{"breaks off", false, true, func(out http.ResponseWriter, r *http.Request) { standin.ServeEvents(out, r, 8, 3) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			fields := attemptFields(t, c.ends, c.script)
			require.Equal(t, "broken", fields["result"])
			require.Equal(t, c.ends, fields["serverEnded"])
			require.Equal(t, c.answers, fields["answerMs"] != nil)
			names = append(names, fields["fingerprint"])
		})
	}
	require.Len(t, names, 2)
	require.Equal(t, names[0], names[1], "both testbeds saw the same request")
}

// A server crashes while the link to it loses packets: the entry gets no reset, and the connection
// times out. The caller, who has waited long, is sent to another server at once; the crash is
// detected concurrently. Otherwise a request that crashes servers would be repeated without end
// behind such a link.
func TestACrashWithoutAResetIsDetectedConcurrently(t *testing.T) {
	f := newPoisonFleet(t, 1, "plain", 2, nil)
	s := f.entries[0]
	ended := f.workers[0]
	ended.Crash()
	e := &exchange{s: s, r: standin.NewRequest(s.settings.ListenAddress, http.MethodGet, "/read/x", "a", 0, "")}
	result := attemptResult{connErr: os.ErrDeadlineExceeded}
	e.checkCrash(t.Context(), placement.Choice{Server: directory.Server{ID: ended.ID, Address: ended.Address()}}, &result)
	require.False(t, result.serverCrashed, "the attempt does not wait for it")
	f.eventually("it is tracked", func() bool { return !s.tracksNoRequests() })
}
