package gateway

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutusdeck/core/lifecycle"
	"arbutusdeck/platform/standin"
)

// fatal is the body of a request that ends each server which begins to run it, if it comes
// from the workspace of the usual key.
const fatal = "a prompt that no server bears"

// fatalFleet is some entries before servers that end under the fatal request. A second
// workspace has a key of its own.
type fatalFleet struct {
	*world
	entries []*Server
}

// otherKey is the key of the second workspace.
const otherKey = "key-2"

func newFatalFleet(t *testing.T, entries int, service string, servers int, script http.HandlerFunc) *fatalFleet {
	f := &fatalFleet{world: newWorld(t)}
	f.configure(func(c map[string]any) {
		c["Tenants"] = append(c["Tenants"].([]map[string]any), map[string]any{"Name": "school", "ApiKeys": []string{otherKey}})
	})
	for i := range servers {
		worker := standin.NewWorker(fmt.Sprintf("i-%d", i), service)
		worker.Script = script
		worker.EndsUnder = func(run standin.Run) bool { return run.Body == fatal && run.Workspace == "press" }
		f.list(worker)
	}
	for range entries {
		f.add()
	}
	return f
}

// add starts an entry that knows those before it, and waits until they hear each other.
func (f *fatalFleet) add() *Server {
	var seeds []string
	for _, s := range f.entries {
		seeds = append(seeds, s.settings.PeerAddress)
	}
	s := f.start(f.settings(seeds...))
	f.entries = append(f.entries, s)
	f.eventually("the entry is ready", func() bool { return s.manager.State() == lifecycle.Serving && f.known(s) })
	f.eventually("entries hear each other", func() bool {
		for _, s := range f.entries {
			s.peers.mu.Lock()
			near := len(s.peers.group.Near(time.Now()))
			s.peers.mu.Unlock()
			if near != len(f.entries)-1 {
				return false
			}
		}
		return true
	})
	return s
}

// send sends a request to an entry.
func (f *fatalFleet) send(s *Server, method, path, key, body string) reply {
	tokens := 0
	if method == http.MethodPost && path != "/order/x" {
		tokens = 2000
	}
	id := fmt.Sprintf("%x", time.Now().UnixNano())
	return call(standin.WithKey(standin.Call(s.settings.ListenAddress, method, path, id, tokens, body), key))
}

// ended is how many servers have ended.
func (f *fatalFleet) ended() int {
	count := 0
	for _, worker := range f.workers {
		if worker.Crashed() {
			count++
		}
	}
	return count
}

// newsTime is for how long news take to reach all entries, with room for a busy machine.
const newsTime = 100 * time.Millisecond

// mostEnded is how many servers may end under one request: three, after which it is known, and
// three more that it had been sent to or was sent to before all entries know.
const mostEnded = 6

// A caller's request ends each server that begins to run it. The caller gets an error and sends
// it again, to any entry. To each entry it is a new request: it is sent to servers, some of them
// twice, until all have ended, and whatever else they ran is cut. It has to be refused as not run
// once three servers have ended under it, also by entries that have never seen it. All other
// requests, those of its caller and the same one of another workspace, are served.
func TestARequestThatEndsServersIsNotSentOnWithoutEnd(t *testing.T) {
	events := func(out http.ResponseWriter, r *http.Request) { standin.Events(out, r, 2, 0) }
	for _, c := range []struct {
		name, method, path, service string
		script                      http.HandlerFunc
	}{
		{"resumable stream", http.MethodPost, "/stream/x", "engines", events},
		{"stream that runs once", http.MethodPost, "/once/x", "engines", events},
		{"idempotent", http.MethodGet, "/read/x", "plain", nil},
		{"order", http.MethodPost, "/order/x", "plain", nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := newFatalFleet(t, 3, c.service, 14, c.script)
			var last reply
			for i := range 14 {
				last = f.send(f.entries[i%len(f.entries)], c.method, c.path, "key-1", fatal)
				time.Sleep(newsTime)
			}
			require.LessOrEqual(t, f.ended(), mostEnded, "servers that have ended")
			require.Equal(t, http.StatusServiceUnavailable, last.status, last.body)
			require.Equal(t, "notRun", problemOf(t, last).Run)
			require.NotEmpty(t, last.header.Get("Retry-After"))
			for _, s := range f.entries {
				require.Equal(t, 200, f.send(s, c.method, c.path, "key-1", "another prompt").status, "another request of the caller")
				require.Equal(t, 200, f.send(s, c.method, c.path, otherKey, fatal).status, "the same request of another workspace")
			}
			ended := f.ended()
			started := f.add()
			time.Sleep(newsTime)
			require.Equal(t, http.StatusServiceUnavailable, f.send(started, c.method, c.path, "key-1", fatal).status, "at an entry that has started since")
			require.Equal(t, ended, f.ended())
		})
	}
}
