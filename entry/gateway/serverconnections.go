package gateway

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"

	"arbutusdeck/core/netopts"
)

// errConnectionsFull is returned if the connections to servers take all the descriptors that they may. It is no error
// of a dial: the server is not to blame, and nothing has been sent.
var errConnectionsFull = errors.New("the connections to servers take all the descriptors that they may")

// serverDialer opens the connections to servers, up to a limit. The requests of callers could otherwise take the
// descriptors that the store and the other entries need.
type serverDialer struct {
	dialer *netopts.Dialer
	limit  atomic.Int64
	open   atomic.Int64
}

// DialContext opens a connection, or returns errConnectionsFull.
func (d *serverDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	if d.open.Add(1) > d.limit.Load() {
		d.open.Add(-1)
		return nil, errConnectionsFull
	}
	connection, err := d.dialer.DialContext(ctx, network, address)
	if err != nil {
		d.open.Add(-1)
		return nil, err
	}
	return &serverConnection{Conn: connection, closed: sync.OnceFunc(func() { d.open.Add(-1) })}, nil
}

// serverConnection is a connection that counts toward the limit until it is closed.
type serverConnection struct {
	net.Conn
	closed func()
}

// Close closes the connection.
func (c *serverConnection) Close() error {
	defer c.closed()
	return c.Conn.Close()
}
