// Package netopts holds the socket options of connections between daemons. A peer
// that is cut off sends no reset: without these options its streams would look
// open until the kernel's own limits, a quarter of an hour or more, and the
// leases that hang on them would not end.
package netopts

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// UserTimeout is how long sent data may stay unacknowledged.
const UserTimeout = 8 * time.Second

// KeepAlive finds a silent peer within some ten seconds.
var KeepAlive = net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: 2 * time.Second, Count: 2}

// Control sets UserTimeout on a socket; an accepted one inherits it.
func Control(network, address string, connection syscall.RawConn) error {
	return ControlFor(UserTimeout)(network, address, connection)
}

// ControlFor sets a user timeout on a socket. It also bounds how long keep-alive probes
// stay unanswered: the kernel counts them only where no user timeout is set.
func ControlFor(timeout time.Duration) func(network, address string, connection syscall.RawConn) error {
	return func(_, _ string, connection syscall.RawConn) error {
		var failed error
		err := connection.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return failed
	}
}
