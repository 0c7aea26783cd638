// Package responses keeps what is no response away from those who read responses. net/http accepts more of a server than
// HTTP allows: a status of 000, names of fields with blanks, which it passes on, and contradictions about the length of a
// body, which it resolves by guess.
package responses

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"arbutusdeck/core/netopts"
)

// errUnsolicited is returned if bytes arrive before anything of a request has been sent.
var errUnsolicited = errors.New("bytes that belong to no request")

// NewTransport returns a transport that sends requests over the given one, which is used for nothing else, and fails with
// an error that wraps ErrMalformed if the response violates the grammar of HTTP. Responses over TLS are not checked.
func NewTransport(transport *http.Transport) http.RoundTripper {
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

// RoundTrip sends a request and returns its response.
func (t checkedTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	var used *connection
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*connection); ok {
			used = c
			c.expectHead()
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

// connection checks the head of each response that it reads.
type connection struct {
	net.Conn

	mu sync.Mutex
	// head is awaited or being received; nil at other times.
	head *head
	// requested is set once something has been written since the head was expected.
	requested bool
	// err ends the reading.
	err error
}

// expectHead is called before a request is written.
func (c *connection) expectHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head, c.requested = &head{}, false
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
	first := c.head != nil && !c.head.began
	if c.err == nil {
		c.err = c.received(data[:n])
	}
	switch {
	case c.err == nil:
		return n, err
	case first && errors.Is(c.err, ErrMalformed):
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
	if c.head.done {
		c.head = nil
	}
	return nil
}
