package callers

import (
	"errors"
	"io"
	"net/http"
	"time"
)

// Bounds limit a request whose handler sets no limits of its own.
type Bounds struct {
	// BodyBytes is the size of the largest body.
	BodyBytes int64
	// Timeout bounds the receipt of the body, and after it the writing of the response. Without it a refused caller that
	// stops sending or reading would keep its connection forever.
	Timeout time.Duration
}

// Bound returns a handler whose requests are bounded, until Unbound is called for one of them.
func Bound(next http.Handler, bounds Bounds) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		controller, deadline := http.NewResponseController(w), time.Now().Add(bounds.Timeout)
		// net/http reads the rest of a short body before it writes the response to a refused request. Setting a deadline
		// fails only if the connection is closed.
		_ = controller.SetWriteDeadline(deadline.Add(bounds.Timeout))
		if r.ContentLength != 0 {
			_ = controller.SetReadDeadline(deadline)
			r.Body = &boundedBody{limited: http.MaxBytesReader(w, r.Body, bounds.BodyBytes), raw: r.Body, connection: ConnOf(r), controller: controller}
		}
		next.ServeHTTP(w, r)
	})
}

// Unbound lifts the bounds of a request whose handler sets its own.
func Unbound(w http.ResponseWriter, r *http.Request) {
	controller := http.NewResponseController(w)
	_ = controller.SetWriteDeadline(time.Time{})
	if b, ok := r.Body.(*boundedBody); ok {
		_ = controller.SetReadDeadline(time.Time{})
		r.Body = b.raw
	}
}

// bodyCopies is the number of copies of a body that a handler holds which reads it into a growing buffer and decodes it.
const bodyCopies = 4

// boundedBody charges a body to its connection while a handler reads it.
type boundedBody struct {
	limited, raw io.ReadCloser
	connection   *Conn
	controller   *http.ResponseController
}

// Read reads from the body. It fails if there is no memory for what is read, or if the connection was closed for another
// one.
func (b *boundedBody) Read(data []byte) (int, error) {
	n, err := b.limited.Read(data)
	if n > 0 && !b.connection.Reserve(int64(n)*bodyCopies) {
		return 0, ErrMemoryFull
	}
	if errors.Is(err, io.EOF) {
		if !b.connection.BodyReceived() {
			return 0, ErrMemoryFull
		}
		// net/http goes on to read from the connection, to detect that the caller disconnects.
		_ = b.controller.SetReadDeadline(time.Time{})
	}
	return n, err
}

// Close closes the body.
func (b *boundedBody) Close() error { return b.limited.Close() }
