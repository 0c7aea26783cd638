package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutusdeck/core/process"
	"arbutusdeck/platform"
	"arbutusdeck/platform/standin"
)

// Guards against a crowd at one address that takes the descriptors of the others.
func TestSilentCrowdsLeaveEachAddressItsShare(t *testing.T) {
	w := newTestbed(t)
	w.configure(nil)
	w.worker("i-1", "plain", nil)
	settings := w.newSettings()
	settings.MaxDescriptors = 300
	s := w.start(settings)
	w.eventually("the entry is ready", func() bool { return w.isCurrent(s) })
	shares := divideDescriptors(settings.MaxDescriptors)
	for _, address := range []string{settings.ListenAddress, settings.ReadyAddress, settings.MetricsAddress, settings.PeerAddress} {
		for range settings.MaxDescriptors {
			connection, err := net.Dial("tcp", address)
			require.NoError(t, err)
			t.Cleanup(func() { _ = connection.Close() })
		}
	}
	for _, path := range []string{settings.ReadyAddress + platform.ReadyPath, settings.MetricsAddress + "/metrics"} {
		w.eventually(path+" answers", func() bool {
			response, err := http.Get("http://" + path)
			if err != nil {
				return false
			}
			defer response.Body.Close()
			return response.StatusCode == http.StatusOK
		})
	}
	require.Equal(t, http.StatusOK, call(standin.NewRequest(settings.ListenAddress, http.MethodPost, "/order/x", "one", 0, "")).status)
	require.LessOrEqual(t, s.callers.Usage().Connections, shares.callers)
	open := 0
	for _, other := range s.others {
		open += other.Usage().Connections
	}
	require.LessOrEqual(t, open, shares.ready+shares.metrics+shares.peers)
}

// The shares of all uses fit together within the sockets, also under small limits.
func TestDescriptorsAreDividedWithinTheLimit(t *testing.T) {
	for _, limit := range []int{64, 300, 600, 4096, 4100, 1 << 20} {
		shares := divideDescriptors(limit)
		sockets := max(limit-process.FileDescriptors, limit/2)
		used := shares.callers + shares.servers + shares.peers + shares.ready + shares.metrics
		require.Less(t, used, sockets+minReadyConnections, "limit %d", limit)
		if limit >= 400 {
			require.Less(t, used, sockets)
		}
	}
	smallest := divideDescriptors(4100)
	require.Equal(t, descriptorShares{callers: 1560, servers: 1560, peers: 390, ready: 78, metrics: 39}, smallest)
}

// Guards against constants that stand above the limits of the configuration.
func TestTheConfigurationLimitsHeaders(t *testing.T) {
	const headerBytes, headerTimeoutMs = 100_000, 300
	w := newTestbed(t)
	w.configure(func(c map[string]any) {
		c["Limits"].(map[string]any)["MaxHeaderBytes"] = headerBytes
		c["Limits"].(map[string]any)["HeaderTimeoutMs"] = headerTimeoutMs
	})
	w.worker("i-1", "plain", nil)
	s := w.serve()
	long := func(size int) int {
		caller := dialEntry(t, s)
		caller.write(requestHead("GET", "/read/x", testTimeout, "X-Long: "+strings.Repeat("x", size)+"\r\n"))
		status, err := caller.readResponse()
		require.NoError(t, err)
		return status
	}
	require.Equal(t, http.StatusOK, long(headerBytes-300))
	require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, long(headerBytes+requestLineBytes))
	began := time.Now()
	caller := dialEntry(t, s)
	caller.write("GET /read/x HTTP/1.1\r\n")
	_, err := caller.readResponse()
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	require.Less(t, time.Since(began), defaultHeaderTimeout, "the timeout of the configuration holds")
}

