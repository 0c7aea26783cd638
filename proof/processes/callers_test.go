package processes

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutusdeck/core/config"
	core "arbutusdeck/core/platform"
	"arbutusdeck/standin/fleet"
)

// Bad requests get a 4xx with a stable code, are reported as not run, and leave no open request
// behind.
func TestBadRequests(t *testing.T) {
	t.Parallel()
	s := startTestbed(t, fastSpec())
	good := completionBody(prompt(10), 2, false)
	kind := func(name string) map[string]string { return map[string]string{"X-Request-Kind": name} }
	cases := []struct {
		name    string
		call    call
		status  int
		code    string
		message string
	}{
		{"no key", call{path: "/v1/completions", body: good, headers: map[string]string{"Authorization": ""}}, 401, "unauthorized", "API key"},
		{"wrong key", call{path: "/v1/completions", body: good, headers: map[string]string{"Authorization": "Bearer no"}}, 401, "unauthorized", "no workspace"},
		{"unknown kind", call{path: "/v1/completions", body: good, headers: kind("sonnet")}, 400, "bad_request", `"sonnet"`},
		{"wrong model", call{path: "/v1/completions", body: `{"model":"other","prompt":"a verse"}`}, 404, "not_found", "serves the model"},
		{"not JSON", call{path: "/v1/completions", body: "{\n\"prompt\": }"}, 400, "bad_request", "line 2"},
		{"no prompt", call{path: "/v1/completions", body: `{"max_tokens":3}`}, 400, "bad_request", "prompt"},
		{"no messages", call{path: "/v1/chat/completions", body: `{"prompt":"a"}`}, 400, "bad_request", "messages"},
		{"negative length", call{path: "/v1/completions", body: `{"prompt":"a","max_tokens":-3}`}, 400, "bad_request", "max_tokens"},
		{"stream not a flag", call{path: "/v1/completions", body: `{"prompt":"a","stream":7}`}, 400, "bad_request", "stream"},
		{"bad deadline", call{path: "/v1/completions", body: good, headers: map[string]string{"X-Request-Deadline": "soon"}}, 400, "bad_request", "duration"},
		{"bad idempotency key", call{path: "/v1/completions", body: good, headers: map[string]string{"Idempotency-Key": "x"}}, 400, "bad_request", "idempotency-keys"},
		{"key of another pool", call{path: "/v1/completions", body: good, headers: map[string]string{"Idempotency-Key": s.issueKey()}}, 400, "bad_request", "issued for"},
		{"prompt too long", call{path: "/v1/completions", body: completionBody(strings.Repeat("poem", 1_300_000), 2, false)}, 413, "prompt_too_long", "tokens"},
		{"body too large", call{path: "/v1/completions", body: completionBody(strings.Repeat("poem", 5_000_000), 2, false)}, 413, "body_too_large", "bytes"},
		{"unknown path", call{path: "/v2/completions", body: good}, 404, "not_found", "/v2/completions"},
		{"wrong method", call{path: "/v1/models", body: good}, 405, "method_not_allowed", "POST"},
		{"unknown service", call{path: "/v1/services/loans/x", body: "a"}, 404, "not_found", "loans"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			a := s.do(c.call)
			require.NoError(t, a.err)
			require.Equal(t, c.status, a.status, a.body)
			p := decodeError(t, a)
			require.Equal(t, c.code, p.Error.Code)
			require.Contains(t, a.body, strings.ReplaceAll(c.message, `"`, `\"`))
			require.NotEqual(t, "finished", p.Error.Run)
		})
	}
	var status struct{ OpenRequests int }
	require.True(t, s.status(fleet.EntryName(0), "daemon", &status))
	require.Zero(t, status.OpenRequests)
	require.Equal(t, 200, s.do(call{path: "/v1/completions", body: good}).status)
}

// A prompt that needs three engines runs on a group of them; afterwards none of them holds memory.
func TestEngineGroup(t *testing.T) {
	t.Parallel()
	spec := fastSpec()
	spec.Speed, spec.EngineGroup = 100, true
	s := startTestbed(t, spec)
	a := s.do(call{path: "/v1/completions", body: completionBody(strings.Repeat("poem", 900_000), 3, true),
		headers: map[string]string{"X-Request-Kind": fleet.LongKind}})
	require.Equal(t, 200, a.status, a.body)
	require.Contains(t, a.body, "[DONE]")
	s.eventually("all parts are released", func() bool {
		for i := range spec.Servers {
			var memory struct{ Leases []any }
			if !s.status(fleet.ServerName(i), "memory", &memory) || len(memory.Leases) > 0 {
				return false
			}
		}
		return s.memoryIsFree()
	})
}

