package netopts

import (
	"context"
	"errors"
	"math"
	"net"
	"sync"
	"sync/atomic"
)

// ErrConnectionsFull is returned if the connections to other daemons and servers take all the descriptors that they may. It is no error
// of a dial: the server is not to blame, and nothing has been sent.
var ErrConnectionsFull = errors.New("the connections to other daemons and servers take all the descriptors that they may")

// LimitedDialer opens connections up to a limit. The requests of callers could otherwise take the descriptors that
// others need.
type LimitedDialer struct {
	dialer      *Dialer
	limit, open atomic.Int64
}

// NewLimitedDialer returns a dialer without a limit.
func NewLimitedDialer(dialer *Dialer) *LimitedDialer {
	d := &LimitedDialer{dialer: dialer}
	d.limit.Store(math.MaxInt64)
	return d
}

// SetLimit sets the number of connections that may be open. Those beyond it stay open.
func (d *LimitedDialer) SetLimit(limit int) { d.limit.Store(int64(limit)) }

// Open returns the number of open connections.
func (d *LimitedDialer) Open() int64 { return d.open.Load() }

// DialContext opens a connection, or returns ErrConnectionsFull.
func (d *LimitedDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	if d.open.Add(1) > d.limit.Load() {
		d.open.Add(-1)
		return nil, ErrConnectionsFull
	}
	connection, err := d.dialer.DialContext(ctx, network, address)
	if err != nil {
		d.open.Add(-1)
		return nil, err
	}
	return &limitedConnection{Conn: connection, closed: sync.OnceFunc(func() { d.open.Add(-1) })}, nil
}

// limitedConnection is a connection that counts toward the limit until it is closed.
type limitedConnection struct {
	net.Conn
	closed func()
}

// Close closes the connection.
func (c *limitedConnection) Close() error {
	defer c.closed()
	return c.Conn.Close()
}
