package gateway

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutusdeck/core/execution"
	"arbutusdeck/platform/standin"
)

// poisonPart is the part of a prompt that crashes each server that begins to write an answer on it.
const poisonPart = "bad"

// newPoisonPartFleet has servers that crash under the poison part, after some events of an answer.
func newPoisonPartFleet(t *testing.T, entries, servers, events int) *poisonFleet {
	f := newPoisonFleet(t, 0, "engines", 0, nil)
	for i := range servers {
		worker := standin.NewWorker(fmt.Sprintf("i-%d", i), "engines")
		worker.Script = func(out http.ResponseWriter, r *http.Request) {
			if !standin.RunFromRequest(r).HasPromptPart(poisonPart) {
				standin.ServeEvents(out, r, 3, 0)
				return
			}
			standin.ServeEvents(out, r, events, 0)
			worker.Crash()
			panic(http.ErrAbortHandler)
		}
		f.addRow(worker)
	}
	for range entries {
		f.addEntry()
	}
	return f
}

// sendParts sends a request with parts in its prompt, unlike all others.
func (f *poisonFleet) sendParts(s *Server, key string, tokens int, parts ...string) reply {
	id := fmt.Sprintf("%x", time.Now().UnixNano())
	request := standin.SetPromptParts(standin.NewRequest(s.settings.ListenAddress, http.MethodPost, "/stream/x", id, tokens, "prompt "+id), append(parts, id)...)
	return call(standin.SetAPIKey(request, key))
}

// requireServed sends a request until it is served; it may meet servers first that are gone, but no quarantine.
func (f *poisonFleet) requireServed(s *Server, tokens int, parts ...string) {
	f.eventually("a sound request is served", func() bool {
		r := f.sendParts(s, "key-1", tokens, parts...)
		require.True(f.t, r.status == 200 || problemOf(f.t, r).Code != execution.CodeQuarantined, r.body)
		return r.status == 200
	})
}

// Guards against requests that share a part which crashes servers, while no two of them are alike.
func TestAPartThatCrashesServersIsQuarantined(t *testing.T) {
	for _, c := range []struct {
		name           string
		tokens, events int
		other          string // a further part of the poison requests
	}{
		{"retried", 2000, 0, "shared"},
		{"resumed", 2000, 2, "shared"},
		{"divided", 120_000, 0, "shared"},
		{"with a part that only they have", 2000, 0, "rare"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := newPoisonPartFleet(t, 3, 16, c.events)
			var last reply
			for i := range 14 {
				s := f.entries[i%len(f.entries)]
				f.requireServed(s, c.tokens, "shared")
				last = f.sendParts(s, []string{"key-1", otherKey}[i%2], c.tokens, c.other, poisonPart)
				time.Sleep(propagationTime)
			}
			require.LessOrEqual(t, f.crashedCount(), maxCrashed, "servers that have crashed")
			require.Equal(t, http.StatusServiceUnavailable, last.status, last.body)
			require.Equal(t, execution.CodeQuarantined, problemOf(t, last).Code)
			require.Equal(t, "notRun", problemOf(t, last).Run)
			ended := f.crashedCount()
			started := f.addEntry()
			time.Sleep(propagationTime)
			require.Equal(t, http.StatusServiceUnavailable, f.sendParts(started, "key-1", c.tokens, c.other, poisonPart).status, "at an entry that has started since")
			f.requireServed(started, c.tokens, c.other, "shared")
			time.Sleep(propagationTime)
			for _, s := range f.entries {
				require.Equal(t, http.StatusServiceUnavailable, f.sendParts(s, otherKey, c.tokens, "new", poisonPart).status, "with another part")
			}
			require.Equal(t, ended, f.crashedCount())
		})
	}
}
