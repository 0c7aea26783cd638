package gateway

import (
	"bufio"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"runtime/debug"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutusdeck/platform/standin"
)

// dialSlowly opens a caller's connection with a small receive buffer and writes the beginning of a
// request.
func (w *testbed) dialSlowly(s *Server, begin string) net.Conn {
	connection, err := net.Dial("tcp", s.settings.ListenAddress)
	require.NoError(w.t, err)
	w.t.Cleanup(func() { _ = connection.Close() })
	require.NoError(w.t, connection.(*net.TCPConn).SetReadBuffer(4096))
	_, err = io.WriteString(connection, begin)
	require.NoError(w.t, err)
	return connection
}

func requestHead(method, path string, waits time.Duration, more string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: press.example\r\nAttempt-Id: slow\r\nAuthorization: Bearer key-1\r\nTime-Remaining-Ms: %d\r\n%s\r\n",
		method, path, waits.Milliseconds(), more)
}

// Callers stop reading their responses and keep their connections open. Each held its request, its
// response and a connection to a server indefinitely, even long after its deadline.
func TestACallerThatDoesNotReadIsEndedWithItsTime(t *testing.T) {
	const callers, callerTime = 20, 5 * time.Second
	w := newTestbed(t)
	w.configure(nil)
	answer := strings.Repeat("x", 32<<20)
	w.worker("i-1", "plain", func(out http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(out, answer)
	})
	s := w.serve()
	for range callers {
		w.dialSlowly(s, requestHead(http.MethodGet, "/read/x", callerTime, ""))
	}
	w.eventually("all have been read", func() bool { return s.counters.requests.Count() == callers })
	require.Eventually(t, func() bool { return s.manager.Open() == 0 }, callerTime+3*time.Second, 10*time.Millisecond)
}

// A caller sends its body one byte at a time, and held its request indefinitely. At its deadline it
// now learns that nothing has run.
func TestASlowRequestBodyEndsAtTheDeadline(t *testing.T) {
	w := newTestbed(t)
	w.configure(nil)
	worker := w.worker("i-1", "plain", nil)
	s := w.serve()
	connection := w.dialSlowly(s, requestHead(http.MethodPost, "/order/x", 500*time.Millisecond, "Content-Length: 100\r\n")+"begin")
	require.NoError(t, connection.SetReadDeadline(time.Now().Add(4*time.Second)))
	answer, err := io.ReadAll(connection)
	require.NoError(t, err, "the connection ends")
	require.True(t, strings.HasPrefix(string(answer), "HTTP/1.1 408 "), string(answer))
	require.Contains(t, string(answer), `"run":"notRun"`)
	require.Empty(t, worker.Runs())
}

// Many enormous prompts arrive at once at a small host. Together they took more memory than the
// process may use, and it was killed with all its requests. What does not fit is refused at once,
// as not run, and the memory becomes available again.
func TestRequestBodiesStayWithinTheMemoryLimit(t *testing.T) {
	for name, length := range map[string]int64{"lengths are told": 3 << 20, "in chunks": -1} {
		t.Run(name, func(t *testing.T) {
			w := newTestbed(t)
			w.configure(func(c map[string]any) { c["Limits"].(map[string]any)["MaxBodyBytes"] = 4 << 20 })
			released := make(chan struct{})
			worker := w.worker("i-1", "engines", func(out http.ResponseWriter, r *http.Request) {
				<-released
				standin.ServeEvents(out, r, 1, 0)
			})
			release := sync.OnceFunc(func() { close(released) })
			t.Cleanup(release)
			const callers, bodyBytes = 20, 3 << 20
			settings := w.newSettings()
			settings.MemoryMB = 40
			limit := int64(settings.MemoryMB<<20) * 35 / 100
			s := w.start(settings)
			// The callers and the server share the process of the entry. With its limit the garbage collector would run
			// all the time, and requests would be refused because they are late.
			debug.SetMemoryLimit(math.MaxInt64)
			w.eventually("the entry is ready", func() bool { return w.isCurrent(s) })
			body := strings.Repeat("x", bodyBytes)
			replies := make(chan reply, callers)
			for i := range callers {
				go func() {
					request := standin.NewRequest(s.settings.ListenAddress, http.MethodPost, "/once/x", fmt.Sprint("b", i), 2000, body)
					request.ContentLength = length
					replies <- call(request)
				}()
			}
			refused := func() int { return len(replies) }
			w.eventually("the others are refused", func() bool { return refused()+len(worker.Runs()) == callers })
			require.LessOrEqual(t, s.callers.Usage().LargeBodies, limit)
			for range refused() {
				r := <-replies
				require.Equal(t, http.StatusServiceUnavailable, r.status, r.body)
				require.Equal(t, CodeBodiesFull, problemOf(t, r).Code, r.body)
			}
			require.LessOrEqual(t, len(worker.Runs()), int(limit/bodyBytes))
			if length > 0 {
				require.Len(t, worker.Runs(), int(limit/bodyBytes))
			}
			release()
			for range len(worker.Runs()) {
				require.Equal(t, 200, (<-replies).status)
			}
			w.eventually("all memory is released", func() bool { return s.callers.Usage().LargeBodies == 0 })
		})
	}
}