// An operator publishes a new version: every engine gets one order for it, and the audit trail records
// it.
func TestANewVersionIsOrderedOncePerEngine(t *testing.T) {
	t.Parallel()
	s := startTestbed(t, fastSpec())
	hall := s.fleet.Config.Halls[fleet.Hall]
	hall.Version = "v2"
	s.fleet.Config.Halls[fleet.Hall] = hall
	require.NoError(t, s.fleet.Publish())
	for i := range s.fleet.Spec.Servers {
		s.eventually("the engine is in its desired state", func() bool {
			var engines []struct {
				Matches bool
				Wanted  string
			}
			return s.status(fleet.ServerName(i), "engines", &engines) && len(engines) == 1 && engines[0].Matches &&
				strings.Contains(engines[0].Wanted, "@v2")
		})
		orders := s.fleet.Engines[i].Orders()
		require.Len(t, orders, 1)
		require.Equal(t, "v2", orders[0].Version)
	}
	trail := s.get(fleet.ServerName(0), "/v1/audit")
	require.Contains(t, trail, "halls.poetry.version")
	require.Contains(t, trail, "fencing number")
	require.Contains(t, s.get(fleet.EntryName(0), "/metrics"), "arbutusdeck_requests 0")
}

// The fencing number that a plain service receives grows with each start of its daemon, so that a late
// call of a killed daemon is refused.
func TestFencedServiceSeesGrowingNumbers(t *testing.T) {
	t.Parallel()
	spec := fastSpec()
	spec.Servers, spec.Entries = 1, 1
	s := startTestbed(t, spec)
	service := s.fleet.Config.Services[fleet.Service]
	service.ChecksFencing = true
	s.fleet.Config.Services[fleet.Service] = service
	require.NoError(t, s.fleet.Publish())
	s.eventually("the new revision is current everywhere", func() bool { return s.revisionEverywhere(2) })
	require.Equal(t, 200, s.do(call{path: "/v1/services/orders/a", body: "1"}).status)
	first := s.fleet.Services[0].Fence()
	require.Positive(t, first)
	s.signal(fleet.ServerName(0), syscall.SIGKILL)
	s.restart(fleet.ServerName(0))
	s.eventually("the entry reaches the restarted daemon", func() bool { return s.do(call{path: "/v1/services/orders/a", body: "2"}).status == 200 })
	require.Greater(t, s.fleet.Services[0].Fence(), first)
	require.Contains(t, s.get(fleet.EntryName(0), "/v1/status/peers"), fleet.ServerName(0))
}

// Delayed load reports and cache events of engines appear in the status.
func TestEngineReportsAreShown(t *testing.T) {
	t.Parallel()
	s := startTestbed(t, fastSpec())
	for i := range 30 {
		text := fmt.Sprintf("%04d %s", i, prompt(500))
		require.Equal(t, 200, s.do(call{path: "/v1/completions", body: completionBody(text, 2, false)}).status)
	}
	s.eventually("cached prefixes are reported", func() bool {
		cached := 0
		for i := range s.fleet.Spec.Servers {
			var reports map[string]struct{ CachedPrefixes int }
			if s.status(fleet.ServerName(i), "reports", &reports) {
				cached += reports["e0"].CachedPrefixes
			}
		}
		return cached > 10
	})
}

// An invalid folder is rejected as a whole everywhere, with file and line in the audit trail, and the
// last valid one stays current.
func TestInvalidFolderIsRejectedEverywhere(t *testing.T) {
	t.Parallel()
	s := startTestbed(t, fastSpec())
	s.fleet.Platform.Publish([]config.File{{Name: "99-typo.yaml", Content: []byte("kinds:\n  gloss:\n    hal: x\n")}})
	for name := range s.daemons {
		s.eventually(name+" has rejected it", func() bool { return strings.Contains(s.get(name, "/v1/audit"), "99-typo.yaml:3: unknown key") })
	}
	require.True(t, s.revisionEverywhere(1))
	require.Equal(t, 200, s.do(call{path: "/v1/completions", body: completionBody(prompt(10), 2, false)}).status)
}

// A server that the host list marks as draining gets no new work; its requests go on.
func TestServerListedAsDrainingGetsNoNewRequests(t *testing.T) {
	t.Parallel()
	s := startTestbed(t, fastSpec())
	time.Sleep(21 * time.Second) // the list may lag that far behind a restart
	var hosts []core.Host
	for name, server := range s.fleet.Config.Servers {
		hosts = append(hosts, core.Host{Server: name, Address: server.Address, Draining: name == fleet.ServerName(0)})
	}
	s.fleet.Platform.SetHosts(hosts)
	s.eventually("the entry and the host know", func() bool {
		return strings.Contains(s.get(fleet.EntryName(0), "/v1/status/members"), "leaving") &&
			strings.Contains(s.get(fleet.ServerName(0), "/v1/audit"), "the host list says so")
	})
	for i := range 12 {
		text := fmt.Sprintf("verse %d ", i)
		require.Equal(t, 200, s.do(call{path: "/v1/completions", body: completionBody(text, 2, false)}).status)
		require.Zero(t, s.fleet.Engines[0].Runs([]byte(`"`+text+`"`)))
	}
}

// get returns a page of a daemon's administration API; empty if the request fails.
func (s *testbed) get(name, path string) string {
	request, err := http.NewRequest(http.MethodGet, s.fleet.AdminURL(name)+path, nil)
	require.NoError(s.t, err)
	request.Header.Set("Authorization", "Bearer "+fleet.AdminToken)
	response, err := s.client.Do(request)
	if err != nil {
		return ""
	}
	defer response.Body.Close()
	body, _ := io.ReadAll(response.Body)
	return string(body)
}