// Guards against bodies that stop short of their end and keep the memory from others: the slowest is refused, as not
// run, for a body that has no room.
func TestASlowBodyIsRefusedForAnother(t *testing.T) {
	w := newTestbed(t)
	w.configure(func(c map[string]any) { c["Limits"].(map[string]any)["MaxBodyBytes"] = 4 << 20 })
	worker := w.worker("i-1", "plain", nil)
	settings := w.newSettings()
	settings.MemoryMB = 16
	s := w.start(settings)
	w.eventually("the entry is ready", func() bool { return w.isCurrent(s) })
	slow := dialEntry(t, s)
	slow.write(requestHead("POST", "/order/x", testTimeout, "Content-Length: 4194304\r\n") + "begin")
	w.eventually("the slow body has its memory", func() bool { return s.callers.Usage().LargeBodies == 4<<20 })
	body := strings.Repeat("x", 3<<20)
	w.eventually("another body is served", func() bool {
		return call(standin.NewRequest(s.settings.ListenAddress, http.MethodPost, "/order/x", "other", 0, body)).status == http.StatusOK
	})
	response, err := http.ReadResponse(bufio.NewReader(slow), nil)
	require.NoError(t, err)
	defer response.Body.Close()
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.NotEmpty(t, response.Header.Get("Retry-After"))
	text, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Contains(t, string(text), `"run":"notRun"`)
	for _, run := range worker.Runs() {
		require.Equal(t, "other", run.ID)
	}
}

// unroutedHead returns the headers of a request without a route, except for the blank line at their end.
func unroutedHead(method, more string) string {
	return fmt.Sprintf("%s /none/x HTTP/1.1\r\nHost: press.example\r\n%s", method, more)
}

// Guards against refused requests whose callers hold a connection forever: each one here stops sending or reading.
func TestARefusedCallerThatStopsIsDisconnected(t *testing.T) {
	for name, request := range map[string]string{
		"expects to be asked for its body": unroutedHead("POST", "Content-Length: 100\r\nExpect: 100-continue\r\n\r\n"),
		"body over the limit":              requestHead("POST", "/read/x", time.Second, "Content-Length: 1000000\r\n") + strings.Repeat("x", 5000),
		"chunks over the limit":            requestHead("POST", "/read/x", time.Second, "Transfer-Encoding: chunked\r\n") + strings.Repeat("400\r\n"+strings.Repeat("x", 1<<10)+"\r\n", 9),
		"body that stops short":            unroutedHead("POST", "Content-Length: 100\r\n\r\n"),
		"chunks that stop short":           unroutedHead("POST", "Transfer-Encoding: chunked\r\n\r\n5\r\nbegin\r\n"),
		"options for the whole server":     "OPTIONS * HTTP/1.1\r\nHost: press.example\r\nContent-Length: 100\r\n\r\n",
		"does not read":                    strings.Repeat(unroutedHead("GET", "\r\n"), 10_000),
	} {
		t.Run(name, func(t *testing.T) {
			w := newTestbed(t)
			w.configure(nil)
			w.worker("i-1", "plain", nil)
			s := w.serve()
			connection, err := net.Dial("tcp", s.settings.ListenAddress)
			require.NoError(t, err)
			defer connection.Close()
			require.NoError(t, connection.(*net.TCPConn).SetReadBuffer(4096))
			go func() { _, _ = io.WriteString(connection, request) }()
			w.eventually("the request is read", func() bool { return s.counters.refused.Count() > 0 })
			w.eventually("its connection is closed", func() bool { return s.callers.Usage().Connections == 0 })
		})
	}
}

// Guards against the rejection of requests on a kept connection whose earlier request had a deadline that has passed.
func TestAKeptConnectionIsAnsweredAfterAnEarlierDeadline(t *testing.T) {
	w := newTestbed(t)
	w.configure(nil)
	w.worker("i-1", "plain", nil)
	s := w.serve()
	caller := dialEntry(t, s)
	const callerTime = 300 * time.Millisecond
	caller.write(requestHead("GET", "/read/x", callerTime, ""))
	status, err := caller.readResponse()
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	time.Sleep(callerTime + deadlineSlack + 2*responseWriteSlack)
	caller.write(unroutedHead("GET", "\r\n"))
	status, err = caller.readResponse()
	require.NoError(t, err)
	require.Equal(t, http.StatusNotFound, status)
}
