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

// LinkFault is what happens to the connections of a link.
type LinkFault string

// Faults of links. A silent direction swallows what is sent, for good on the
// connections that were open, until the fault is over on new ones.
const (
	LinkHealthy        LinkFault = ""
	LinkDelayed        LinkFault = "delayed"
	LinkReset          LinkFault = "reset"
	LinkDropsBoth      LinkFault = "silent"
	LinkDropsRequests  LinkFault = "requests swallowed"
	LinkDropsResponses LinkFault = "answers swallowed"
)

var linkFaults = []LinkFault{LinkDelayed, LinkReset, LinkDropsBoth, LinkDropsRequests, LinkDropsResponses}

// linkDelay is added to each piece that passes a delayed link.
const linkDelay = 150 * time.Millisecond

// Link passes connections on to a target and harms them. Without a target it refuses them, as a
// host does on which nothing listens.
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
	dropped [2]bool // requests, answers: for good
}

// Directions of a connection.
const (
	toTarget = iota
	toClient
)

// NewLink passes connections to an address on to a target, which may be empty.
func NewLink(address, target string) (*Link, error) {
	l := &Link{address: address, open: map[*connection]bool{}}
	return l, l.Retarget(target)
}

// Address is where the link listens.
func (l *Link) Address() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.address
}

// Retarget sends new connections elsewhere. An empty target refuses them.
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

// refuse closes the listener. The lock is held.
func (l *Link) stopListening() error {
	if l.listener == nil {
		return nil
	}
	err := l.listener.Close()
	l.listener = nil
	return err
}

// listen takes connections from now on. The lock is held.
func (l *Link) startListening() error {
	listener, err := listenWithRetry(l.address)
	if err != nil {
		return fmt.Errorf("a link on %s: %w", l.address, err)
	}
	// A port that the system has drawn stays the link's.
	l.listener, l.address = listener, listener.Addr().String()
	go l.accept(listener)
	return nil
}

// listenPatience is for how long an address may still be taken that was given up before.
const listenRetryTime = 2 * time.Second

// listenAgain listens on an address on which this process may just have stopped to. A process that
// is being started holds a copy of the closed listener until its program is loaded, which takes a
// while where a hundred are started beside each other.
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

// Harm begins a fault, also on the open connections.
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

// Heal ends the fault; connections that were silenced stay so.
func (l *Link) Clear() { l.Inject(LinkHealthy) }

// Cut resets the open connections.
func (l *Link) ResetConnections() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		c.reset()
	}
}

// Close ends the link and its connections.
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

// targetTimeout bounds the connection to a target on loopback.
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
	// Both ends have been read to their ends; a close that fails changes nothing.
	_, _ = client.Close(), targetConn.Close()
}

// copy passes one direction on until it ends. An orderly end is passed on as such,
// any other one as a reset, so that a broken answer does not look whole.
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

// silence swallows what is sent from now on. The link's lock is held.
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
		// Without lingering the close sends a reset.
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func closeWrite(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		// The other end may have gone; its own direction tells.
		_ = tcp.CloseWrite()
	}
}
