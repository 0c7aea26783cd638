package netopts

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// connection is a connection whose Read reports how it ended. The kernel reports a reset or a timeout to one call only: if
// Write gets it, Read returns the rest of the received data and then io.EOF, as if the peer had sent all. A response that
// only the end of its connection ends would be taken for complete.
type connection struct {
	net.Conn

	// writing is held during a write.
	writing sync.Mutex

	mu sync.Mutex
	// writeErr is the error of the first write that failed.
	writeErr error
}

// SyscallConn returns the socket, or errors.ErrUnsupported.
func (c *connection) SyscallConn() (syscall.RawConn, error) {
	if socket, ok := c.Conn.(syscall.Conn); ok {
		return socket.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}

// Write writes to the connection.
func (c *connection) Write(data []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(data)
	if err != nil {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.writeErr == nil {
			c.writeErr = err
		}
	}
	return n, err
}

// Read reads from the connection. It returns io.EOF only if the peer has ended the connection without an error.
func (c *connection) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if errors.Is(err, io.EOF) {
		err = c.endOfData()
	}
	return n, err
}

// endOfData returns the error that a write got instead of Read, or io.EOF.
func (c *connection) endOfData() error {
	if !c.isOpen() {
		// A write that got the error may not have recorded it yet. On a closed socket each write returns at once, while on an
		// open one, whose peer has closed its half, it may wait for the peer to read.
		c.writing.Lock()
		defer c.writing.Unlock()
	}
	if err := c.brokenBy(); err != nil {
		return err
	}
	return io.EOF
}

// brokenBy returns the error of a write that broke the connection, or nil. EPIPE alone means that the peer had closed its
// half before: Read has got all that it sent.
func (c *connection) brokenBy() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if errors.Is(c.writeErr, syscall.EPIPE) {
		return nil
	}
	return c.writeErr
}

// tcpClose is the state of a socket after a reset or a timeout (TCP_CLOSE of Linux). After a plain end of the peer it is
// another one until this side has ended too.
const tcpClose = 7

// isOpen reports whether neither the kernel nor this process has closed the socket; true if the state is unknown.
func (c *connection) isOpen() bool {
	socket, err := c.SyscallConn()
	if err != nil {
		return errors.Is(err, errors.ErrUnsupported)
	}
	closed := false
	err = socket.Control(func(fd uintptr) {
		info, infoErr := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		closed = infoErr == nil && info.State == tcpClose
	})
	return err == nil && !closed
}
