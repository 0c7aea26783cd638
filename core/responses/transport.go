// Package responses keeps what is no response away from those who read responses. net/http accepts more of a server than
// HTTP allows: a status of 000, names of fields with blanks, which it passes on, and contradictions about the length of a
// body, which it resolves by guess. It also lets a head grow to megabytes.
package responses

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"arbutusdeck/core/callers"
	"arbutusdeck/core/netopts"
)

// errUnsolicited is returned if bytes arrive before anything of a request has been sent.
var errUnsolicited = errors.New("bytes that belong to no request")

// NewTransport returns a transport that sends requests over the given one, which is used for nothing else. It fails with an
// error that wraps ErrMalformed or ErrHeadTooLarge if the head of a response violates the grammar of HTTP or is too large.
// Responses over TLS are not checked for the grammar.
func NewTransport(transport *http.Transport) http.RoundTripper {
	transport.MaxResponseHeaderBytes = maxHeadBytes
	dial := transport.DialContext
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		opened, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &connection{Conn: opened}, nil
	}
	return checkedTransport{transport}
}

// dialTimeout bounds the opening of a connection of NewClient.
const dialTimeout = 30 * time.Second

// NewClient returns a client like http.DefaultClient that checks responses.
func NewClient() *http.Client {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.DialContext = (&netopts.Dialer{RunTimeout: dialTimeout}).DialContext
	return &http.Client{Transport: NewTransport(transport)}
}

type checkedTransport struct{ next *http.Transport }

// memoryKey is the key of a context's function that reserves memory.
type memoryKey struct{}

// WithMemory returns a context for requests whose memory is accounted for. reserve is called before the head of a response
// takes more memory than usual, with the additional bytes; if it reports false, the request fails with
// callers.ErrMemoryFull. It is not called after the end of the request's context.
func WithMemory(ctx context.Context, reserve func(bytes int64) bool) context.Context {
	return context.WithValue(ctx, memoryKey{}, reserve)
}

// reserveFor returns the function that reserves memory for a request.
func reserveFor(ctx context.Context) func(bytes int64) bool {
	reserve, ok := ctx.Value(memoryKey{}).(func(bytes int64) bool)
	if !ok {
		return func(int64) bool { return true }
	}
	return func(bytes int64) bool { return ctx.Err() == nil && reserve(bytes) }
}

// RoundTrip sends a request and returns its response.
func (t checkedTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	var used *connection
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*connection); ok {
			used = c
			c.expectHead(reserveFor(request.Context()))
		}
	}}
	response, err := t.next.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	if err != nil && used != nil {
		return nil, used.cause(err)
	}
	return response, err
}

// CloseIdleConnections closes the connections that are not in use, as http.Client.CloseIdleConnections does.
func (t checkedTransport) CloseIdleConnections() { t.next.CloseIdleConnections() }

// usualHeadMemory is what a parsed head may take without a reservation, in bytes. It is part of what is reserved for a
// connection.
const usualHeadMemory = 8 << 10

// connection checks the head of each response that it reads.
type connection struct {
	net.Conn

	mu sync.Mutex
	// head is awaited or being received; nil at other times.
	head *head
	// reserve reserves memory for the head, of which reserved bytes are.
	reserve  func(bytes int64) bool
	reserved int64
	// requested is set once something has been written since the head was expected.
	requested bool
	// err ends the reading.
	err error
}

// expectHead is called before a request is written.
func (c *connection) expectHead(reserve func(bytes int64) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head, c.requested = &head{}, false
	c.reserve, c.reserved = reserve, usualHeadMemory
}

// cause returns the error that ended the reading, or else the given one. net/http does not wrap each error of a connection.
func (c *connection) cause(err error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return c.err
	}
	return err
}

// Write writes to the connection.
func (c *connection) Write(data []byte) (int, error) {
	c.mu.Lock()
	c.requested = true
	c.mu.Unlock()
	return c.Conn.Write(data)
}

// Read reads from the connection.
func (c *connection) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if n == 0 {
		return n, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	first := c.head != nil && c.head.bytes == 0
	if c.err == nil {
		c.err = c.received(data[:n])
	}
	switch {
	case c.err == nil:
		return n, err
	case first && !errors.Is(c.err, errUnsolicited):
		// net/http sends some requests again by itself if it has read no byte of a response.
		return 1, nil
	}
	return 0, c.err
}

// received checks data that was read. The lock must be held.
func (c *connection) received(data []byte) error {
	if !c.requested {
		return errUnsolicited
	}
	if c.head == nil {
		return nil
	}
	if err := c.head.receive(data); err != nil {
		return err
	}
	if cost := callers.HeaderCost(c.head.bytes, c.head.lines); cost > c.reserved {
		if !c.reserve(cost - c.reserved) {
			return callers.ErrMemoryFull
		}
		c.reserved = cost
	}
	if c.head.done {
		c.head = nil
	}
	return nil
}
