package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutusdeck/platform/standin"
)

// slowly opens a caller's connection with small buffers and writes the beginning of a request.
func (w *world) slowly(s *Server, begin string) net.Conn {
	connection, err := net.Dial("tcp", s.settings.ListenAddress)
	require.NoError(w.t, err)
	w.t.Cleanup(func() { _ = connection.Close() })
	require.NoError(w.t, connection.(*net.TCPConn).SetReadBuffer(4096))
	_, err = io.WriteString(connection, begin)
	require.NoError(w.t, err)
	return connection
}

func head(method, path string, waits time.Duration, more string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: press.example\r\nAttempt-Id: slow\r\nAuthorization: Bearer key-1\r\nTime-Remaining-Ms: %d\r\n%s\r\n",
		method, path, waits.Milliseconds(), more)
}

// Callers take no more of their answers, and keep their connections open. Each held its request, its answer and a
// connection to a server for as long as it liked, also when its time had long passed.
func TestACallerThatDoesNotReadIsEndedWithItsTime(t *testing.T) {
	const callers, callerTime = 20, 5 * time.Second
	w := newWorld(t)
	w.configure(nil)
	answer := strings.Repeat("x", 32<<20)
	w.worker("i-1", "plain", func(out http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(out, answer)
	})
	s := w.serve()
	for range callers {
		w.slowly(s, head(http.MethodGet, "/read/x", callerTime, ""))
	}
	w.eventually("all are open", func() bool { return s.manager.Open() == callers })
	require.Eventually(t, func() bool { return s.manager.Open() == 0 }, callerTime+3*time.Second, 10*time.Millisecond)
}

// A caller sends its body a byte at a time. It held its request for as long as it liked; now it is told with the end of
// its time that nothing has run.
func TestACallerThatSendsItsBodySlowlyIsEndedWithItsTime(t *testing.T) {
	w := newWorld(t)
	w.configure(nil)
	worker := w.worker("i-1", "plain", nil)
	s := w.serve()
	connection := w.slowly(s, head(http.MethodPost, "/order/x", 500*time.Millisecond, "Content-Length: 100\r\n")+"begin")
	require.NoError(t, connection.SetReadDeadline(time.Now().Add(4*time.Second)))
	answer, err := io.ReadAll(connection)
	require.NoError(t, err, "the connection ends")
	require.True(t, strings.HasPrefix(string(answer), "HTTP/1.1 408 "), string(answer))
	require.Contains(t, string(answer), `"run":"notRun"`)
	require.Empty(t, worker.Runs())
}

// Many enormous prompts come at once to a small host. Together they took more memory than the process may have, and it
// was killed with everything that it served. What does not fit is refused at once, as not run, and the room comes back.
func TestEnormousPromptsTogetherStayWithinTheMemory(t *testing.T) {
	for name, length := range map[string]int64{"lengths are told": 3 << 20, "in chunks": -1} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t)
			w.configure(func(c map[string]any) { c["Limits"].(map[string]any)["MaxBodyBytes"] = 4 << 20 })
			released := make(chan struct{})
			worker := w.worker("i-1", "engines", func(out http.ResponseWriter, r *http.Request) {
				<-released
				standin.ServeEvents(out, r, 1, 0)
			})
			release := sync.OnceFunc(func() { close(released) })
			t.Cleanup(release)
			const callers, bodyBytes = 20, 3 << 20
			settings := w.settings()
			settings.MemoryMB = 40
			room := int64(settings.MemoryMB<<20) * 35 / 100
			s := w.start(settings)
			w.eventually("the entry is ready", func() bool { return w.known(s) })
			body := strings.Repeat("x", bodyBytes)
			statuses := make(chan int, callers)
			for i := range callers {
				go func() {
					request := standin.NewRequest(s.settings.ListenAddress, http.MethodPost, "/once/x", fmt.Sprint("b", i), 2000, body)
					request.ContentLength = length
					statuses <- call(request).status
				}()
			}
			refused := func() int { return len(statuses) }
			w.eventually("the others are refused", func() bool { return refused()+len(worker.Runs()) == callers })
			require.LessOrEqual(t, s.bodies.Held(), room)
			require.LessOrEqual(t, len(worker.Runs()), int(room/bodyBytes))
			if length > 0 {
				require.Len(t, worker.Runs(), int(room/bodyBytes))
			}
			for range refused() {
				require.Equal(t, http.StatusServiceUnavailable, <-statuses)
			}
			release()
			for range len(worker.Runs()) {
				require.Equal(t, 200, <-statuses)
			}
			w.eventually("all room is back", func() bool { return s.bodies.Held() == 0 })
		})
	}
}
