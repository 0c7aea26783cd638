package engine

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutusdeck/core/orders"
	"arbutusdeck/core/responses/responsestest"
)

const (
	// uploadBytes is more than the kernel holds of a prompt that the engine doesn't read.
	uploadBytes = 12 << 20
	// earlyResponses is the number of plays: which of two goroutines gets the report of a reset differs.
	earlyResponses = 30
)

// Guards against taking a part of a response for all of it: an engine answers without a length while the prompt is
// uploaded, and resets the connection.
func TestAResetDuringTheUploadEndsNoResponse(t *testing.T) {
	client := NewClient(responsestest.NewServer(t, func(c *net.TCPConn) {
		_, _ = fmt.Fprint(c, "HTTP/1.1 200 OK\r\n\r\nhalf")
		time.Sleep(20 * time.Millisecond)
		_ = c.SetLinger(0)
	}))
	for range earlyResponses {
		call := Call{Model: true, Method: http.MethodPost, Path: "/", Body: bytes.NewReader(make([]byte, uploadBytes)), Length: uploadBytes}
		err := client.Run(t.Context(), call, func(ResponseHead, []byte) error { return nil })
		require.ErrorIs(t, err, ErrFailed)
	}
}

// Guards against a response that belongs to no request: an engine or service sends one more after a whole response, and the next
// request of the connection gets it as its own.
func TestAResponseTooManyReachesNoCaller(t *testing.T) {
	const callers, calls = 16, 500
	const response = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n"
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		connection, in, err := w.(http.Hijacker).Hijack()
		if err != nil {
			panic(err)
		}
		defer connection.Close()
		for err == nil {
			_, _ = fmt.Fprint(connection, response+"good"+response+"evil")
			_, err = http.ReadRequest(in.Reader)
		}
	}))
	t.Cleanup(server.Close)
	client := NewClient(server.URL)
	var others atomic.Int64
	var all sync.WaitGroup
	for range callers {
		all.Go(func() {
			for range calls {
				body := ""
				err := client.Run(t.Context(), Call{Method: http.MethodPost, Path: "/"}, func(_ ResponseHead, data []byte) error {
					body += string(data)
					return nil
				})
				if err == nil && body != "good" {
					others.Add(1)
				}
			}
		})
	}
	all.Wait()
	require.Zero(t, others.Load(), "of %d responses", callers*calls)
}

// Guards against passing on, or taking for an answer to an order, what is no response.
func TestAMalformedResponseIsNoAnswer(t *testing.T) {
	client := NewClient(responsestest.NewServer(t, responsestest.Sending(responsestest.Malformed)))
	err := client.Run(t.Context(), Call{Method: http.MethodPost, Path: "/"}, func(ResponseHead, []byte) error {
		t.Error("nothing has arrived")
		return nil
	})
	require.ErrorIs(t, err, ErrFailed)
	require.ErrorIs(t, client.Order(t.Context(), orders.Order{}), ErrFailed)
	_, err = client.State(t.Context())
	require.ErrorIs(t, err, ErrFailed)
}

// Guards against engines that send without end in the head of a response, or in one to an order or a question.
func TestResponsesWithoutEndAreNoAnswers(t *testing.T) {
	responsestest.ForEachEndless(t, func(t *testing.T, url string) {
		client := NewClient(url)
		_, err := client.State(t.Context())
		require.ErrorIs(t, err, ErrFailed)
		require.ErrorIs(t, client.Order(t.Context(), orders.Order{}), ErrFailed)
		errLong := errors.New("the response is long")
		read := 0
		err = client.Run(t.Context(), Call{Method: http.MethodPost, Path: "/"}, func(_ ResponseHead, data []byte) error {
			if read += len(data); read > 1<<20 {
				return errLong
			}
			return nil
		})
		require.ErrorIs(t, err, ErrFailed)
	})
}
