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

// tryFields calls an entry whose only engine ends or follows a script, and returns the line of
// the try.
func tryFields(t *testing.T, ends bool, script http.HandlerFunc) logrus.Fields {
	w := newWorld(t)
	w.configure(nil)
	worker := standin.NewWorker("i-1", "engines")
	worker.Script = script
	worker.CrashesOn = func(standin.Run) bool { return ends }
	w.list(worker)
	log, hook := logs.NewNullLogger()
	s := New(Options{Settings: w.settings(), Log: logrus.NewEntry(log), Trail: audit.NewTrail(nil, 100)})
	w.run(s)
	w.eventually("the entry is ready", func() bool { return s.manager.State() == lifecycle.Serving && w.known(s) })
	w.call(s, http.MethodPost, "/stream/", 2000, "prompt")
	for _, line := range hook.AllEntries() {
		if line.Message == "try ended" {
			return line.Data
		}
	}
	require.Fail(t, "no line of the try")
	return nil
}

// An engine breaks a stream off, once because its process ends and once though it lives. For
// the caller both are the same; who looks for a request under which servers end needs the
// lines to tell them apart, and to name the request alike in all its attempts.
func TestTheLineOfABrokenTryTellsWhetherItsServerHasEnded(t *testing.T) {
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
			fields := tryFields(t, c.ends, c.script)
			require.Equal(t, "broken", fields["result"])
			require.Equal(t, c.ends, fields["serverEnded"])
			require.Equal(t, c.answers, fields["answerMs"] != nil)
			names = append(names, fields["fingerprint"])
		})
	}
	require.Len(t, names, 2)
	require.Equal(t, names[0], names[1], "both worlds saw the same request")
}

// A server ends while the link to it loses packets: the entry hears no reset, and gives the
// connection up in silence. The caller, who has waited long, goes to another server at once; that
// the first one has ended is found out beside it. A request that ends servers would otherwise go
// on behind such a link.
func TestAnEndThatWasSilentIsFoundOutBesideTheRequest(t *testing.T) {
	f := newFatalFleet(t, 1, "plain", 2, nil)
	s := f.entries[0]
	ended := f.workers[0]
	ended.Crash()
	e := &exchange{s: s, r: standin.NewRequest(s.settings.ListenAddress, http.MethodGet, "/read/x", "a", 0, "")}
	result := tryResult{lost: os.ErrDeadlineExceeded}
	e.lookForEnd(t.Context(), placement.Choice{Server: directory.Server{ID: ended.ID, Address: ended.Address()}}, &result)
	require.False(t, result.serverEnded, "nobody waits for it")
	f.eventually("it is remembered", func() bool { return !s.remembersNone() })
}
