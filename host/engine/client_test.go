package engine

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// rawServer is an engine that answers each request, before its body is read, by script on its connection.
func rawServer(t *testing.T, script func(*net.TCPConn)) *Client {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		connection, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			panic(err)
		}
		script(connection.(*net.TCPConn))
	}))
	t.Cleanup(server.Close)
	return NewClient(server.URL)
}

const (
	// uploadBytes is more than the kernel holds of a prompt that the engine doesn't read.
	uploadBytes = 12 << 20
	// earlyResponses is the number of plays: which of two goroutines gets the report of a reset differs.
	earlyResponses = 30
)

// Guards against taking a part of a response for all of it: an engine answers without a length while the prompt is
// uploaded, and resets the connection.
func TestAResetDuringTheUploadEndsNoResponse(t *testing.T) {
	client := rawServer(t, func(c *net.TCPConn) {
		_, _ = fmt.Fprint(c, "HTTP/1.1 200 OK\r\n\r\nhalf")
		time.Sleep(20 * time.Millisecond)
		_ = c.SetLinger(0)
		_ = c.Close()
	})
	for range earlyResponses {
		call := Call{Model: true, Method: http.MethodPost, Path: "/", Body: bytes.NewReader(make([]byte, uploadBytes)), Length: uploadBytes}
		err := client.Run(t.Context(), call, func(ResponseHead, []byte) error { return nil })
		require.ErrorIs(t, err, ErrFailed)
	}
}
