package responsestest

import (
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// EndlessResponse is a response without end: Begin, and then Piece again and again.
type EndlessResponse struct{ Name, Begin, Piece string }

// EndlessResponses are without end in each part of a response that net/http collects, and in its body.
var EndlessResponses = []EndlessResponse{
	{"status line", "HTTP/1.1 200 ", "x"},
	{"field", "HTTP/1.1 200 OK\r\nX-Field: x", "x"},
	{"fields", "HTTP/1.1 200 OK\r\n", "a:\r\n"},
	{"interim responses", "", "HTTP/1.1 103 Early Hints\r\n\r\n"},
	{"body", "HTTP/1.1 200 OK\r\n\r\n", " "},
	{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\n    \r\n"},
	{"failure", "HTTP/1.1 500 Failed\r\n\r\n", "x"},
}

const (
	// endlessTime is the longest time for which an endless response is sent.
	endlessTime = 20 * time.Second
	// endlessWrite is written at a time, in bytes.
	endlessWrite = 64 << 10
)

// ForEachEndless calls test with the URL of a server for each endless response. The test has to end the request; it fails
// if the request took as much as would endanger a small host.
func ForEachEndless(t *testing.T, test func(t *testing.T, url string)) {
	for _, response := range EndlessResponses {
		t.Run(response.Name, func(t *testing.T) {
			var sent atomic.Int64
			test(t, NewServer(t, response.sendTo(&sent)))
			require.Less(t, sent.Load(), maxSent, "bytes that were taken")
		})
	}
}

// maxSent is half of the memory of the smallest host, in bytes, with what the kernel holds on both sides.
const maxSent int64 = 92 << 20

// sendTo returns a script that sends the response and counts the bytes that were taken.
func (e EndlessResponse) sendTo(sent *atomic.Int64) func(*net.TCPConn) {
	piece := strings.Repeat(e.Piece, endlessWrite/len(e.Piece))
	return func(c *net.TCPConn) {
		_ = c.SetDeadline(time.Now().Add(endlessTime))
		for _, err := io.WriteString(c, e.Begin); err == nil; {
			var n int
			n, err = io.WriteString(c, piece)
			sent.Add(int64(n))
		}
	}
}
