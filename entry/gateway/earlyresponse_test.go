package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutusdeck/platform/standin"
)

const (
	// uploadBytes is more than the kernel holds of a body that the server doesn't read.
	uploadBytes = 12 << 20
	// earlyResponses is the number of plays: what the reader of a response meets depends on which of two goroutines runs first.
	earlyResponses = 60
)

// resetDuringUpload answers at once with a response that only the end of its connection ends, and resets the connection while
// the body of the request is written.
func resetDuringUpload(part string) http.HandlerFunc {
	return func(out http.ResponseWriter, _ *http.Request) {
		head := standin.Head(out, "HTTP/1.1 200 OK")
		connection := standin.Hijack(out)
		_, _ = connection.Write([]byte(head + part))
		time.Sleep(20 * time.Millisecond)
		standin.Reset(connection)
	}
}

// Guards against taking a part of a response for all of it. A server answers a long upload before it has read it, with a
// response that has no length, and resets the connection. The kernel reports a reset once: if the writer of the upload gets
// it, the reader gets the rest and then a plain end.
func TestAResetDuringTheUploadEndsNoResponse(t *testing.T) {
	for _, c := range []struct{ name, path, service, part string }{
		{"plain", "/order/x", "plain", "half"},
		{"oversized", "/order/x", "plain", strings.Repeat("x", maxBufferedResponse+1)},
		{"stream", "/once/x", "engines", "id: 1\ndata: event 1\n\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newTestbed(t)
			w.configure(func(c map[string]any) { c["Limits"].(map[string]any)["MaxBodyBytes"] = uploadBytes })
			worker := standin.NewWorker("i-1", c.service)
			worker.BeforeBody = resetDuringUpload(c.part)
			w.addRow(worker)
			s := w.serve()
			tokens := 0
			if c.service == "engines" {
				tokens = 2000
			}
			body := strings.Repeat("b", uploadBytes)
			var wait sync.WaitGroup
			results := make(chan reply, earlyResponses)
			for range 2 {
				wait.Go(func() {
					for range earlyResponses / 2 {
						results <- w.call(s, http.MethodPost, c.path, tokens, body)
					}
				})
			}
			wait.Wait()
			close(results)
			outcomes := map[string]int{}
			for r := range results {
				outcomes[fmt.Sprintf("status %d, broken off: %t", r.status, r.err != nil)]++
			}
			require.Zero(t, outcomes["status 200, broken off: false"], "%v", outcomes)
		})
	}
}

// Guards against giving up on a request that may be repeated after such a response: its caller gets that of another server.
func TestARequestIsRepeatedAfterAResetDuringTheUpload(t *testing.T) {
	w := newTestbed(t)
	w.configure(func(c map[string]any) { c["Limits"].(map[string]any)["MaxBodyBytes"] = uploadBytes })
	asked := atomic.Int64{}
	broken := standin.NewWorker("i-1", "plain")
	broken.BeforeBody = func(out http.ResponseWriter, r *http.Request) {
		asked.Add(1)
		resetDuringUpload("half")(out, r)
	}
	w.addRow(broken)
	w.worker("i-2", "plain", nil)
	s := w.serve()
	body := strings.Repeat("b", uploadBytes)
	for calls := 0; asked.Load() == 0; calls++ {
		require.Less(t, calls, 100, "the broken one is never asked")
		r := w.call(s, http.MethodPost, "/read/x", 0, body)
		require.NoError(t, r.err)
		require.Equal(t, http.StatusOK, r.status, r.body)
		require.Equal(t, "answer of i-2", r.body)
	}
}
