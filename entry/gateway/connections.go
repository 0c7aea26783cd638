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
	// use is what the connection is used for, since when.
	use   use
	since time.Time
}

// use is what a connection is used for.
type use uint8

const (
	useNew       use = iota // nothing has come yet
	useArriving             // a request's headers
	useAnswering            // a request
	useIdle                 // waits for the next request
	useClosed               // closed as idle
)

// set notes a new use, unless the connection has been closed as idle.
func (c *callerConnection) set(to use) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.use != useClosed {
		c.use, c.since = to, time.Now()
	}
}

// Read notes that a request begins to arrive. One that comes as the connection is closed is not read:
// its caller has no answer to expect, and nothing must run.
func (c *callerConnection) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if n > 0 && !c.arrives() {
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *callerConnection) arrives() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.use == useIdle {
		c.use, c.since = useArriving, time.Now()
	}
	return c.use != useClosed
}

// endIdle marks the connection as closed if it has been idle for as long as a limit, or a request has
// been arriving for longer than headers may take.
func (c *callerConnection) endIdle(now time.Time, limit time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	spent := now.Sub(c.since)
	over := c.use == useIdle && spent >= limit || c.use == useArriving && spent > headerTimeout
	if over {
		c.use = useClosed
	}
	return over
}

func (c *callerConnection) isAnswering() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.use == useAnswering
}

// changed takes in what http.Server tells of a connection.
func (c *connections) changed(connection net.Conn, state http.ConnState) {
	caller, ok := connection.(*callerConnection)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		caller.set(useAnswering)
	case http.StateIdle:
		caller.set(useIdle)
	case http.StateNew:
		c.open.add(caller)
	case http.StateClosed, http.StateHijacked:
		c.open.remove(caller)
	}
}

// countAnswering counts the connections with an answer that is not written to its last byte.
func (c *connections) countAnswering() int {
	count := 0
	for _, caller := range c.open.list() {
		if caller.isAnswering() {
			count++
		}
	}
	return count
}

// closeIdle ends the connections that have been idle for as long as a limit.
func (c *connections) closeIdle(now time.Time, limit time.Duration) {
	for _, caller := range c.open.list() {
		if caller.endIdle(now, limit) {
			// A close that fails leaves nothing to do: the connection is gone.
			_ = caller.Close()
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
	server := &http.Server{Handler: http.HandlerFunc(s.serveCaller), ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnState: s.connections.changed, ErrorLog: nil}
	process.Serve(t, callerListener{listener}, server)
	return nil
}
