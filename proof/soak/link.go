package soak

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// LinkFault is a fault of the connections of a link.
type LinkFault string

// Faults of links. A link that drops traffic keeps its connections open. Connections that
// exist during the fault lose their traffic for good, later ones work normally.
const (
	LinkHealthy        LinkFault = ""
	LinkDelayed        LinkFault = "delayed"
	LinkReset          LinkFault = "reset"
	LinkDropsBoth      LinkFault = "silent"
	LinkDropsRequests  LinkFault = "requests swallowed"
	LinkDropsResponses LinkFault = "answers swallowed"
)

var linkFaults = []LinkFault{LinkDelayed, LinkReset, LinkDropsBoth, LinkDropsRequests, LinkDropsResponses}

// linkDelay is added to each chunk of data on a delayed link.
const linkDelay = 150 * time.Millisecond

// Link is a TCP proxy that injects faults into the connections to its target. Without a
// target it refuses connections, as a machine does on which nothing listens.
type Link struct {
	address string

	mu sync.Mutex
	// listener is nil while connections are refused.
	listener net.Listener
	target   string
	fault    LinkFault
	open     map[*connection]bool
}

type connection struct {
	link    *Link
	client  net.Conn
	target  net.Conn
	dropped [2]bool // by direction; never reset
}

// Directions of the traffic of a connection: requests and responses.
const (
	toTarget = iota
	toClient
)

// NewLink listens on an address and forwards connections to a target, which may be empty.
func NewLink(address, target string) (*Link, error) {
	l := &Link{address: address, open: map[*connection]bool{}}
	return l, l.Retarget(target)
}

// Address returns the address on which the link listens.
func (l *Link) Address() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.address
}

// Retarget changes the target of new connections; with an empty one they are refused.
func (l *Link) Retarget(target string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.target = target
	switch {
	case target == "":
		return l.stopListening()
	case l.listener == nil:
		return l.startListening()
	}
	return nil
}

// stopListening closes the listener, if there is one. The caller holds the lock.
func (l *Link) stopListening() error {
	if l.listener == nil {
		return nil
	}
	err := l.listener.Close()
	l.listener = nil
	return err
}

// startListening opens the listener. The caller holds the lock.
func (l *Link) startListening() error {
	listener, err := listenWithRetry(l.address)
	if err != nil {
		return fmt.Errorf("listening for a link on %s: %w", l.address, err)
	}
	// Keeps a port that the operating system has chosen for later listeners.
	l.listener, l.address = listener, listener.Addr().String()
	go l.accept(listener)
	return nil
}

// listenRetryTime bounds how long an address may stay in use after its listener was closed.
const listenRetryTime = 2 * time.Second

// listenWithRetry listens on an address, and retries while it is still in use by a listener
// that this process has just closed. A child process that is being started holds a copy of
// the closed listener until its exec, which takes a while if a hundred start at once.
func listenWithRetry(address string) (net.Listener, error) {
	deadline := time.Now().Add(listenRetryTime)
	for {
		listener, err := net.Listen("tcp", address)
		if !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(deadline) {
			return listener, err
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// Inject starts a fault, also on open connections.
func (l *Link) Inject(fault LinkFault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fault = fault
	for c := range l.open {
		switch fault {
		case LinkReset:
			c.reset()
		case LinkDropsBoth, LinkDropsRequests, LinkDropsResponses:
			c.dropTraffic(fault)
		}
	}
}

// Clear ends the fault; connections whose traffic was dropped stay affected.
func (l *Link) Clear() { l.Inject(LinkHealthy) }

// ResetConnections resets the open connections.
func (l *Link) ResetConnections() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		c.reset()
	}
}

// Close stops the listener and resets the open connections.
func (l *Link) Close() error {
	err := l.Retarget("")
	l.ResetConnections()
	return err
}

func (l *Link) accept(listener net.Listener) {
	for {
		client, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		go l.forward(client)
	}
}

// targetTimeout bounds the time to connect to a target on loopback.
const targetTimeout = time.Second

func (l *Link) forward(client net.Conn) {
	l.mu.Lock()
	target, fault := l.target, l.fault
	l.mu.Unlock()
	targetConn, err := net.DialTimeout("tcp", target, targetTimeout)
	if err != nil || fault == LinkReset {
		resetConnection(client)
		if targetConn != nil {
			resetConnection(targetConn)
		}
		return
	}
	c := &connection{link: l, client: client, target: targetConn}
	l.mu.Lock()
	l.open[c] = true
	if l.fault == LinkDropsBoth || l.fault == LinkDropsRequests || l.fault == LinkDropsResponses {
		c.dropTraffic(l.fault)
	}
	l.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { c.copy(toTarget, targetConn, client) })
	both.Go(func() { c.copy(toClient, client, targetConn) })
	both.Wait()
	l.mu.Lock()
	delete(l.open, c)
	l.mu.Unlock()
	// Both directions are done; an error of a close has no effect.
	_, _ = client.Close(), targetConn.Close()
}

// copy forwards one direction until it ends. An end of file is forwarded as such, any error
// as a reset, so that a truncated response does not look complete.
func (c *connection) copy(direction int, to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		dropped, delayed := c.state(direction)
		if delayed {
			time.Sleep(linkDelay)
		}
		if n > 0 && !dropped {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				c.reset()
				return
			}
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF) && dropped:
			return
		case errors.Is(err, io.EOF):
			closeWrite(to)
			return
		default:
			c.reset()
			return
		}
	}
}

func (c *connection) state(direction int) (dropped, delayed bool) {
	c.link.mu.Lock()
	defer c.link.mu.Unlock()
	return c.dropped[direction], c.link.fault == LinkDelayed
}

// dropTraffic drops what is sent from now on. The caller holds the link's lock.
func (c *connection) dropTraffic(fault LinkFault) {
	c.dropped[toTarget] = c.dropped[toTarget] || fault != LinkDropsResponses
	c.dropped[toClient] = c.dropped[toClient] || fault != LinkDropsRequests
}

func (c *connection) reset() {
	resetConnection(c.client)
	resetConnection(c.target)
}

func resetConnection(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		// With a linger time of 0 the close sends a reset.
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func closeWrite(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		// The peer may already be closed; the other direction detects that.
		_ = tcp.CloseWrite()
	}
}
