package gateway

import (
	"net/http"
	"testing"

	"github.com/sirupsen/logrus"
	logs "github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"arbutusdeck/core/audit"
	"arbutusdeck/core/lifecycle"
	"arbutusdeck/platform/standin"
)

// tryFields calls an entry whose only engine ends or follows a script, and returns the line of
// the try.
func tryFields(t *testing.T, ends bool, script http.HandlerFunc) logrus.Fields {
	w := newWorld(t)
	w.configure(nil)
	worker := standin.NewWorker("i-1", "engines")
	worker.Script = script
	worker.EndsUnder = func(standin.Run) bool { return ends }
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
		{"breaks off", false, true, func(out http.ResponseWriter, r *http.Request) { standin.Events(out, r, 8, 3) }},
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
