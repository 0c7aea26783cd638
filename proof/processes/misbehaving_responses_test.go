package processes

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutusdeck/standin/fleet"
)

// Guards against callers that make a host hold large responses because they don't read them.
func TestMisbehavingCrowdDoesNotReadLargeResponses(t *testing.T) {
	const callers, bodyBytes = 100, 2 << 20 // the service returns the body
	crowd := behaviour{largeResponses, callers, func(connection net.Conn, to target, caller int) {
		_ = writeText(connection, requestHead("POST", to, caller)+fmt.Sprintf("Content-Length: %d\r\n\r\n", bodyBytes))
		_ = writeText(connection, strings.Repeat("x", bodyBytes))
	}}
	testOwnCrowd(t, crowd, fleet.ServerName(0), func(s *testbed) []target {
		return []target{{address: strings.TrimPrefix(s.fleet.CallerURL(0), "http://"), path: "/v1/services/orders/x", headers: ownHeaders}}
	})
}

// Guards against callers that make a host keep the answers of ever more idempotency keys.
func TestMisbehavingCallersUseManyKeys(t *testing.T) {
	const callers, keys, bodyBytes = 16, 10_000, 12 << 10 // the service returns the body
	name := fleet.ServerName(0)
	s := startLimited(t, name)
	usage := s.watchDaemon(name)
	body := strings.Repeat("x", bodyBytes)
	var group sync.WaitGroup
	for range callers {
		group.Go(func() {
			for range keys / callers {
				s.orderWithNewKey(body)
			}
		})
	}
	group.Wait()
	s.requireServed(name, usage, crowdMemoryMB)
}

// orderWithNewKey sends a request with a new idempotency key and returns the status of its response.
func (s *testbed) orderWithNewKey(body string) int {
	issued := s.do(call{path: "/v1/idempotency-keys", body: `{"service":"` + fleet.Service + `"}`})
	var key struct{ Key string }
	if json.Unmarshal([]byte(issued.body), &key) != nil {
		return 0
	}
	return s.do(call{path: "/v1/services/" + fleet.Service + "/x", body: body, headers: map[string]string{"Idempotency-Key": key.Key}}).status
}

// Guards against callers that leave during their responses and so make the daemons write more lines than the reader of
// their log takes: no request waits for the log.
func TestMisbehavingCallersLeaveWhileTheLogStalls(t *testing.T) {
	const callers, calls = 50, 1000
	spec := fastSpec()
	spec.Servers, spec.Entries, spec.NewHost = 1, 1, nextForwardHost
	s := startTestbed(t, spec)
	for _, name := range []string{fleet.ServerName(0), fleet.EntryName(0)} {
		s.signal(name, syscall.SIGKILL)
		<-s.daemons[name].exited
		s.launchUnread(name, s.daemons[name].command)
	}
	for name := range s.daemons {
		s.awaitReady(name)
	}
	address := strings.TrimPrefix(s.fleet.CallerURL(0), "http://")
	body := completionBody(prompt(10), 512, true)
	request := requestHead("POST", target{path: "/v1/completions", headers: ownHeaders}, 0) + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	var group sync.WaitGroup
	for range callers {
		group.Go(func() {
			for range calls / callers {
				leaveAtTheFirstByte(address, request)
			}
		})
	}
	group.Wait()
	s.client.CloseIdleConnections()
	s.eventually("an ordinary request is answered", func() bool {
		return s.do(call{path: "/v1/completions", body: completionBody(prompt(100), 5, true)}).status == http.StatusOK
	})
}

func leaveAtTheFirstByte(address, request string) {
	connection, err := net.Dial("tcp", address)
	if err != nil {
		return
	}
	defer connection.Close()
	_ = connection.SetDeadline(time.Now().Add(waitTimeout / 10))
	_ = writeText(connection, request)
	_, _ = connection.Read(make([]byte, 1))
}

// launchUnread starts a daemon whose standard output and standard error nothing reads.
func (s *testbed) launchUnread(name string, command []string) {
	unread, log, err := os.Pipe()
	require.NoError(s.t, err)
	s.t.Cleanup(func() {
		_ = unread.Close()
		_ = log.Close()
	})
	s.launchWithLog(name, append([]string{"sh", "-c", `exec "$0" "$@" 2>&1`}, command...), log)
}

// Guards against requests whose connections to hosts take the descriptors of others: what is over the limit is refused as
// not run, and the host is not held unreachable.
func TestConnectionsToHostsAreLimited(t *testing.T) {
	const callers, serviceDelay = 8, 3 * time.Second // callers: more than the half of twenty descriptors that connections to hosts have
	spec := fastSpec()
	spec.Servers, spec.Entries, spec.ServiceDelay = 1, 1, serviceDelay
	s := startTestbed(t, spec)
	name := fleet.EntryName(0)
	s.relaunch(name, append([]string{"env", "ARBUTUS_MAX_DESCRIPTORS=20"}, s.daemons[name].command...))
	s.client.CloseIdleConnections()
	order := func() callResult { return s.do(call{path: "/v1/services/" + fleet.Service + "/x", body: "one"}) }
	results := make(chan callResult, callers)
	for range callers {
		go func() { results <- order() }()
	}
	refused := 0
	for range callers {
		result := <-results
		if result.status == http.StatusOK {
			continue
		}
		require.Equal(t, http.StatusServiceUnavailable, result.status, result.body)
		require.Equal(t, "notRun", result.header.Get("X-Request-Run"))
		refused++
	}
	require.Positive(t, refused)
	require.Equal(t, callers-refused, s.fleet.Services[0].Runs("one"))
	require.Equal(t, http.StatusOK, order().status)
}
