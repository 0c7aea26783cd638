// Package netopts sets the socket options of connections between daemons. A peer
// behind a network partition sends no reset. Without these options its streams would
// appear open until the kernel's default timeouts, 15 minutes or more, and the leases
// that depend on them would not expire.
package netopts

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// UserTimeout is the time for which sent data can stay unacknowledged before the
// connection is closed.
const UserTimeout = 8 * time.Second

// KeepAlive detects an unresponsive peer on an idle connection within about ten
// seconds.
var KeepAlive = net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: 2 * time.Second, Count: 2}

// ControlFunc sets options on a socket before it connects or listens, as net.Dialer and net.ListenConfig call it.
type ControlFunc func(network, address string, connection syscall.RawConn) error

// Control sets UserTimeout on a socket. Accepted sockets inherit it from the
// listening socket.
func Control(network, address string, connection syscall.RawConn) error {
	return ControlFor(UserTimeout)(network, address, connection)
}

// ControlFor returns a function that sets a TCP user timeout on a socket. The user
// timeout also bounds the time for which keep-alive probes stay unanswered: the kernel
// uses the count of KeepAlive only if no user timeout is set.
func ControlFor(timeout time.Duration) ControlFunc {
	return func(_, _ string, connection syscall.RawConn) error {
		var optionErr error
		err := connection.Control(func(fd uintptr) {
			optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return optionErr
	}
}

// NoControl leaves a socket as it is.
func NoControl(string, string, syscall.RawConn) error { return nil }

// ReceiveControl returns a function that calls control and sets the size in bytes of the kernel's receive buffer of a
// connection that this process opens. Without it the sender decides how much the kernel holds while nothing is read.
func ReceiveControl(receiveBytes int, control ControlFunc) ControlFunc {
	return func(network, address string, connection syscall.RawConn) error {
		var optionErr error
		err := connection.Control(func(fd uintptr) {
			optionErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBytes)
		})
		return errors.Join(err, optionErr, control(network, address, connection))
	}
}

// CallerControl returns a function that sets UserTimeout on a listening socket, and the sizes in bytes of the kernel's
// receive buffer and send buffer of each connection that it accepts. Without them a caller decides how much the kernel
// holds for its connection, up to megabytes.
func CallerControl(receiveBytes, sendBytes int) ControlFunc {
	return func(network, address string, connection syscall.RawConn) error {
		var optionErr error
		err := connection.Control(func(fd uintptr) {
			optionErr = errors.Join(unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBytes),
				unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, sendBytes))
		})
		return errors.Join(err, optionErr, Control(network, address, connection))
	}
}
