package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// caller is a caller's connection whose requests are written by hand.
type caller struct {
	t *testing.T
	net.Conn
	in *bufio.Reader
}

func dialEntry(t *testing.T, s *Server) *caller {
	connection, err := net.Dial("tcp", s.settings.ListenAddress)
	require.NoError(t, err)
	t.Cleanup(func() { _ = connection.Close() })
	require.NoError(t, connection.SetDeadline(time.Now().Add(patience/4)))
	return &caller{t, connection, bufio.NewReader(connection)}
}

// write sends a part of a request. The entry may have closed the connection, which the answer shows.
func (c *caller) write(text string) { _, _ = fmt.Fprint(c, text) }

// answer reads an answer's status; an error says that there is none.
func (c *caller) answer() (int, error) {
	response, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

const (
	firstHalf  = "GET /read/x HTTP/1.1\r\nHost: press.example\r\n"
	secondHalf = "Authorization: Bearer key-1\r\n\r\n"
)

// A caller sends a request on a connection that has lain idle for almost as long as it may, and the
// network brings it in two pieces. Its connection was closed between them.
func TestAConnectionIsNotIdleWhileARequestArrives(t *testing.T) {
	const idle = 400 * time.Millisecond
	w := newWorld(t)
	w.configure(func(c map[string]any) { c["Limits"].(map[string]any)["IdleTimeoutMs"] = idle.Milliseconds() })
	w.worker("i-1", "plain", nil)
	s := w.serve()
	c := dialEntry(t, s)
	c.write(firstHalf + secondHalf)
	status, err := c.answer()
	require.NoError(t, err)
	require.Equal(t, 200, status)
	time.Sleep(idle * 3 / 4)
	c.write(firstHalf)
	time.Sleep(idle + 2*tickInterval)
	c.write(secondHalf)
	status, err = c.answer()
	require.NoError(t, err)
	require.Equal(t, 200, status)
	_, err = c.answer()
	require.ErrorIs(t, err, io.ErrUnexpectedEOF, "an idle connection is closed at last")
}
