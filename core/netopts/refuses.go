package netopts

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

// looks is how often a host is asked that does not answer in time.
const looks = 2

// RefusesConnections says whether a host refuses connections to an address, as it does when the process that
// listened there has ended. A process that lives and breaks off an answer, is full or is paused, and
// a host that is cut off, don't refuse. It opens a connection and sends nothing on it. The timeout is
// that of one look.
func RefusesConnections(ctx context.Context, address string, timeout time.Duration) bool {
	dialer := net.Dialer{Timeout: timeout, Control: Control}
	return refuses(ctx, address, dialer.DialContext)
}

// refuses looks a second time after a timeout: a process that did not run meanwhile finds its time over
// together with the host's refusal, and is told of the timeout alone.
func refuses(ctx context.Context, address string, dial func(ctx context.Context, network, address string) (net.Conn, error)) bool {
	for range looks {
		connection, err := dial(ctx, "tcp", address)
		if err == nil {
			// Nothing was sent on it.
			_ = connection.Close()
			return false
		}
		if IsConnectionRefused(err) {
			return true
		}
		var network net.Error
		if ctx.Err() != nil || !errors.As(err, &network) || !network.Timeout() {
			return false
		}
	}
	return false
}

// IsConnectionRefused says whether an error tells that a host refused a connection.
func IsConnectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
