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

// handwrittenCaller is a connection whose requests are written by hand.
type handwrittenCaller struct {
	t *testing.T
	net.Conn
	in *bufio.Reader
}

func dialEntry(t *testing.T, s *Server) *handwrittenCaller {
	connection, err := net.Dial("tcp", s.settings.ListenAddress)
	require.NoError(t, err)
	t.Cleanup(func() { _ = connection.Close() })
	require.NoError(t, connection.SetDeadline(time.Now().Add(testTimeout/4)))
	return &handwrittenCaller{t, connection, bufio.NewReader(connection)}
}

// call sends a whole request and returns the status of the response.
func (c *handwrittenCaller) call() int {
	c.write(firstHalf + secondHalf)
	status, err := c.readResponse()
	require.NoError(c.t, err)
	return status
}

// write sends a part of a request. It ignores errors: if the entry has closed the connection,
// reading the response fails.
func (c *handwrittenCaller) write(text string) { _, _ = fmt.Fprint(c, text) }

// readResponse reads a response and returns its status; an error means that there is none.
func (c *handwrittenCaller) readResponse() (int, error) {
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

// Callers found their connection closed instead of a response, and could not tell whether their
// request ran. The connection was about to reach its idle timeout, or its entry was stopping, and
// the request arrived in several segments: the entry considered the connection idle until it had
// read all headers, and closed it. Evidence: closed 5 of 5 times between two parts of a request.
func TestAConnectionIsNotIdleWhileARequestArrives(t *testing.T) {
	const idle = 400 * time.Millisecond
	w := newTestbed(t)
	w.configure(func(c map[string]any) { c["Limits"].(map[string]any)["IdleTimeoutMs"] = idle.Milliseconds() })
	w.worker("i-1", "plain", nil)
	s := w.serve()
	c := dialEntry(t, s)
	require.Equal(t, 200, c.call())
	time.Sleep(idle * 3 / 4)
	c.write(firstHalf)
	time.Sleep(idle + 2*tickInterval)
	c.write(secondHalf)
	status, err := c.readResponse()
	require.NoError(t, err)
	require.Equal(t, 200, status)
	_, err = c.readResponse()
	require.ErrorIs(t, err, io.ErrUnexpectedEOF, "an idle connection is closed at last")
}
