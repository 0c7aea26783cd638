// Package responsestest has servers that send what is no response.
package responsestest

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
)

// Malformed is a response whose head HTTP doesn't allow, with a body that any reader of JSON would accept.
const Malformed = "HTTP/1.1 200 OK\r\nBad Name: x\r\nContent-Length: 2\r\n\r\n{}"

// NewServer returns the URL of a server that runs a script on the connection of each request, before the request's body is
// read, and then closes the connection.
func NewServer(t *testing.T, script func(*net.TCPConn)) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		connection, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			panic(err)
		}
		script(connection.(*net.TCPConn))
		_ = connection.Close() // the script may have closed it
	}))
	t.Cleanup(server.Close)
	return server.URL
}

// Sending returns a script that sends bytes as they are.
func Sending(text string) func(*net.TCPConn) {
	return func(c *net.TCPConn) {
		// The recipient may close the connection before it has read all.
		_, _ = io.WriteString(c, text)
	}
}
