package gateway

import (
	"net"
	"net/http"
	"sync"
	"time"

	"gopkg.in/tomb.v2"

	"arbutusdeck/core/process"
)

// connections tracks the callers' connections. Idle ones are closed by the idle timeout of the
// current configuration; the timeout of http.Server can't change while it serves.
type connections struct{ open openSet[*callerConnection] }

// callerConnection is a connection from a caller. http.Server considers it idle until it has read
// all headers of the next request; here it is closed as idle only while no byte of them has
// arrived.
type callerConnection struct {
	net.Conn
	mu sync.Mutex
	// state is the current use of the connection, since the time at which it began.
	state connectionState
	since time.Time
}

// connectionState classifies the use of a connection.
type connectionState uint8

const (
	stateNew     connectionState = iota // nothing received yet
	stateReading                        // receiving request headers
	stateActive                         // processing a request
	stateIdle                           // waiting for the next request
	stateClosed                         // closed as idle
)

// setState changes the state, unless the connection has been closed as idle.
func (c *callerConnection) setState(to connectionState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state != stateClosed {
		c.state, c.since = to, time.Now()
	}
}

// Read reads from the connection and marks the start of a request. It fails if the connection was
// closed as idle meanwhile: the caller can get no response, and the request must not run.
func (c *callerConnection) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if n > 0 && !c.startRequest() {
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *callerConnection) startRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == stateIdle {
		c.state, c.since = stateReading, time.Now()
	}
	return c.state != stateClosed
}

// expire marks the connection as closed if it has been idle for the limit, or has been receiving
// headers for longer than headerTimeout.
func (c *callerConnection) expire(now time.Time, limit time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	elapsed := now.Sub(c.since)
	expired := c.state == stateIdle && elapsed >= limit || c.state == stateReading && elapsed > headerTimeout
	if expired {
		c.state = stateClosed
	}
	return expired
}

func (c *callerConnection) isActive() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state == stateActive
}

// stateChanged is the ConnState hook of http.Server.
func (c *connections) stateChanged(connection net.Conn, state http.ConnState) {
	caller, ok := connection.(*callerConnection)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		caller.setState(stateActive)
	case http.StateIdle:
		caller.setState(stateIdle)
	case http.StateNew:
		c.open.add(caller)
	case http.StateClosed, http.StateHijacked:
		c.open.remove(caller)
	}
}

// countActive counts the connections whose response is not completely written.
func (c *connections) countActive() int {
	count := 0
	for _, connection := range c.open.list() {
		if connection.isActive() {
			count++
		}
	}
	return count
}

// closeIdle closes the connections that have been idle for the limit.
func (c *connections) closeIdle(now time.Time, limit time.Duration) {
	for _, connection := range c.open.list() {
		if connection.expire(now, limit) {
			// A failed close leaves nothing to do: the connection is gone.
			_ = connection.Close()
		}
	}
}

// callerListener wraps accepted connections as callerConnection.
type callerListener struct{ net.Listener }

func (l callerListener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConnection{Conn: connection}, nil
}

// serveCallers starts the HTTP server for callers.
func (s *Server) serveCallers(t *tomb.Tomb) error {
	listener, err := process.Listen(s.settings.ListenAddress)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: http.HandlerFunc(s.serveRequest), ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnState: s.connections.stateChanged, ErrorLog: nil}
	process.Serve(t, callerListener{listener}, server)
	return nil
}
