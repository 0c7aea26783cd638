package netopts

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

// dialAttempts is the number of dials to a host that does not reply in time.
const dialAttempts = 2

// RefusesConnections reports whether a host refuses connections to an address, as it does after the process
// that listened there has terminated. A running process that aborts a response, is overloaded or is paused
// does not refuse connections, and neither does an unreachable host. RefusesConnections opens a connection and
// sends nothing on it. The timeout applies to each dial.
func RefusesConnections(ctx context.Context, address string, timeout time.Duration) bool {
	dialer := Dialer{Dialer: net.Dialer{Control: Control}, RunTimeout: timeout}
	return refuses(ctx, address, dialer.DialContext)
}

// refuses dials again after a timeout: if this process was not scheduled for the whole timeout, the host's
// refusal has arrived too, but the dialer reports only the timeout.
func refuses(ctx context.Context, address string, dial func(ctx context.Context, network, address string) (net.Conn, error)) bool {
	for range dialAttempts {
		connection, err := dial(ctx, "tcp", address)
		if err == nil {
			// No data was sent, so an error of Close is irrelevant.
			_ = connection.Close()
			return false
		}
		if IsConnectionRefused(err) {
			return true
		}
		var netErr net.Error
		if ctx.Err() != nil || !errors.As(err, &netErr) || !netErr.Timeout() {
			return false
		}
	}
	return false
}

// IsConnectionRefused reports whether an error is ECONNREFUSED.
func IsConnectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