// A caller was refused while it was still sending a prompt of megabytes. The connection was closed with the rest unread,
// at once or two seconds later, and the caller got a reset in place of the answer.
func TestACallerThatIsStillSendingGetsItsRefusal(t *testing.T) {
	for name, head := range map[string]string{"told length": "Content-Length: 3145728\r\n", "unknown length": "Transfer-Encoding: chunked\r\n"} {
		t.Run(name, func(t *testing.T) {
			w := newTestbed(t)
			w.configure(func(c map[string]any) { c["Limits"].(map[string]any)["MaxBodyBytes"] = 4 << 20 })
			w.worker("i-1", "plain", nil)
			settings := w.newSettings()
			settings.MemoryMB = 4 // the body does not fit
			s := w.start(settings)
			w.eventually("the entry is ready", func() bool { return w.isCurrent(s) })
			connection, err := net.Dial("tcp", s.settings.ListenAddress)
			require.NoError(t, err)
			defer connection.Close()
			_, err = io.WriteString(connection, requestHead(http.MethodPost, "/order/x", testTimeout, head))
			require.NoError(t, err)
			chunk := []byte(strings.Repeat("x", 64<<10))
			if name == "unknown length" {
				chunk = []byte("10000\r\n" + string(chunk) + "\r\n")
			}
			const chunks = 48 // they take longer than discardTime
			for range chunks {
				time.Sleep(discardTime * 5 / 4 / chunks)
				_, err := connection.Write(chunk)
				require.NoError(t, err)
			}
			if name == "unknown length" {
				_, err = io.WriteString(connection, "0\r\n\r\n")
				require.NoError(t, err)
			}
			response, err := http.ReadResponse(bufio.NewReader(connection), nil)
			require.NoError(t, err)
			defer response.Body.Close()
			require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
			body, err := io.ReadAll(response.Body)
			require.NoError(t, err)
			require.Contains(t, string(body), `"run":"notRun"`)
		})
	}
}

// A caller that sends nothing more after its refusal holds its connection for two seconds and no memory.
func TestTheRestOfARefusedBodyIsReadForALimitedTime(t *testing.T) {
	w := newTestbed(t)
	w.configure(func(c map[string]any) { c["Limits"].(map[string]any)["MaxBodyBytes"] = 4 << 20 })
	w.worker("i-1", "plain", nil)
	settings := w.newSettings()
	settings.MemoryMB = 4
	s := w.start(settings)
	w.eventually("the entry is ready", func() bool { return w.isCurrent(s) })
	connection := w.dialSlowly(s, requestHead(http.MethodPost, "/order/x", testTimeout, "Content-Length: 3145728\r\n"))
	began := time.Now()
	answer := make([]byte, len("HTTP/1.1 503"))
	_, err := io.ReadFull(connection, answer)
	require.NoError(t, err)
	require.Equal(t, "HTTP/1.1 503", string(answer))
	require.Less(t, time.Since(began), discardTime, "the answer comes at once")
	require.Zero(t, s.callers.Usage().LargeBodies)
	w.eventually("the request ends", func() bool { return s.manager.Open() == 0 })
	require.Less(t, time.Since(began), discardTime+time.Second)
}
