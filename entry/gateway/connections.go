package gateway

import (
	"net"
	"net/http"
	"sync"
	"time"

	"gopkg.in/tomb.v2"

	"arbutusdeck/core/process"
)

// connections watches the callers' connections. Those that wait for a request end by the
// idle limit of the configuration in force; the limit of http.Server can't change while it
// serves.
type connections struct{ open openSet[*callerConnection] }

// callerConnection is a caller's connection. http.Server takes it for idle until it has read the next
// request's headers; it is closed as idle only as long as no byte of them has come.
type callerConnection struct {
	net.Conn
	mu sync.Mutex
	// state is what the connection is used for, since when.
	state connectionState
	since time.Time
}

// connectionState is what a connection is used for.
type connectionState uint8

const (
	stateNew     connectionState = iota // nothing has come yet
	stateReading                        // a request's headers
	stateActive                         // a request
	stateIdle                           // waits for the next request
	stateClosed                         // closed as idle
)

// setState notes a new use, unless the connection has been closed as idle.
func (c *callerConnection) setState(to connectionState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state != stateClosed {
		c.state, c.since = to, time.Now()
	}
}

// Read notes that a request begins to arrive. One that comes as the connection is closed is not read:
// its caller has no answer to expect, and nothing must run.
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

// expire marks the connection as closed if it has been idle for as long as a limit, or a request has
// been arriving for longer than headers may take.
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

// stateChanged takes in what http.Server tells of a connection.
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

// countActive counts the connections with an answer that is not written to its last byte.
func (c *connections) countActive() int {
	count := 0
	for _, connection := range c.open.list() {
		if connection.isActive() {
			count++
		}
	}
	return count
}

// closeIdle ends the connections that have been idle for as long as a limit.
func (c *connections) closeIdle(now time.Time, limit time.Duration) {
	for _, connection := range c.open.list() {
		if connection.expire(now, limit) {
			// A close that fails leaves nothing to do: the connection is gone.
			_ = connection.Close()
		}
	}
}

// callerListener accepts callers' connections.
type callerListener struct{ net.Listener }

func (l callerListener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConnection{Conn: connection}, nil
}

// serveCallers listens for callers.
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
